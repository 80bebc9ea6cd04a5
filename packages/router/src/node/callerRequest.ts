/**
 * A caller's request after its checks: everything that attempts, admission and claims need.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { ClientAccount, Route } from "@redwingpin/manifest";
import type { PrefixChain } from "@redwingpin/placement";
import type { HeaderField } from "@redwingpin/protocol";
import type { CompletionBody } from "../decision/routedRequest.js";

/** A request that may be run. */
export interface CallerRequest {
    /** Differs for each request, also within one trace. */
    readonly identifier: string;
    readonly traceparent: string;
    readonly route: Route;
    /** Absent on open routes without a key. */
    readonly account: ClientAccount | undefined;
    readonly method: string;
    /** Path and query at the endpoint. */
    readonly path: string;
    readonly headers: readonly HeaderField[];
    readonly body: Buffer;
    /** Absent for services. */
    readonly completion: CompletionBody | undefined;
    /** Tokens that the request costs at most. */
    readonly tokens: number;
    readonly idempotencyKey: string | undefined;
    /** Time of the router's clock at which the request's checks began. */
    readonly arrival: Milliseconds;
    /** Time of the router's clock at which the request is given up. */
    readonly deadline: Milliseconds;
    /** Digest of account and body. */
    readonly fingerprint: string;
    /** The prompt's nested prefix blocks; without blocks for services. */
    readonly prefix: PrefixChain;
}
