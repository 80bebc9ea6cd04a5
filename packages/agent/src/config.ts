/**
 * Settings of redwingpin-agent, resolved once from flags and environment.
 *
 * @module
 */
import {
    LogLevel,
    parseHttpAddress,
    parseInteger,
    parseMember,
    parseText,
    type SettingTable,
} from "@redwingpin/common";
import { EndpointKind } from "@redwingpin/manifest";
import { type FleetKeys, parseFleetKeys } from "@redwingpin/protocol";

const maxPort = 65_535;
const maxConcurrency = 10_000;
const maxQueueTokens = 1_000_000_000;
const maxDurationMilliseconds = 86_400_000;

/** Everything that an agent is told at its start. */
export interface ResolvedAgentConfig {
    /** Name of this instance, unique in the fleet. */
    readonly instance: string;
    readonly dataCentre: string;
    /** Pool that the endpoint belongs to. */
    readonly pool: string;
    readonly listenHost: string;
    /** Port of the inner protocol. */
    readonly innerPort: number;
    /** Port of `/metrics`, `/health` and `/ready`. */
    readonly metricsPort: number;
    /** HTTP address of the endpoint, without a trailing slash. */
    readonly endpointAddress: string;
    readonly endpointKind: EndpointKind;
    /** HTTP address of the platform's key-value store; the agent reads it only when it is given an order. */
    readonly storeAddress: string;
    readonly fleetKeys: FleetKeys;
    /** Requests that run at the endpoint at once. */
    readonly concurrency: number;
    /** Requests that run at the endpoint and have not begun to answer; the others wait here, where order is fair. */
    readonly maxUnanswered: number;
    /** Requests that may wait in the queue. */
    readonly maxQueuedRequests: number;
    /** Tokens that may wait in the queue. */
    readonly maxQueuedTokens: number;
    /** Milliseconds between two looks at the endpoint's health. */
    readonly healthIntervalMilliseconds: number;
    readonly logLevel: LogLevel;
}

/** The settings of an agent. */
export const agentSettings: SettingTable<ResolvedAgentConfig> = {
    instance: { variable: "REDWINGPIN_INSTANCE", description: "Name of this instance", parse: parseText },
    dataCentre: {
        variable: "REDWINGPIN_DATA_CENTRE",
        description: "Data centre of this VM",
        parse: parseText,
    },
    pool: { variable: "REDWINGPIN_POOL", description: "Pool of the endpoint", parse: parseText },
    listenHost: {
        variable: "REDWINGPIN_LISTEN_HOST",
        description: "Address to listen on",
        defaultText: "127.0.0.1",
        parse: parseText,
    },
    innerPort: {
        variable: "REDWINGPIN_INNER_PORT",
        description: "Port of the inner protocol",
        parse: parseInteger(0, maxPort),
    },
    metricsPort: {
        variable: "REDWINGPIN_METRICS_PORT",
        description: "Port of metrics and health",
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
    storeAddress: {
        variable: "REDWINGPIN_STORE_ADDRESS",
        description: "HTTP address of the platform's key-value store, read only when an order is given",
        parse: parseHttpAddress,
    },
    fleetKeys: {
        variable: "REDWINGPIN_FLEET_KEY",
        description:
            "Key that all processes of the fleet share; two, separated by a comma, while it is changed",
        secret: true,
        parse: parseFleetKeys,
    },
    concurrency: {
        variable: "REDWINGPIN_CONCURRENCY",
        description: "Requests that run at the endpoint at once",
        defaultText: "32",
        parse: parseInteger(1, maxConcurrency),
    },
    maxUnanswered: {
        variable: "REDWINGPIN_MAX_UNANSWERED",
        description: "Requests that run at the endpoint and have not begun to answer",
        defaultText: "4",
        parse: parseInteger(1, maxConcurrency),
    },
    maxQueuedRequests: {
        variable: "REDWINGPIN_MAX_QUEUED_REQUESTS",
        description: "Requests that may wait in the queue",
        defaultText: "1000",
        parse: parseInteger(1, maxConcurrency),
    },
    maxQueuedTokens: {
        variable: "REDWINGPIN_MAX_QUEUED_TOKENS",
        description: "Tokens that may wait in the queue",
        defaultText: "2000000",
        parse: parseInteger(1, maxQueueTokens),
    },
    healthIntervalMilliseconds: {
        variable: "REDWINGPIN_HEALTH_INTERVAL_MILLISECONDS",
        description: "Milliseconds between two looks at the endpoint's health",
        defaultText: "250",
        parse: parseInteger(10, maxDurationMilliseconds),
    },
    logLevel: {
        variable: "REDWINGPIN_LOG_LEVEL",
        description: "Least severe level that is logged: error, warn, info or debug",
        defaultText: LogLevel.Info,
        parse: parseMember(LogLevel),
    },
};
