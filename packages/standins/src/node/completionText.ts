/**
 * Deterministic answers of the engine stand-in: token N of an answer depends on the weights, the adapter, the prompt
 * and N alone, so that a resumed stream can be compared with an uninterrupted one.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { charactersPerToken } from "./prefixBlocks.js";

/** The parts of an OpenAI-style request that the stand-in reads. */
export interface CompletionRequest {
    readonly model?: string;
    readonly prompt?: string | readonly string[];
    readonly messages?: readonly ChatMessage[];
    readonly max_tokens?: number;
    readonly max_completion_tokens?: number;
    readonly stream?: boolean;
    readonly stream_options?: { readonly include_usage?: boolean; };
    /** Entries of the prefix cache are shared only by requests with the same salt. */
    readonly cache_salt?: string;
    /** Lower numbers are served first. */
    readonly priority?: number;
    /** Extension: the answer continues after this many tokens, of which the caller has the text already. */
    readonly resume?: { readonly after_tokens?: number; };
}

interface ChatMessage {
    readonly role?: string;
    readonly content?: string | readonly { readonly text?: string; }[];
}

/** A request's prompt, budget and place to continue. */
export interface CompletionPlan {
    readonly prompt: string;
    readonly promptTokens: number;
    readonly maximumTokens: number;
    readonly firstToken: number;
}

const defaultMaximumTokens = 16;
const tokenDigits = 6;

/** Reads what matters of a request, or throws with a message for the caller. */
export function planCompletion(request: CompletionRequest, isChat: boolean): CompletionPlan {
    const prompt = isChat ? chatPrompt(request) : textPrompt(request);
    const maximumTokens = request.max_tokens ?? request.max_completion_tokens ?? defaultMaximumTokens;
    const firstToken = request.resume?.after_tokens ?? 0;
    for (const [name, value] of Object.entries({ max_tokens: maximumTokens, after_tokens: firstToken })) {
        if (!Number.isInteger(value) || value < 0) {
            throw new Error(`${name} must be a whole number of at least 0`);
        }
    }
    return { prompt, promptTokens: countTokens(prompt), maximumTokens, firstToken };
}

/** Tokens of a text. */
export function countTokens(text: string): number {
    return Math.ceil(text.length / charactersPerToken);
}

/** Makes the function that gives the text of token N. */
export function tokenSource(weights: string, adapter: string, prompt: string): (index: number) => string {
    const seed = createHash("sha256").update(`${weights}\0${adapter}\0${prompt}`).digest("hex");
    return (index) =>
        `${createHash("sha256").update(`${seed}:${index}`).digest("hex").slice(0, tokenDigits)} `;
}

function textPrompt(request: CompletionRequest): string {
    const { prompt } = request;
    if (typeof prompt === "string") {
        return prompt;
    }
    if (Array.isArray(prompt) && prompt.every((part) => typeof part === "string")) {
        return prompt.join("\n");
    }
    throw new Error("prompt must be a text");
}

function chatPrompt(request: CompletionRequest): string {
    if (!Array.isArray(request.messages)) {
        throw new Error("messages must be a list");
    }
    return request.messages.map((message: ChatMessage) => `${message.role}: ${contentOf(message)}`).join(
        "\n",
    );
}

function contentOf(message: ChatMessage): string {
    const { content } = message;
    return typeof content === "string" || content === undefined
        ? content ?? ""
        : content.map((part) => part.text ?? "").join("");
}
