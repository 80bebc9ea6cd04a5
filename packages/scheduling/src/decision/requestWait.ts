/**
 * What queues of requests have in common: when a request leaves without having been served, and the pace at which
 * requests leave.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** A request that waits for its caller. */
export interface CallerWait {
    /** Time by which the caller must have an answer. */
    readonly deadline: Milliseconds;
    readonly hasCallerLeft: () => boolean;
}

/** Why a request leaves a queue without having been served. */
export type WaitEnd =
    /** The caller has closed its connection. */
    | { readonly kind: "callerGone"; }
    /** The time limit has passed. */
    | { readonly kind: "expired"; };

/** Returns why a request is not to be served any more; `undefined` if it may be. */
export function reasonNotToServe(request: CallerWait, now: Milliseconds): WaitEnd | undefined {
    if (request.hasCallerLeft()) {
        return { kind: "callerGone" };
    }
    return now >= request.deadline ? { kind: "expired" } : undefined;
}

/** Weight of the latest measurement in the average. */
const averageWeight = 0.05;

/** Measures the average time from one request that leaves a queue to the next, while others wait. */
export class DeparturePace {
    private average: Milliseconds = 0;
    /** When the latest request left, if others waited behind it. */
    private lastDepartureAt: Milliseconds | undefined;

    /** @param maxInterval longest interval that is counted: a process that was stopped meanwhile is not slow. */
    constructor(private readonly maxInterval: Milliseconds) {}

    /** Average time between departures; 0 until one was measured. */
    get interval(): Milliseconds {
        return this.average;
    }

    /** Records that a request has left the queue; `hasOthers` if others still wait. */
    record(hasOthers: boolean, now: Milliseconds): void {
        if (this.lastDepartureAt !== undefined) {
            const interval = Math.min(this.maxInterval, now - this.lastDepartureAt);
            this.average += averageWeight * (interval - this.average);
        }
        this.lastDepartureAt = hasOthers ? now : undefined;
    }
}
