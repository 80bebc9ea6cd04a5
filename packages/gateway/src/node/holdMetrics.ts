/**
 * Metrics of the requests that wait for an endpoint with room.
 *
 * @module
 */
import { type Milliseconds, registerGauge } from "@redwingpin/common";
import { Histogram, type Registry } from "prom-client";

const millisecondsPerSecond = 1_000;
const holdBuckets = [0.001, 0.005, 0.025, 0.05, 0.1, 0.25];

/** Requests that wait. */
export interface HeldTotals {
    readonly length: number;
    /** Total size of their bodies. */
    readonly bytes: number;
}

/** The metrics of one router. */
export class HoldMetrics {
    private readonly times: Histogram<"end">;

    constructor(private readonly registry: Registry) {
        this.times = new Histogram({
            name: "redwingpin_direct_hold_seconds",
            help: "Time that requests waited for an endpoint with room, by how the wait ended",
            labelNames: ["end"],
            buckets: holdBuckets,
            registers: [registry],
        });
    }

    /** Registers gauges of the requests that wait. */
    observe(read: () => HeldTotals): void {
        const register = (name: string, help: string, value: () => number) =>
            registerGauge(this.registry, `redwingpin_direct_held_${name}`, help, value);
        register("requests", "Requests that wait for an endpoint with room", () => read().length);
        register("bytes", "Size of the bodies of the requests that wait for an endpoint", () => read().bytes);
    }

    record(end: string, duration: Milliseconds): void {
        this.times.observe({ end }, duration / millisecondsPerSecond);
    }
}
