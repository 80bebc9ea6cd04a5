/**
 * The agent's metrics: its queue, its declined requests and its endpoint.
 *
 * @module
 */
import { type ProcessGauges, registerGauge, registerProcessMetrics } from "@redwingpin/common";
import { DeclineReason } from "@redwingpin/protocol";
import { Counter, type Registry } from "prom-client";

/** Values that are read when metrics are collected. */
export interface AgentGauges extends ProcessGauges {
    readonly pendingTokens: () => number;
    readonly running: () => number;
    readonly isEndpointUp: () => boolean;
}

/** Counts declined requests. */
export interface DeclineCounter {
    recordDecline(reason: DeclineReason): void;
}

/** Registers the agent's metrics in `registry`. */
export function createAgentMetrics(registry: Registry, gauges: AgentGauges): DeclineCounter {
    registerProcessMetrics(registry, gauges);
    registerGauge(
        registry,
        "redwingpin_pending_tokens",
        "Tokens of waiting requests and of running ones whose answers have not begun",
        gauges.pendingTokens,
    );
    registerGauge(
        registry,
        "redwingpin_running_requests",
        "Requests running at the endpoint",
        gauges.running,
    );
    registerGauge(
        registry,
        "redwingpin_endpoint_up",
        "1 while the endpoint answers",
        () => gauges.isEndpointUp() ? 1 : 0,
    );
    const declines = new Counter({
        name: "redwingpin_declines_total",
        help: "Requests that the agent declined, by reason",
        labelNames: ["reason"],
        registers: [registry],
    });
    for (const reason of Object.values(DeclineReason)) {
        declines.inc({ reason }, 0);
    }
    return { recordDecline: (reason) => declines.inc({ reason }) };
}
