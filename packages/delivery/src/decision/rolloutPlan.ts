/**
 * Share of requests that the new version gets over time, and the limit of its exposure.
 *
 * The limit is kept by each router by itself: it sends the new version at most a fixed share of the requests that it has
 * received since the order, plus its part of the slack. The sum over all routers then keeps the bound, whatever reports
 * are lost and whichever routers are partitioned. Only the phase {@link VersionPhase.Committed}, which is decided on
 * evidence from the whole fleet, lifts the limit.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import { VersionPhase } from "@redwingpin/fleet";

/** Bounds on the exposure to a version that may be bad. */
export interface ExposureBounds {
    /** Maximum share of all requests for the service from the order to the time limit. */
    readonly share: number;
    /** Requests in addition, over all routers. */
    readonly slack: number;
    /** Time after the 50th bad response from which no request may reach the version. */
    readonly rollback: Milliseconds;
}

/** Parts of the bounds that are used; the rest is a margin for requests in progress and for restarted routers. */
const usedShare = 0.9;
const usedSlack = 0.8;

/** Parts of the bounds that the canary phase uses; the phases after it use what is left. */
const canaryShare = 0.4;
const canarySlack = 0.4;

/** Share of the time limit after which the canary phase may have used its part of the slack. */
const canarySlackTime = 0.6;

/** Part of the limit that is used up at the end of the phase with half of the requests. */
const halfLimit = 0.7;

/** Maximum share of the canary phase on a service with few requests, which the slack would allow to be higher. */
const maxCanaryShare = 0.5;

/** Requests after now, as a multiple of those so far, that are expected until the time limit at most. */
const maxForecast = 1.3;

/** Duration of each of the phases with half of the requests and all of them, as a share of the time limit. */
const watchShare = 0.1;
const minWatch: Milliseconds = 1_000;
const maxWatch: Milliseconds = 5_000;

/** Time for reports, the last write and retries of it, in addition to the time in which old requests finish. */
const writeReserve: Milliseconds = 1_500;
const minReserve: Milliseconds = 2_800;
const maxReserveShare = 0.45;
const drainFactor = 1.2;

/** The last time before the time limit at which the store has to be written. */
const lastWrite: Milliseconds = 1_200;

/** What is known of a service's traffic. */
export interface ServiceTraffic {
    /** Time in which nearly all requests end. */
    readonly drainTime: Milliseconds;
    /** Slots of the endpoints of the new version, and of all others. */
    readonly newSlots: number;
    readonly oldSlots: number;
}

/** Times since the order at which the phases are to begin. */
export interface RolloutSchedule {
    readonly halfAt: Milliseconds;
    /** Duration of the phase with half of the requests, and of that with all of them. */
    readonly watch: Milliseconds;
    /** From this time on, a decision is due whatever the evidence. */
    readonly lastChanceAt: Milliseconds;
    /** From this time on, completion is written although old requests may run. */
    readonly lastWriteAt: Milliseconds;
}

/** Share of the slots that the endpoints of the new version have. */
export function capacityShareOf(
    { newSlots, oldSlots }: Pick<ServiceTraffic, "newSlots" | "oldSlots">,
): number {
    return newSlots / Math.max(1, newSlots + oldSlots);
}

export function scheduleOf(duration: Milliseconds, drainTime: Milliseconds): RolloutSchedule {
    const reserve = Math.min(
        maxReserveShare * duration,
        Math.max(minReserve, drainFactor * drainTime + writeReserve),
    );
    const commitAt = duration - reserve;
    const watch = Math.min(maxWatch, Math.max(minWatch, watchShare * duration));
    return {
        halfAt: Math.max(0, commitAt - 2 * watch),
        watch,
        lastChanceAt: duration - Math.min(reserve, Math.max(minReserve, drainFactor * drainTime + lastWrite)),
        lastWriteAt: duration - lastWrite,
    };
}

/** What a router knows when it selects the version for a request. */
export interface ExposureInput {
    readonly phase: VersionPhase;
    readonly bounds: ExposureBounds;
    readonly duration: Milliseconds;
    /** Time since the order. */
    readonly elapsed: Milliseconds;
    /** Maximum share in the canary phase by the capacity of the new version's endpoints. */
    readonly capacityShare: number;
    /** This router's requests since the order, including this one, and those of them sent to the new version. */
    readonly requests: number;
    readonly exposed: number;
    /** This router's part of the slack; 0 if it started after the order. */
    readonly slackPart: number;
    /** Random numbers from 0 to 1: of this router for the order, and of this request. */
    readonly routerDraw: number;
    readonly requestDraw: number;
}

/** True if a request may go to the new version without exceeding this router's exposure limit, or a part of it. */
export function isWithinLimit(input: ExposureInput, part = 1): boolean {
    const { bounds, duration, elapsed, exposed, requests, routerDraw, slackPart } = input;
    const forecast = Math.min(maxForecast, Math.max(1, duration / Math.max(1, elapsed)));
    const limit = bounds.share * usedShare * requests * forecast
        + bounds.slack * usedSlack * slackPart;
    return exposed + 1 <= part * limit + routerDraw;
}

/**
 * Requests that this router may have sent to the new version by now in the canary phase. Over all routers the draws make
 * up for the fractions, also if each of them has few requests.
 */
function canaryLimit(
    { bounds, capacityShare, duration, elapsed, requests, slackPart }: ExposureInput,
): number {
    const slack = bounds.slack * canarySlack * slackPart
        * Math.min(1, elapsed / (canarySlackTime * duration));
    return Math.min(
        bounds.share * canaryShare * requests + slack,
        Math.min(maxCanaryShare, capacityShare) * requests,
    );
}

/** True if the plan sends a request to the new version. */
export function prefersNewVersion(input: ExposureInput): boolean {
    switch (input.phase) {
        case VersionPhase.Unknown:
        case VersionPhase.RolledBack:
            return false;
        case VersionPhase.Canary:
            return input.exposed + 1 <= canaryLimit(input) + input.routerDraw && isWithinLimit(input);
        case VersionPhase.Half:
            return input.requestDraw < 0.5 && isWithinLimit(input, halfLimit);
        case VersionPhase.Full:
            return isWithinLimit(input);
        case VersionPhase.Committed:
        case VersionPhase.Completed:
            return true;
    }
}
