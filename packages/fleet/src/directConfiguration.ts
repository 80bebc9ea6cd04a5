/**
 * Configuration of direct routes: requests chosen by host and path go straight to endpoints that check for
 * themselves which instance is meant. Names are unique within each list.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** What an answer is made of. */
export enum Delivery {
    /** One body, passed on once it is complete. */
    Whole = "whole",
    /** A stream of numbered events, passed on as they arrive. */
    EventStream = "eventStream",
}

/** What a service's endpoints are. */
export enum DirectServiceKind {
    Engine = "engine",
    Plain = "plain",
    CacheStore = "cacheStore",
}

/** One service that a route leads to, with its share of the route's requests. */
export interface RouteTarget {
    readonly service: string;
    readonly weight: number;
}

/** A route by host and longest path prefix. */
export interface DirectRoute {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly prefix: string;
    readonly targets: readonly RouteTarget[];
    readonly delivery: Delivery;
    /** True where a request may run more than once: a whole answer from the start, a stream from its last event. */
    readonly repeatable: boolean;
    /** Longest time that a caller is kept waiting. */
    readonly timeout: Milliseconds;
    /** Time to the whole answer, or to a stream's first event, within which the caller is served well. */
    readonly targetLatency: Milliseconds;
    /** Endpoints to which one request may be sent. */
    readonly attempts: number;
    /** Rank among routes; 0 is the most urgent. */
    readonly priority: number;
    /** True where no key is needed. */
    readonly open: boolean;
}

/** What a model engine offers, as configured. */
export interface EngineCapacity {
    readonly slots: number;
    readonly cacheTokens: number;
    readonly bytesPerToken: number;
    readonly models: readonly string[];
}

/** A service. */
export interface DirectService {
    readonly name: string;
    readonly kind: DirectServiceKind;
    readonly healthPath: string;
    /** Connections that one endpoint accepts from all callers. */
    readonly maxConnections: number;
    /** Present for engines. */
    readonly engine?: EngineCapacity;
    /** `host:port` of a cache store. */
    readonly cacheStoreAddress?: string;
    /** Tokens for which a cache store has room. */
    readonly cacheTokens?: number;
    readonly dataCentre?: string;
}

/** A client account of direct routes. */
export interface DirectAccount {
    readonly name: string;
    /** SHA-256 of each key as hex digits. */
    readonly keyDigests: readonly string[];
    /** Goes before the route's priority. */
    readonly priority?: number;
    /** Tokens a second over the whole fleet; 0 for no limit. */
    readonly tokensPerSecond: number;
    readonly burstTokens: number;
    /** Tokens charged for a request that names none; 1 where the account is limited in requests. */
    readonly tokensPerPlainRequest: number;
    /** True where limits count requests and not tokens. */
    readonly countsRequests: boolean;
    /** True where the account shares no cached prefix with any other. */
    readonly isolated: boolean;
}

/** Bounds on what callers send. */
export interface CallerLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeout: Milliseconds;
    readonly idleTimeout: Milliseconds;
}

/** Everything that direct routes need. */
export interface DirectConfiguration {
    /** Rises with each change, in uneven steps. */
    readonly version: number;
    readonly routes: readonly DirectRoute[];
    readonly services: readonly DirectService[];
    readonly accounts: readonly DirectAccount[];
    readonly limits: CallerLimits;
}

/** An endpoint as its own registration describes it. */
export interface DirectEndpoint {
    /** Differs for each start of an endpoint, with few exceptions. */
    readonly instance: string;
    readonly service: string;
    readonly host: string;
    readonly port: number;
    readonly dataCentre: string;
    readonly slots: number;
    /** True once the endpoint takes no new work. */
    readonly leaving: boolean;
    /** Version of each model that it serves, as last registered. */
    readonly weights: readonly ModelWeights[];
}

/** A model and the version of its weights. */
export interface ModelWeights {
    readonly model: string;
    readonly version: number;
}
