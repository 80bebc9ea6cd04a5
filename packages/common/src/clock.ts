/**
 * The clock interface that all packages use. All times and durations are in milliseconds.
 *
 * @module
 */

/** A point in time or a duration, in milliseconds. */
export type Milliseconds = number;

/** Cancels a scheduled callback. Calling it twice, or after the callback ran, has no effect. */
export type CancelTimer = () => void;

/** Source of time. Decisions receive it as an argument, so that tests can control the time. */
export interface Clock {
    /** Monotonic time in milliseconds since an arbitrary origin of this clock. */
    now(): Milliseconds;
    /** Time in milliseconds since the Unix epoch, for records that other processes read. */
    wallTime(): Milliseconds;
    /** Runs `callback` once after `delay`. */
    schedule(delay: Milliseconds, callback: () => void): CancelTimer;
}

/** The clock of the operating system. */
export const systemClock: Clock = {
    now: () => performance.now(),
    wallTime: () => Date.now(),
    schedule(delay, callback) {
        const timer = setTimeout(callback, delay);
        return () => clearTimeout(timer);
    },
};

interface Timer {
    readonly due: Milliseconds;
    /** Order of scheduling, for timers that are due at the same time. */
    readonly sequence: number;
    readonly callback: () => void;
}

/** A clock for tests, whose time changes only by {@link FakeClock.advance}. */
export class FakeClock implements Clock {
    private current: Milliseconds;
    private timers: Timer[] = [];
    private scheduledCount = 0;

    constructor(start: Milliseconds = 0) {
        this.current = start;
    }

    now(): Milliseconds {
        return this.current;
    }

    wallTime(): Milliseconds {
        return this.current;
    }

    schedule(delay: Milliseconds, callback: () => void): CancelTimer {
        const timer: Timer = {
            due: this.current + Math.max(0, delay),
            sequence: this.scheduledCount++,
            callback,
        };
        this.timers.push(timer);
        return () => {
            this.timers = this.timers.filter((other) => other !== timer);
        };
    }

    /** Advances the time by `duration` and runs every callback that becomes due, in order of due time. */
    advance(duration: Milliseconds): void {
        const end = this.current + duration;
        for (let next = this.removeNextDue(end); next !== undefined; next = this.removeNextDue(end)) {
            this.current = next.due;
            next.callback();
        }
        this.current = end;
    }

    private removeNextDue(end: Milliseconds): Timer | undefined {
        const due = this.timers.filter((timer) => timer.due <= end);
        if (due.length === 0) {
            return undefined;
        }
        const first = due.reduce((left, right) => isBefore(right, left) ? right : left);
        this.timers = this.timers.filter((timer) => timer !== first);
        return first;
    }
}

function isBefore(left: Timer, right: Timer): boolean {
    return left.due < right.due || (left.due === right.due && left.sequence < right.sequence);
}

/** Resolves after `delay` on the given clock. */
export function sleep(clock: Clock, delay: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
        clock.schedule(delay, resolve);
    });
}
