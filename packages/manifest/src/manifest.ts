/**
 * The manifest: the desired configuration, written by the operators' build pipeline. Names are unique within each list.
 *
 * @module
 */

/** Priority of a route at the endpoints, highest first. */
export enum RoutePriority {
    Interactive = "interactive",
    Normal = "normal",
    Bulk = "bulk",
}

/** Kind of the endpoints in a pool. */
export enum EndpointKind {
    Engine = "engine",
    Service = "service",
    CacheStore = "cacheStore",
}

/** Kind of a route's target. */
export enum RouteKind {
    Model = "model",
    Service = "service",
}

/** One version of a model, with its desired number of replicas. */
export interface ModelVersion {
    readonly name: string;
    /** Name of the weights in the weight store. */
    readonly weights: string;
    /** Desired number of replicas with this version in the model's pool. */
    readonly replicas: number;
}

/** A model with the versions that are served in parallel and its adapters. */
export interface Model {
    readonly name: string;
    readonly versions: readonly ModelVersion[];
    readonly adapters: readonly string[];
}

/** A key of an account. The manifest never contains the caller's key itself. */
export interface AccountKey {
    /** Name that operators use for the key. */
    readonly name: string;
    /** `sha256:` and 64 hex digits. */
    readonly digest: string;
}

/** A client account with its rate, burst and keys. */
export interface ClientAccount {
    readonly name: string;
    /** Rate over the whole fleet. */
    readonly tokensPerSecond: number;
    /** Tokens that can be spent in one burst over the whole fleet. */
    readonly burstTokens: number;
    readonly keys: readonly AccountKey[];
}

/** A pool of endpoints. The VM list assigns VMs to it. */
export interface EndpointPool {
    readonly name: string;
    readonly kind: EndpointKind;
    /** Model that the pool's engines serve; absent for services and cache stores. */
    readonly model?: string;
    /** True if the endpoint verifies the sender of an order. */
    readonly checksSender: boolean;
    /** True if the endpoint refuses an order with an outdated fencing token. */
    readonly checksFencing: boolean;
}

/** Who may use a route: every caller, or the listed accounts. */
export type RouteAccess = { readonly open: true; } | {
    readonly open: false;
    readonly accounts: readonly string[];
};

interface RouteBase {
    /** Name that callers use, in the `model` field of a completion or the path `/services/<name>/`. */
    readonly name: string;
    readonly access: RouteAccess;
    readonly priority: RoutePriority;
    /** Name of the pool that serves the route. */
    readonly pool: string;
    /** False if a call must run at most once. */
    readonly idempotent: boolean;
}

/** A route to a version of a model. */
export interface ModelRoute extends RouteBase {
    readonly kind: RouteKind.Model;
    readonly model: string;
    readonly version: string;
    readonly adapter?: string;
}

/** A route to a service. */
export interface ServiceRoute extends RouteBase {
    readonly kind: RouteKind.Service;
    /** Tokens that are charged for one call. */
    readonly callTokens: number;
}

/** A route, by kind. */
export type Route = ModelRoute | ServiceRoute;

/** Desired models, pools, accounts and routes. */
export interface Manifest {
    readonly models: readonly Model[];
    readonly pools: readonly EndpointPool[];
    readonly accounts: readonly ClientAccount[];
    readonly routes: readonly Route[];
}
