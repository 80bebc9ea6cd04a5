/**
 * Measures the delay of the event loop: how much later than due a timer runs. Every callback of the process, and with it
 * every connection that waits to be accepted, is held up by the same delay.
 *
 * @module
 */
import { Histogram, type Registry } from "prom-client";
import type { CancelTimer, Clock, Milliseconds } from "./clock.js";
import type { Logger } from "./logger.js";

/** Interval of the measurements. A shorter turn of the event loop may pass between two of them. */
const measurementInterval: Milliseconds = 50;

/** A delay from this value on is logged. */
const loggedDelay: Milliseconds = 250;

/** Minimum time between two log lines. */
const minLogInterval: Milliseconds = 10_000;

/** Period over which delays and work are summed up. */
const summaryPeriod: Milliseconds = 1_000;

/** A period whose longest delay has at least this value is logged with the work that was done in it. */
const loggedSummaryDelay: Milliseconds = 100;

const millisecondsPerSecond = 1_000;
const delayBuckets = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5];

/** Options of {@link startEventLoopMonitor}. */
export interface EventLoopMonitorOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly registry: Registry;
    /**
     * Cumulative counts of the process's work by name, whose growth is logged for periods with delays.
     * @default no counts
     */
    readonly workCounts?: () => Readonly<Record<string, number>>;
    /**
     * Time for which the event loop has not waited for events since its start.
     * @default that of this process
     */
    readonly activeTime?: () => Milliseconds;
}

/** A running monitor. */
export interface EventLoopMonitor {
    /**
     * The latest time at which the current turn of the event loop can have begun: a timer that is overdue has not run in it.
     * What is read in this turn had arrived by then. A process that was stopped while it waited for events began the turn
     * afterwards, so the turn is no longer than the time for which the loop has not waited.
     */
    readonly turnStartedBy: () => Milliseconds;
    readonly stop: CancelTimer;
}

/** Measures until the monitor is stopped. */
export function startEventLoopMonitor(options: EventLoopMonitorOptions): EventLoopMonitor {
    const { clock, logger, registry } = options;
    const delays = new Histogram({
        name: "redwingpin_event_loop_delay_seconds",
        help: "Time by which a timer of the event loop ran late, measured 20 times a second",
        buckets: delayBuckets,
        registers: [registry],
    });
    let nextLogAt = -Infinity;
    let unlogged = 0;
    const summary = new DelaySummary(options);
    const activeTime = options.activeTime ?? (() => performance.eventLoopUtilization().active);
    let activeBefore = activeTime();
    let due = clock.now() + measurementInterval;
    let cancel: CancelTimer = () => {};
    const measure = () => {
        const now = clock.now();
        const delay = Math.max(0, now - due);
        delays.observe(delay / millisecondsPerSecond);
        if (delay >= loggedDelay) {
            if (now >= nextLogAt) {
                logger.warn("event loop delayed", { delay: Math.round(delay), unlogged });
                nextLogAt = now + minLogInterval;
                unlogged = 0;
            }
            else {
                unlogged += 1;
            }
        }
        summary.record(delay, now);
        activeBefore = activeTime();
        due = now + measurementInterval;
        cancel = clock.schedule(measurementInterval, measure);
    };
    cancel = clock.schedule(measurementInterval, measure);
    return {
        turnStartedBy: () => {
            const now = clock.now();
            return now - Math.max(0, Math.min(now - due, activeTime() - activeBefore));
        },
        stop: () => cancel(),
    };
}

/** Sums up the delays and the work of each period, and logs both if a delay was long. */
class DelaySummary {
    private startedAt: Milliseconds;
    private longest: Milliseconds = 0;
    private total: Milliseconds = 0;
    private counts: Readonly<Record<string, number>>;

    constructor(private readonly options: EventLoopMonitorOptions) {
        this.startedAt = options.clock.now();
        this.counts = this.currentCounts();
    }

    record(delay: Milliseconds, now: Milliseconds): void {
        this.longest = Math.max(this.longest, delay);
        this.total += delay;
        if (now - this.startedAt < summaryPeriod) {
            return;
        }
        const counts = this.currentCounts();
        if (this.longest >= loggedSummaryDelay) {
            const work = Object.entries(counts).map(([name, count]) => [
                name,
                count - (this.counts[name] ?? 0),
            ]);
            this.options.logger.info("event loop busy", {
                period: Math.round(now - this.startedAt),
                longest: Math.round(this.longest),
                total: Math.round(this.total),
                ...Object.fromEntries(work) as Record<string, number>,
            });
        }
        this.startedAt = now;
        this.longest = 0;
        this.total = 0;
        this.counts = counts;
    }

    private currentCounts(): Readonly<Record<string, number>> {
        return this.options.workCounts?.() ?? {};
    }
}
