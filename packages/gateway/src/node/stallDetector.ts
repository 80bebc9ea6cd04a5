/**
 * Logs answers that make no progress, so that a slow request, or one whose answer was lost, appears in the log before it
 * ends, even if the router stops first.
 *
 * @module
 */
import type { CancelTimer, Clock, Logger, Milliseconds } from "@redwingpin/common";

/** Interval of the checks; most attempts end before the first one. */
const checkInterval: Milliseconds = 1_000;

/** An answer has stalled after this many consecutive checks without progress. */
const checksUntilStalled = 2;

/** An attempt that is checked for stalls. */
export interface MonitoredAttempt {
    readonly request: string;
    readonly endpoint: string;
    /** Number of events that were sent to the caller. */
    readonly events: () => number;
}

/** Checks an attempt until the returned function is called; logs one line each time the attempt stalls. */
export function detectStalls(clock: Clock, logger: Logger, attempt: MonitoredAttempt): CancelTimer {
    let events = attempt.events();
    let checksWithoutProgress = 0;
    let cancel: CancelTimer = () => {};
    const check = () => {
        const current = attempt.events();
        checksWithoutProgress = current === events ? checksWithoutProgress + 1 : 0;
        events = current;
        if (checksWithoutProgress === checksUntilStalled) {
            const { endpoint, request } = attempt;
            logger.warn("answer stalled", {
                request,
                endpoint,
                events,
                after: checksUntilStalled * checkInterval,
            });
        }
        cancel = clock.schedule(checkInterval, check);
    };
    cancel = clock.schedule(checkInterval, check);
    return () => cancel();
}
