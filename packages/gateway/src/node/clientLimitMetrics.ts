/**
 * Counters of callers' connections, and of what gave way to keep callers within the memory and the descriptors of the process.
 *
 * @module
 */
import { Counter, type Registry } from "prom-client";

/** Metrics of callers' connections, and of the limits for them and for bodies. */
export class ClientLimitMetrics {
    private readonly connections: Counter;
    private readonly closedConnections: Counter<"reason">;
    private readonly yieldedBodies: Counter;

    constructor(registry: Registry) {
        const registers = [registry];
        this.connections = new Counter({
            name: "redwingpin_direct_connections_total",
            help: "Connections of callers that were accepted",
            registers,
        });
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

    recordConnection(): void {
        this.connections.inc();
    }

    recordClosedConnection(reason: string): void {
        this.closedConnections.inc({ reason });
    }

    recordYieldedBody(): void {
        this.yieldedBodies.inc();
    }
}
