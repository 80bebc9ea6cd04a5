/**
 * Counts the connections that were closed since their port exceeded a limit.
 *
 * @module
 */
import { Counter, type Registry } from "prom-client";
import type { ClosedConnectionReason } from "./boundedConnections.js";

const name = "redwingpin_control_connections_closed_total";

/** Returns a function that counts a closed connection of a port. The ports of a process share one counter. */
export function closedConnectionRecorder(
    registry: Registry,
    port: string,
): (reason: ClosedConnectionReason) => void {
    const existing = registry.getSingleMetric(name) as Counter<"port" | "reason"> | undefined;
    const counter = existing ?? new Counter({
        name,
        help: "Connections that were closed since their port exceeded a limit, by port and reason",
        labelNames: ["port", "reason"],
        registers: [registry],
    });
    return (reason) => counter.inc({ port, reason });
}
