/**
 * The router's metrics, except the counters of refusals and retries.
 *
 * @module
 */
import {
    type Milliseconds,
    type ProcessGauges,
    registerGauge,
    registerProcessMetrics,
} from "@redwingpin/common";
import { Counter, Histogram, type Registry } from "prom-client";

/** How a request ended, as a label. */
export enum RequestEnd {
    Answered = "answered",
    Replayed = "replayed",
    Refused = "refused",
    /** The caller received part of the answer and an explicit error. */
    Truncated = "cut",
    /** The caller disconnected. */
    Abandoned = "abandoned",
}

/** Values that are read when metrics are collected. */
export interface RouterGauges extends ProcessGauges {
    readonly openExchanges: () => number;
    readonly knownRouters: () => number;
    readonly knownAgents: () => number;
}

/** Records metrics of requests. */
export interface RequestMetrics {
    /** Counts a request by how it ended. */
    recordEnd(end: RequestEnd): void;
    /** Records the time from a request's arrival to the first byte of its answer. */
    recordFirstByte(duration: Milliseconds): void;
    /** Adds a prompt's blocks, and those of them that were in the endpoint's cache. */
    recordBlocks(promptBlocks: number, hitBlocks: number): void;
}

const millisecondsPerSecond = 1_000;
const firstByteBucketsSeconds = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.59, 1, 2.5, 5, 10, 30];

/** Registers the metrics of requests in `registry`. */
export function createRequestMetrics(registry: Registry): RequestMetrics {
    const registers = [registry];
    const requests = new Counter({
        name: "redwingpin_requests_total",
        help: "Requests that passed their checks, by how they ended",
        labelNames: ["end"],
        registers,
    });
    const firstByte = new Histogram({
        name: "redwingpin_first_byte_seconds",
        help: "Time from a request's arrival to the first byte of its answer",
        buckets: firstByteBucketsSeconds,
        registers,
    });
    const promptBlocks = new Counter({
        name: "redwingpin_prompt_blocks_total",
        help: "Prefix blocks of the prompts that were placed",
        registers,
    });
    const hitBlocks = new Counter({
        name: "redwingpin_hit_blocks_total",
        help: "Prefix blocks that the chosen endpoint's cache held",
        registers,
    });
    return {
        recordEnd: (end) => requests.inc({ end }),
        recordFirstByte: (duration) => firstByte.observe(duration / millisecondsPerSecond),
        recordBlocks(prompt, hit) {
            promptBlocks.inc(prompt);
            hitBlocks.inc(hit);
        },
    };
}

/** Registers the gauges of a router in `registry`. */
export function registerRouterGauges(registry: Registry, gauges: RouterGauges): void {
    registerProcessMetrics(registry, gauges);
    registerGauge(registry, "redwingpin_open_exchanges", "Open exchanges with agents", gauges.openExchanges);
    registerGauge(registry, "redwingpin_known_routers", "Other live routers", gauges.knownRouters);
    registerGauge(registry, "redwingpin_known_agents", "Agents that accept requests", gauges.knownAgents);
}
