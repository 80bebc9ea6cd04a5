/**
 * Settings of redwingpin-agent, resolved once from flags and environment.
 *
 * @module
 */
import {
    parseHttpAddress,
    parseInteger,
    parseMember,
    parseText,
    type SettingTable,
} from "@redwingpin/common";
import { EndpointKind } from "@redwingpin/manifest";
import { maxPort, processSettings, type ResolvedProcessConfig } from "@redwingpin/protocol";

const maxConcurrency = 10_000;
const maxQueueTokens = 1_000_000_000;
const maxDurationMilliseconds = 86_400_000;

/** Resolved settings of an agent. */
export interface ResolvedAgentConfig extends ResolvedProcessConfig {
    /** Pool that the endpoint belongs to. */
    readonly pool: string;
    /** HTTP port of `/metrics`, `/health` and `/ready`. */
    readonly metricsPort: number;
    /** HTTP address of the endpoint, without a trailing slash. */
    readonly endpointAddress: string;
    readonly endpointKind: EndpointKind;
    /** Maximum number of concurrent requests at the endpoint. */
    readonly concurrency: number;
    /** Maximum number of running requests whose answers have not begun; others wait in the agent's fair queue. */
    readonly maxUnanswered: number;
    /** Maximum number of requests in the queue. */
    readonly maxQueuedRequests: number;
    /** Maximum number of tokens in the queue. */
    readonly maxQueuedTokens: number;
    /** Milliseconds between two health checks of the endpoint. */
    readonly healthIntervalMilliseconds: number;
}

/** The settings of an agent. */
export const agentSettings: SettingTable<ResolvedAgentConfig> = {
    ...processSettings,
    pool: { variable: "REDWINGPIN_POOL", description: "Pool of the endpoint", parse: parseText },
    metricsPort: {
        variable: "REDWINGPIN_METRICS_PORT",
        description: "HTTP port of metrics and health checks",
        defaultText: "0",
        parse: parseInteger(0, maxPort),
    },
    endpointAddress: {
        variable: "REDWINGPIN_ENDPOINT_ADDRESS",
        description: "HTTP address of the endpoint",
        parse: parseHttpAddress,
    },
    endpointKind: {
        variable: "REDWINGPIN_ENDPOINT_KIND",
        description: "Kind of the endpoint: engine, service or cacheStore",
        parse: parseMember(EndpointKind),
    },
    concurrency: {
        variable: "REDWINGPIN_CONCURRENCY",
        description: "Maximum number of concurrent requests at the endpoint",
        defaultText: "32",
        parse: parseInteger(1, maxConcurrency),
    },
    maxUnanswered: {
        variable: "REDWINGPIN_MAX_UNANSWERED",
        description: "Maximum number of running requests whose answers have not begun",
        defaultText: "4",
        parse: parseInteger(1, maxConcurrency),
    },
    maxQueuedRequests: {
        variable: "REDWINGPIN_MAX_QUEUED_REQUESTS",
        description: "Maximum number of requests in the queue",
        defaultText: "1000",
        parse: parseInteger(1, maxConcurrency),
    },
    maxQueuedTokens: {
        variable: "REDWINGPIN_MAX_QUEUED_TOKENS",
        description: "Maximum number of tokens in the queue",
        defaultText: "2000000",
        parse: parseInteger(1, maxQueueTokens),
    },
    healthIntervalMilliseconds: {
        variable: "REDWINGPIN_HEALTH_INTERVAL_MILLISECONDS",
        description: "Milliseconds between two health checks of the endpoint",
        defaultText: "250",
        parse: parseInteger(10, maxDurationMilliseconds),
    },
};
