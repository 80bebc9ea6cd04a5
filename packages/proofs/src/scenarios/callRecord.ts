/**
 * What a caller saw of one call.
 *
 * @module
 */

/** Kinds of calls. */
export enum CallKind {
    Completion = "completion",
    Stream = "stream",
    /** A service call that may not be repeated. */
    Stamp = "stamp",
    /** A service call that may be repeated. */
    Lookup = "lookup",
}

/** How a call ended for its caller. */
export enum CallEnd {
    /** The whole answer arrived. */
    Complete = "complete",
    /** The product answered with an error. */
    Refused = "refused",
    /** The connection broke, or a stream ended without its last event. */
    Cut = "cut",
    /** No connection was made. */
    Unreachable = "unreachable",
}

/** One call as its caller saw it. */
export interface CallRecord {
    readonly kind: CallKind;
    /** Text that occurs in this call's prompt or body alone; the same call sent again has the same. */
    readonly identity: string;
    readonly account: string;
    /** Base address of the router. */
    readonly router: string;
    /** Name of the route to a model; empty for services. */
    readonly model: string;
    /** Prompt of a completion or stream. */
    readonly prompt: string;
    readonly maximumTokens: number;
    /** Start and end in milliseconds of one clock. */
    readonly startedAt: number;
    endedAt: number;
    end: CallEnd;
    /** HTTP status; 0 before there is one. */
    status: number;
    /** Value of the `redwingpin-outcome` header. */
    outcome: string | undefined;
    /** The `code` of an error answer. */
    code: string | undefined;
    /** Text of the answer so far. */
    text: string;
    /** Tokens that have arrived, for streams. */
    tokens: number;
}
