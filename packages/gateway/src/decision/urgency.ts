/**
 * How urgent a request is to an endpoint that serves the most urgent first. In an overload, serving in the order of
 * arrival makes every request late; here those that are late in any case let those pass that still can be in time, and
 * are served with what capacity is left.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** Ranks that a late request is put behind: more than the routes and accounts of a deployment have. */
const deferredRanks = 5;

/** What decides about a request's urgency. */
export interface UrgencyInput {
    /** Rank of its route or account; 0 goes first. */
    readonly rank: number;
    /** Time since the caller sent it. */
    readonly elapsed: Milliseconds;
    /** Predicted time to its first event, from now. */
    readonly latency: Milliseconds;
    readonly targetLatency: Milliseconds;
}

/** True for a request that is going to be late. */
export function isDeferred({ elapsed, latency, targetLatency }: Omit<UrgencyInput, "rank">): boolean {
    return elapsed + latency > targetLatency;
}

/** The rank with which a request is sent; 0 goes first. */
export function urgencyRank(input: UrgencyInput): number {
    return isDeferred(input) ? input.rank + deferredRanks : input.rank;
}
