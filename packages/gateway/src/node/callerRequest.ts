/**
 * A caller's request that has passed the checks.
 *
 * @module
 */
import type { BlockBody, Milliseconds } from "@redwingpin/common";
import type { DirectAccount, DirectRoute, DirectService } from "@redwingpin/fleet";
import type { RouteTable } from "../decision/routeTable.js";
import type { CallerMetadata } from "../headerCodec.js";

/** A request that may be sent to endpoints. */
export interface DirectRequest {
    readonly metadata: CallerMetadata;
    readonly table: RouteTable;
    readonly route: DirectRoute;
    readonly service: DirectService;
    readonly account: DirectAccount | undefined;
    readonly method: string;
    readonly url: string;
    readonly rawHeaders: readonly string[];
    readonly body: BlockBody;
    readonly arrival: Milliseconds;
    /** Time by which the caller must have an answer. */
    readonly deadline: Milliseconds;
    /**
     * Digest of account, path and body that identifies a request across retries, to detect those that crash endpoints.
     */
    readonly fingerprint: string;
    /** Tokens that the account was charged. */
    readonly tokens: number;
}
