/**
 * Whether a request waits at the router, for how long, and what happens to it afterwards.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { HoldEnd, WaitingBounds } from "./waitingRequests.js";

/** Settings of the queue of requests for which no endpoint has room. */
export interface HoldSettings {
    /** If false, every request is sent at once. */
    readonly enabled: boolean;
    /** If true, requests of accounts above their share are refused when they have waited in vain. */
    readonly fairShares: boolean;
    /** Number of requests beyond its slots that an endpoint without an agent queues before it rejects. */
    readonly endpointQueue: number;
    /** Bounds of the requests that wait for one service. */
    readonly bounds: WaitingBounds;
}

/** Settings with which every request is sent at once. */
export const holdNothing: HoldSettings = {
    enabled: false,
    fairShares: false,
    endpointQueue: 0,
    bounds: { requests: 0, bytes: 0 },
};

/** Share of the target latency that a request waits at most; callers have no use for a longer wait. */
const maxWaitShare = 1 / 8;

/** Minimum delay before the caller of a refused request may retry. */
const minRetryAfter: Milliseconds = 300;

/** A wait as it ended. */
export interface EndedHold {
    readonly end: HoldEnd;
    readonly isAboveShare: boolean;
    readonly settings: HoldSettings;
}

/** What happens to a request that has waited. */
export enum AfterHold {
    /** It goes to the endpoint that is best although it has no room. */
    Send = "send",
    /** It has not run and will not run. */
    Refuse = "refuse",
    /** Nobody waits for the answer. */
    Drop = "drop",
}

/** Time that a request waits at most. */
export function maxHold(targetLatency: Milliseconds): Milliseconds {
    return targetLatency * maxWaitShare;
}

/** Returns what happens to a request after its wait. */
export function afterHold({ end, isAboveShare, settings }: EndedHold): AfterHold {
    switch (end.kind) {
        case "callerGone":
            return AfterHold.Drop;
        case "expired":
        case "unreachable":
        case "stopped":
            return AfterHold.Refuse;
        case "start":
            return AfterHold.Send;
        case "waited":
        case "displaced":
            return isAboveShare && settings.fairShares ? AfterHold.Refuse : AfterHold.Send;
    }
}

/**
 * Delay before the caller of a refused request may retry: the time in which the queue empties at its present pace, up to twice
 * as long, so that callers don't return together. `random` is at least 0 and less than 1.
 */
export function retryAfterHold(expectedWait: Milliseconds, random: number): Milliseconds {
    return Math.max(minRetryAfter, expectedWait) * (1 + random);
}
