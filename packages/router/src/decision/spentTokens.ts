/**
 * Tokens that a request has actually spent, for the settlement of its reservation.
 *
 * @module
 */
import { CallOutcome } from "@redwingpin/common";
import type { PrefixChain } from "@redwingpin/placement";
import type { RequestOutcome } from "./attemptLoop.js";

/** Properties of a request that its cost depends on. */
export interface CostedRequest {
    /** Reserved tokens: the maximum cost of the request. */
    readonly tokens: number;
    readonly prefix: PrefixChain;
    readonly completion: object | undefined;
}

/**
 * Tokens that a request has spent:
 * - none if it certainly did not run;
 * - for a completion stream, the prompt's tokens and the delivered tokens;
 * - for a buffered completion, the prompt's tokens and the output tokens that the engine counted;
 * - all reserved tokens if none of these is known.
 */
export function spentTokens(
    request: CostedRequest,
    outcome: RequestOutcome,
    deliveredTokens: number,
    body: Buffer | undefined,
): number {
    if (outcome.kind === "refused" && outcome.refusal.outcome === CallOutcome.NotRun) {
        return 0;
    }
    if (request.completion === undefined || outcome.kind === "refused") {
        return request.tokens;
    }
    if (deliveredTokens > 0) {
        return Math.min(request.tokens, request.prefix.promptTokens + deliveredTokens);
    }
    const output = body && outputTokens(body);
    return output === undefined
        ? request.tokens
        : Math.min(request.tokens, request.prefix.promptTokens + output);
}

function outputTokens(body: Buffer): number | undefined {
    try {
        const usage =
            (JSON.parse(body.toString("utf8")) as { usage?: { completion_tokens?: unknown; }; }).usage;
        const tokens = usage?.completion_tokens;
        return Number.isSafeInteger(tokens) && (tokens as number) >= 0 ? tokens as number : undefined;
    }
    catch {
        return undefined;
    }
}
