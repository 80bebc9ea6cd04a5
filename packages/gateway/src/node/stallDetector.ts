/**
 * Notes answers that stand still, so that a run that is slow or has lost its answer shows in the log before it ends, and
 * also where the router ends first.
 *
 * @module
 */
import type { CancelTimer, Clock, Logger, Milliseconds } from "@redwingpin/common";

/** Interval of the looks at an attempt's progress; most attempts end before the first. */
const checkInterval: Milliseconds = 1_000;

/** An attempt without progress for this many looks in a row stands still. */
const checksUntilStalled = 2;

/** What is watched. */
export interface MonitoredAttempt {
    readonly request: string;
    readonly endpoint: string;
    /** Events that the caller has. */
    readonly events: () => number;
}

/** Watches an attempt until the returned function is called; writes one line each time that it comes to stand still. */
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
            logger.warn("answer stands still", {
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
