/**
 * Notes answers that stand still, so that a run that is slow or has lost its answer shows in the log before it ends, and
 * also where the router ends first.
 *
 * @module
 */
import type { CancelTimer, Clock, Logger, Milliseconds } from "@redwingpin/common";

/** Interval of the looks at an attempt's progress; most attempts end before the first. */
const lookInterval: Milliseconds = 1_000;

/** An attempt without progress for this many looks in a row stands still. */
const stalledLooks = 2;

/** What is watched. */
export interface WatchedAttempt {
    readonly request: string;
    readonly endpoint: string;
    /** Events that the caller has. */
    readonly events: () => number;
}

/** Watches an attempt until the returned function is called; writes one line each time that it comes to stand still. */
export function watchForStalls(clock: Clock, logger: Logger, attempt: WatchedAttempt): CancelTimer {
    let events = attempt.events();
    let looksWithout = 0;
    let cancel: CancelTimer = () => {};
    const look = () => {
        const now = attempt.events();
        looksWithout = now === events ? looksWithout + 1 : 0;
        events = now;
        if (looksWithout === stalledLooks) {
            const { endpoint, request } = attempt;
            logger.warn("answer stands still", {
                request,
                endpoint,
                events,
                after: stalledLooks * lookInterval,
            });
        }
        cancel = clock.schedule(lookInterval, look);
    };
    cancel = clock.schedule(lookInterval, look);
    return () => cancel();
}
