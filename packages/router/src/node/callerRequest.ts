/**
 * A caller's request that has passed its checks, as admission, claims and attempts need it.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { ClientAccount, Route } from "@redwingpin/manifest";
import type { PrefixChain } from "@redwingpin/placement";
import type { HeaderField } from "@redwingpin/protocol";
import type { CompletionBody } from "../decision/routedRequest.js";

/** A request that has passed its checks. */
export interface CallerRequest {
    /** Unique for each request, also within one trace. */
    readonly identifier: string;
    readonly traceparent: string;
    readonly route: Route;
    /** Absent for callers without a key on open routes. */
    readonly account: ClientAccount | undefined;
    readonly method: string;
    /** Path and query at the endpoint. */
    readonly path: string;
    readonly headers: readonly HeaderField[];
    readonly body: Buffer;
    /** Absent for services. */
    readonly completion: CompletionBody | undefined;
    /** Maximum number of tokens that the request costs. */
    readonly tokens: number;
    readonly idempotencyKey: string | undefined;
    /** Time of the router's clock at which the request's checks began. */
    readonly arrival: Milliseconds;
    /** Time of the router's clock at which the request times out. */
    readonly deadline: Milliseconds;
    /** Digest of account and body. */
    readonly fingerprint: string;
    /** The prompt's prefix blocks; none for services. */
    readonly prefix: PrefixChain;
}
