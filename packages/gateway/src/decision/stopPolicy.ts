/**
 * Decides which requests a stopping router still accepts.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** Time limits of a request. */
export interface RequestTimeLimits {
    /** Time limit of the route. */
    readonly timeout: Milliseconds;
    /** How long the caller waits; absent if it does not say so. */
    readonly maxWait?: Milliseconds;
}

/**
 * True if a request is sure to end within `left`, the time until the process has to stop: by its own time limit at the latest.
 * Any other one is refused at once, since it might be cut off after it has run.
 */
export function endsBeforeStop(limits: RequestTimeLimits, left: Milliseconds): boolean {
    return Math.min(limits.timeout, limits.maxWait ?? Infinity) <= left;
}
