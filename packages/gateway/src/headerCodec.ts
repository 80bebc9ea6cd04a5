/**
 * How facts about a request are spelled between callers, the gateway and endpoints. An adapter of a platform
 * implements it; nothing else in the gateway knows the names of header fields.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { Result } from "neverthrow";
import type { IncomingHttpHeaders } from "node:http";

/** One part of a prompt, outermost first; requests with the same leading parts share their cached prefix. */
export interface PromptPart {
    readonly identifier: string;
    readonly tokens: number;
}

/** What a caller says of its request beside path and body. */
export interface CallerMetadata {
    /** Identifier of this attempt of the caller; endpoints and answers repeat it. */
    readonly attempt: string;
    /** The key itself; it goes no further than the gateway. */
    readonly credential?: string;
    /** How long the caller will wait, from when it sent the request. */
    readonly patience?: Milliseconds;
    readonly model?: string;
    readonly promptTokens: number;
    readonly outputTokens: number;
    /** True where the caller named its tokens. */
    readonly namesTokens: boolean;
    readonly parts: readonly PromptPart[];
    /** Last event that the caller has of a stream that it resumes. */
    readonly lastEvent?: string;
}

/** What the gateway tells an endpoint beside the caller's own header fields. */
export interface DispatchMetadata {
    readonly instance: string;
    /** Time that is left for the answer. */
    readonly timeLeft: Milliseconds;
    readonly account?: string;
    readonly priority?: number;
    /** Cached prefixes are found only under the same text. */
    readonly cacheScope?: string;
    /** The endpoint refuses the request where its weights differ. */
    readonly expectedVersion?: number;
    /** `host:port` from where cached prefixes may be fetched. */
    readonly fetchFrom?: string;
    /** `host:port` to which read prefixes are saved. */
    readonly saveTo?: string;
    /** Event after which a resumed stream goes on. */
    readonly lastEvent?: string;
}

/** What an endpoint's answer says of itself. */
export interface AnswerMetadata {
    readonly attempt?: string;
    /** True where the endpoint vouches for the answer. */
    readonly sealed: boolean;
    /** True where the endpoint states that it did not run the request and will not. */
    readonly notRun: boolean;
    readonly weightsVersion?: number;
}

/** Header fields in the order of the wire: name, value, name, value. */
export type RawHeaders = readonly string[];

/** Reads and writes header fields. */
export interface HeaderCodec {
    /** Reads a caller's fields, or says which is malformed. */
    readRequest(headers: IncomingHttpHeaders): Result<CallerMetadata, string>;
    /** Fields for the endpoint: the caller's own, less the reserved ones, and those of the dispatch. */
    endpointHeaders(caller: RawHeaders, dispatch: DispatchMetadata): string[];
    readAnswer(headers: RawHeaders): AnswerMetadata;
    /** Fields of an answer that the gateway itself makes. */
    ownAnswerHeaders(attempt: string | undefined): Record<string, string>;
}
