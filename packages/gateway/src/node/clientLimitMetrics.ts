/**
 * Counters of what gave way to keep callers within the memory and the descriptors of the process.
 *
 * @module
 */
import { Counter, type Registry } from "prom-client";

/** Metrics of the limits for callers' connections and bodies. */
export class ClientLimitMetrics {
    private readonly yieldedBodies: Counter;

    constructor(registry: Registry) {
        const registers = [registry];
        this.yieldedBodies = new Counter({
            name: "redwingpin_direct_bodies_yielded_total",
            help: "Request bodies without progress that were refused since their memory was needed",
            registers,
        });
    }

    recordYieldedBody(): void {
        this.yieldedBodies.inc();
    }
}
