/**
 * Counters of what gave way to keep callers within the memory and the descriptors of the process.
 *
 * @module
 */
import { Counter, type Registry } from "prom-client";

/** Metrics of the limits for callers' connections and bodies. */
export class ClientLimitMetrics {
    private readonly closedConnections: Counter<"reason">;
    private readonly yieldedBodies: Counter;

    constructor(registry: Registry) {
        const registers = [registry];
        this.closedConnections = new Counter({
            name: "redwingpin_direct_connections_closed_total",
            help: "Connections of callers that were closed since they exceeded a limit, by reason",
            labelNames: ["reason"],
            registers,
        });
        this.yieldedBodies = new Counter({
            name: "redwingpin_direct_bodies_yielded_total",
            help: "Request bodies without progress that were refused since their memory was needed",
            registers,
        });
    }

    recordClosedConnection(reason: string): void {
        this.closedConnections.inc({ reason });
    }

    recordYieldedBody(): void {
        this.yieldedBodies.inc();
    }
}
