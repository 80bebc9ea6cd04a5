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

const millisecondsPerSecond = 1_000;
const delayBuckets = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5];

/** Options of {@link startEventLoopMonitor}. */
export interface EventLoopMonitorOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly registry: Registry;
}

/** Measures until the returned function is called. */
export function startEventLoopMonitor({ clock, logger, registry }: EventLoopMonitorOptions): CancelTimer {
    const delays = new Histogram({
        name: "redwingpin_event_loop_delay_seconds",
        help: "Time by which a timer of the event loop ran late, measured 20 times a second",
        buckets: delayBuckets,
        registers: [registry],
    });
    let nextLogAt = -Infinity;
    let unlogged = 0;
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
        due = now + measurementInterval;
        cancel = clock.schedule(measurementInterval, measure);
    };
    cancel = clock.schedule(measurementInterval, measure);
    return () => cancel();
}
