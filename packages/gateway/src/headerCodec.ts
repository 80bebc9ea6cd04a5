/**
 * Translation between header fields and the metadata of requests and answers, for callers and endpoints. The adapter of
 * a platform implements it; no other part of the gateway knows the names of header fields.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { StatedSignals } from "@redwingpin/scheduling";
import type { Result } from "neverthrow";
import type { IncomingHttpHeaders } from "node:http";

/** One part of a prompt, outermost first. Requests with the same leading parts share their cached prefix. */
export interface PromptPart {
    readonly identifier: string;
    readonly tokens: number;
}

/** Metadata that a caller sends in the header of its request. */
export interface CallerMetadata {
    /** Identifier of this attempt of the caller, repeated to endpoints and in answers. */
    readonly attempt: string;
    /** The key itself; it is not forwarded to endpoints. */
    readonly credential?: string;
    /** How long the caller waits for an answer, from the time it sent the request. */
    readonly maxWait?: Milliseconds;
    readonly model?: string;
    readonly promptTokens: number;
    /** Maximum number of output tokens. */
    readonly outputTokens: number;
    /** The caller's estimate of the output tokens, which is often far off. */
    readonly expectedOutputTokens?: number;
    /** True if the request states its token counts. */
    readonly hasTokenCounts: boolean;
    readonly parts: readonly PromptPart[];
    /** Identifier of the last event that the caller received of the stream that it resumes. */
    readonly lastEvent?: string;
}

/** Metadata that the gateway adds to the caller's header fields for an endpoint. */
export interface DispatchMetadata {
    readonly instance: string;
    /** Time that is left for the answer. */
    readonly timeLeft: Milliseconds;
    readonly account?: string;
    readonly priority?: number;
    /** Cached prefixes are found only under the same scope. */
    readonly cacheScope?: string;
    /** The endpoint refuses the request if it serves another version of the weights. */
    readonly expectedVersion?: number;
    /** `host:port` from where the endpoint may fetch cached prefixes. */
    readonly fetchFrom?: string;
    /** `host:port` to which the endpoint saves the prefixes that it processed. */
    readonly saveTo?: string;
    /** Identifier of the event after which a resumed stream continues. */
    readonly lastEvent?: string;
}

/** Metadata of an endpoint's answer. */
export interface AnswerMetadata {
    readonly attempt?: string;
    /** True if the answer carries the endpoint's seal, the signature that marks the answer as its own. */
    readonly sealed: boolean;
    /** True if the endpoint states that it has not run the request and will not run it. */
    readonly notRun: boolean;
    readonly weightsVersion?: number;
    /** Instance that the endpoint states to be. */
    readonly instance?: string;
    readonly signals: StatedSignals;
}

/** Header fields in their order on the wire: name, value, name, value. */
export type RawHeaders = readonly string[];

/** Reads and writes header fields. */
export interface HeaderCodec {
    /** Reads a caller's fields; the error names the malformed one. */
    readRequest(headers: IncomingHttpHeaders): Result<CallerMetadata, string>;
    /** Header fields for the endpoint: the caller's fields without the reserved ones, and those of the dispatch. */
    endpointHeaders(caller: RawHeaders, dispatch: DispatchMetadata): string[];
    readAnswer(headers: RawHeaders): AnswerMetadata;
    /** Header fields of an answer that the gateway creates itself. */
    ownAnswerHeaders(attempt: string | undefined): Record<string, string>;
}
