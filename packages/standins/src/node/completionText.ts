/**
 * Deterministic answers of the engine stand-in. Token N of an answer depends only on the weights, the adapter, the
 * prompt and N, so that a test can compare a resumed stream with an uninterrupted one.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { charactersPerToken } from "./prefixBlockCache.js";

/** The fields of an OpenAI-style request that the stand-in reads. */
export interface CompletionRequest {
    readonly model?: string;
    readonly prompt?: string | readonly string[];
    readonly messages?: readonly ChatMessage[];
    readonly max_tokens?: number;
    readonly max_completion_tokens?: number;
    readonly stream?: boolean;
    readonly stream_options?: { readonly include_usage?: boolean; };
    /** Requests share entries of the prefix cache only if they have the same salt. */
    readonly cache_salt?: string;
    /** Lower numbers are served first. */
    readonly priority?: number;
    /** Extension to the OpenAI format: skips the first `after_tokens` tokens, which the caller has already received. */
    readonly resume?: { readonly after_tokens?: number; };
}

interface ChatMessage {
    readonly role?: string;
    readonly content?: string | readonly { readonly text?: string; }[];
}

/** What to generate for a request. */
export interface CompletionPlan {
    readonly prompt: string;
    readonly promptTokens: number;
    readonly maximumTokens: number;
    /** Index of the first token to send; above 0 if the request resumes an answer. */
    readonly firstTokenIndex: number;
}

const defaultMaximumTokens = 16;
const tokenHexDigits = 6;

/** Validates a request and reads what to generate. Throws an error whose message the caller receives. */
export function planCompletion(request: CompletionRequest, isChat: boolean): CompletionPlan {
    const prompt = isChat ? readChatPrompt(request) : readTextPrompt(request);
    const maximumTokens = request.max_tokens ?? request.max_completion_tokens ?? defaultMaximumTokens;
    const firstTokenIndex = request.resume?.after_tokens ?? 0;
    for (
        const [name, value] of Object.entries({ max_tokens: maximumTokens, after_tokens: firstTokenIndex })
    ) {
        if (!Number.isInteger(value) || value < 0) {
            throw new Error(`${name} must be an integer of at least 0`);
        }
    }
    return { prompt, promptTokens: countTokens(prompt), maximumTokens, firstTokenIndex };
}

/** Counts a fixed number of characters as one token. */
export function countTokens(text: string): number {
    return Math.ceil(text.length / charactersPerToken);
}

/** Returns a function that generates the text of token N. */
export function createTokenGenerator(
    weights: string,
    adapter: string,
    prompt: string,
): (index: number) => string {
    const seed = createHash("sha256").update(`${weights}\0${adapter}\0${prompt}`).digest("hex");
    return (index) =>
        `${createHash("sha256").update(`${seed}:${index}`).digest("hex").slice(0, tokenHexDigits)} `;
}

function readTextPrompt(request: CompletionRequest): string {
    const { prompt } = request;
    if (typeof prompt === "string") {
        return prompt;
    }
    if (Array.isArray(prompt) && prompt.every((part) => typeof part === "string")) {
        return prompt.join("\n");
    }
    throw new Error("prompt must be a string or a list of strings");
}

function readChatPrompt(request: CompletionRequest): string {
    if (!Array.isArray(request.messages)) {
        throw new Error("messages must be a list");
    }
    return request.messages.map((message: ChatMessage) => `${message.role}: ${textContentOf(message)}`).join(
        "\n",
    );
}

function textContentOf(message: ChatMessage): string {
    const { content } = message;
    return typeof content === "string" || content === undefined
        ? content ?? ""
        : content.map((part) => part.text ?? "").join("");
}
