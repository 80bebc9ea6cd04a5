/**
 * Configuration of direct routes. Their requests are routed by host and path and sent straight to endpoints; each endpoint
 * checks that a request is addressed to its instance. Names are unique within each list.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** Form of an answer. */
export enum Delivery {
    /** One body, forwarded once it is complete. */
    Whole = "whole",
    /** A stream of numbered events, forwarded as they arrive. */
    EventStream = "eventStream",
}

/** Kind of a service's endpoints. */
export enum DirectServiceKind {
    Engine = "engine",
    Plain = "plain",
    CacheStore = "cacheStore",
}

/** A target service of a route; its share of the requests is in proportion to `weight`. */
export interface RouteTarget {
    readonly service: string;
    readonly weight: number;
}

/** A route, matched by host and longest path prefix. */
export interface DirectRoute {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly prefix: string;
    readonly targets: readonly RouteTarget[];
    readonly delivery: Delivery;
    /** True if a request may run more than once: from the start for a whole answer, from the last event for a stream. */
    readonly repeatable: boolean;
    /** Maximum time that a caller waits. */
    readonly timeout: Milliseconds;
    /** Target for the time to the whole answer, or to the first event of a stream. */
    readonly targetLatency: Milliseconds;
    /** Maximum number of endpoints to which one request is sent. */
    readonly attempts: number;
    /** Priority among routes; 0 is the highest. */
    readonly priority: number;
    /** True if callers need no key. */
    readonly open: boolean;
}

/** Configured capacity of a model engine. */
export interface EngineCapacity {
    readonly slots: number;
    readonly cacheTokens: number;
    readonly bytesPerToken: number;
    readonly models: readonly string[];
    /** Capacity of the link over which an endpoint transfers cached prefixes; absent if unknown. */
    readonly linkMegabitsPerSecond?: number;
}

export interface DirectService {
    readonly name: string;
    readonly kind: DirectServiceKind;
    readonly healthPath: string;
    /** Connections that one endpoint accepts in total. */
    readonly maxConnections: number;
    /** Present for engines. */
    readonly engine?: EngineCapacity;
    /** `host:port` of a cache store. */
    readonly cacheStoreAddress?: string;
    /** Capacity of a cache store in tokens. */
    readonly cacheTokens?: number;
    /** Capacity of a cache store's link; absent if unknown. */
    readonly linkMegabitsPerSecond?: number;
    readonly dataCentre?: string;
}

/** A client account of direct routes. */
export interface DirectAccount {
    readonly name: string;
    /** SHA-256 of each key in hexadecimal digits. */
    readonly keyDigests: readonly string[];
    /** Overrides the route's priority. */
    readonly priority?: number;
    /** Tokens per second over the whole fleet; 0 for no limit. */
    readonly tokensPerSecond: number;
    readonly burstTokens: number;
    /** Tokens charged for a request without token counts; 1 if the limits count requests. */
    readonly tokensPerPlainRequest: number;
    /** True if limits count requests instead of tokens. */
    readonly countsRequests: boolean;
    /** True if the account shares no cached prefix with another account. */
    readonly isolated: boolean;
}

/** Limits on the requests of callers. */
export interface CallerLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeout: Milliseconds;
    readonly idleTimeout: Milliseconds;
}

/** The whole configuration of direct routes. */
export interface DirectConfiguration {
    /** Increases with each change, by 1 or more. */
    readonly version: number;
    readonly routes: readonly DirectRoute[];
    readonly services: readonly DirectService[];
    readonly accounts: readonly DirectAccount[];
    readonly limits: CallerLimits;
}

/** An endpoint as described by its registration. */
export interface DirectEndpoint {
    /** Differs for each start of an endpoint, with few exceptions. */
    readonly instance: string;
    /** When it started, in Unix milliseconds; tells two starts under one instance apart. Absent if not registered. */
    readonly startedAt?: number;
    readonly service: string;
    readonly host: string;
    readonly port: number;
    readonly dataCentre: string;
    readonly slots: number;
    /** True once the endpoint accepts no new work. */
    readonly leaving: boolean;
    /** Version of its software; absent from peers of earlier releases. */
    readonly version?: string;
    /** Version of the weights of each model that it serves, as last registered. */
    readonly weights: readonly ModelWeights[];
}

/** A model and the version of its weights. */
export interface ModelWeights {
    readonly model: string;
    readonly version: number;
}
