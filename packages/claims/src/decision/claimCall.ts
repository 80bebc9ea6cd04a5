/**
 * A call that must run at most once, and the digests that identify it.
 *
 * @module
 */
import { digestOf, type RefusalOutcome, type RefusalReason } from "@redwingpin/common";
import type { HeaderField } from "@redwingpin/protocol";

/** Hex digits of a claim's digests: 128 bits. */
const digestDigits = 32;

const shardDigits = 8;

/** A call on a non-idempotent route with an Idempotency-Key. */
export interface ClaimCall {
    /** Name of the client account; absent on open routes without a key. */
    readonly account?: string;
    /** Name of the route. */
    readonly route: string;
    /** Value of the caller's `Idempotency-Key` header. */
    readonly idempotencyKey: string;
    readonly method: string;
    /** Path and query at the endpoint. */
    readonly path: string;
    readonly body: Uint8Array;
}

/** The complete answer to a call. */
export interface CallAnswer {
    readonly status: number;
    readonly headers: readonly HeaderField[];
    readonly body: Uint8Array;
}

/** The right to dispatch a call once. It belongs to the process that began the call. */
export interface Claim {
    readonly shard: number;
    /** Digest of account, route and idempotency key; 32 hex digits. */
    readonly key: string;
    /** Digest of method, path and body; 32 hex digits. */
    readonly content: string;
    /** Unique among all claims of all processes. */
    readonly token: string;
    /** Time on the claimant's clock, in milliseconds, after which the call must not be dispatched any more. */
    readonly dispatchBefore: number;
}

/** The decision on a call. */
export type ClaimDecision =
    /** Dispatch the call once, then call `finish` or `abandon`. */
    | { readonly kind: "run"; readonly claim: Claim; }
    /** The call ran before; send its stored answer. */
    | { readonly kind: "replay"; readonly answer: CallAnswer; }
    | { readonly kind: "refuse"; readonly reason: RefusalReason; readonly outcome: RefusalOutcome; };

/** Digests of a call. */
export interface CallIdentity {
    readonly shard: number;
    readonly key: string;
    readonly content: string;
}

/** Computes the digests of a call and selects its shard out of `shards`. */
export function identifyCall(call: ClaimCall, shards: number): CallIdentity {
    const scope = call.account === undefined ? ["open"] : ["account", call.account];
    const key = digestOf(...scope, call.route, call.idempotencyKey).slice(0, digestDigits);
    const content = digestOf(call.method, call.path, call.body).slice(0, digestDigits);
    return { shard: shardOf(key, shards), key, content };
}

/** Selects the shard, out of `shards`, that stores the claim with this key digest. */
export function shardOf(key: string, shards: number): number {
    return Number.parseInt(key.slice(0, shardDigits), 16) % shards;
}
