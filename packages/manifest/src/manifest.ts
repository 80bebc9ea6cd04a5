/**
 * The manifest: what the operators' build pipeline states should exist. Names are unique within each list.
 *
 * @module
 */

/** Priority of a route at the endpoints; higher members are served first. */
export enum RoutePriority {
    Interactive = "interactive",
    Normal = "normal",
    Bulk = "bulk",
}

/** What kind of endpoint a pool holds. */
export enum EndpointKind {
    Engine = "engine",
    Service = "service",
    CacheStore = "cacheStore",
}

/** What a route leads to. */
export enum RouteKind {
    Model = "model",
    Service = "service",
}

/** One version of a model and how many replicas should run it. */
export interface ModelVersion {
    readonly name: string;
    /** Name of the weights in the weight store. */
    readonly weights: string;
    /** Replicas that should run this version; counted over the model's pool. */
    readonly replicas: number;
}

/** A model, its versions side by side and its adapters. */
export interface Model {
    readonly name: string;
    readonly versions: readonly ModelVersion[];
    readonly adapters: readonly string[];
}

/** A key of an account; the caller's key itself never appears. */
export interface AccountKey {
    /** Name by which operators speak of the key. */
    readonly name: string;
    /** `sha256:` and 64 hex digits. */
    readonly digest: string;
}

/** A client account with its rate, burst and keys. */
export interface ClientAccount {
    readonly name: string;
    /** Tokens a second over the whole fleet. */
    readonly tokensPerSecond: number;
    /** Tokens that may be spent at once over the whole fleet. */
    readonly burstTokens: number;
    readonly keys: readonly AccountKey[];
}

/** A pool of endpoints; the VM list says which VMs belong to it. */
export interface EndpointPool {
    readonly name: string;
    readonly kind: EndpointKind;
    /** Model that the pool's engines serve; absent for services and cache stores. */
    readonly model?: string;
    /** True where the endpoint itself checks who gives it an order. */
    readonly checksSender: boolean;
    /** True where the endpoint itself refuses an order with an old fencing number. */
    readonly checksFencing: boolean;
}

/** Who may use a route: every caller, or the listed accounts. */
export type RouteAccess = { readonly open: true; } | {
    readonly open: false;
    readonly accounts: readonly string[];
};

interface RouteBase {
    /** Name that callers use: the `model` field of a completion, or `/services/<name>/`. */
    readonly name: string;
    readonly access: RouteAccess;
    readonly priority: RoutePriority;
    /** Name of the pool that serves the route. */
    readonly pool: string;
    /** False where a call must run at most once. */
    readonly idempotent: boolean;
}

/** A route to a version of a model. */
export interface ModelRoute extends RouteBase {
    readonly kind: RouteKind.Model;
    readonly model: string;
    readonly version: string;
    readonly adapter?: string;
}

/** A route to a plain service. */
export interface ServiceRoute extends RouteBase {
    readonly kind: RouteKind.Service;
    /** Tokens that one call is charged. */
    readonly callTokens: number;
}

/** A route, by kind. */
export type Route = ModelRoute | ServiceRoute;

/** Everything that should exist. */
export interface Manifest {
    readonly models: readonly Model[];
    readonly pools: readonly EndpointPool[];
    readonly accounts: readonly ClientAccount[];
    readonly routes: readonly Route[];
}
