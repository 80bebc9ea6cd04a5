/**
 * Records what a caller observes of one call.
 *
 * @module
 */

export enum CallKind {
    Completion = "completion",
    Stream = "stream",
    /** A non-idempotent service call. */
    NonIdempotent = "nonIdempotent",
    /** An idempotent service call. */
    Idempotent = "idempotent",
}

/** How a call ended as observed by its caller. */
export enum CallEnd {
    /** The complete answer arrived. */
    Complete = "complete",
    /** The router answered with an error. */
    Refused = "refused",
    /** The connection was lost, or a stream ended without its last event. */
    Interrupted = "cut",
    /** The connection was refused. */
    Unreachable = "unreachable",
}

/** One call as observed by its caller. */
export interface CallRecord {
    readonly kind: CallKind;
    /** Text that only this call's prompt or body contains; it stays the same when the call is sent again. */
    readonly identity: string;
    readonly account: string;
    /** Base address of the router. */
    readonly router: string;
    /** Name of the route to a model; empty for services. */
    readonly model: string;
    /** Prompt of a completion or stream. */
    readonly prompt: string;
    readonly maximumTokens: number;
    /** Start and end in milliseconds of `performance.now()`. */
    readonly startedAt: number;
    endedAt: number;
    end: CallEnd;
    /** HTTP status; 0 before the head of the answer arrived. */
    status: number;
    /** Value of the `redwingpin-outcome` header. */
    outcome: string | undefined;
    /** The `code` of an error answer. */
    code: string | undefined;
    /** Text of the answer received so far. */
    text: string;
    /** Number of tokens received, for streams. */
    tokens: number;
}
