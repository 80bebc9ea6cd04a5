/**
 * Pace at which requests may be started at an endpoint: at most a limit of requests a second, and none before a time.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** Starts that were not used accumulate over this time. */
const burstTime: Milliseconds = 500;

const millisecondsPerSecond = 1_000;

/** Counts the starts at one endpoint. */
export class StartPace {
    private perSecond: number | undefined;
    private pausedUntil: Milliseconds = -Infinity;
    /** Starts that are available. */
    private level = 0;
    private updatedAt: Milliseconds = -Infinity;

    /** Applies a limit of requests per second; `undefined` for none. */
    setLimit(perSecond: number | undefined, now: Milliseconds): void {
        this.refill(now);
        if (this.perSecond === undefined) {
            this.level = 0;
            this.updatedAt = now;
        }
        this.perSecond = perSecond;
    }

    /** Allows no start before a time. */
    pauseUntil(time: Milliseconds): void {
        this.pausedUntil = Math.max(this.pausedUntil, time);
    }

    /** When the next request may be started; `now` or earlier if it may be started now. */
    nextStartAt(now: Milliseconds): Milliseconds {
        if (this.perSecond === undefined) {
            return this.pausedUntil;
        }
        this.refill(now);
        const untilNext = this.level >= 1 ? 0 : (1 - this.level) * millisecondsPerSecond / this.perSecond;
        return Math.max(this.pausedUntil, now + untilNext);
    }

    /** Records that a request was started. */
    recordStart(now: Milliseconds): void {
        this.refill(now);
        this.level -= this.perSecond === undefined ? 0 : 1;
    }

    private refill(now: Milliseconds): void {
        if (this.perSecond !== undefined) {
            const rate = this.perSecond / millisecondsPerSecond;
            this.level = Math.min(Math.max(1, rate * burstTime), this.level + rate * (now - this.updatedAt));
            this.updatedAt = now;
        }
    }
}
