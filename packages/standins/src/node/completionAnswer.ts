/**
 * Bodies of OpenAI-style answers, whole and as server-sent events.
 *
 * @module
 */

/** What one answer is about. */
export interface AnswerContext {
    readonly id: string;
    readonly isChat: boolean;
    readonly model: string;
    /** Weights that the answer came from. */
    readonly weights: string;
    readonly createdSeconds: number;
}

/** Tokens that one answer used. */
export interface Usage {
    readonly prompt_tokens: number;
    readonly completion_tokens: number;
    readonly total_tokens: number;
    readonly prompt_tokens_details: { readonly cached_tokens: number; };
}

/** Last line of a stream. */
export const doneEvent = "data: [DONE]\n\n";

// The published format has null here while an answer goes on.
// eslint-disable-next-line no-restricted-syntax
const unfinished = null;

/** Makes the usage part. */
export function usageOf(promptTokens: number, completionTokens: number, cachedTokens: number): Usage {
    return {
        prompt_tokens: promptTokens,
        completion_tokens: completionTokens,
        total_tokens: promptTokens + completionTokens,
        prompt_tokens_details: { cached_tokens: Math.min(cachedTokens, promptTokens) },
    };
}

/** The whole answer as one body. */
export function wholeAnswer(context: AnswerContext, text: string, usage: Usage): object {
    const choice = context.isChat
        ? { index: 0, message: { role: "assistant", content: text }, finish_reason: "length" }
        : { index: 0, text, finish_reason: "length" };
    return { ...head(context, false), choices: [choice], usage };
}

/** One event with the text of one token; the last one carries the reason why the answer ended. */
export function tokenEvent(context: AnswerContext, text: string, isLast: boolean): string {
    const finishReason = isLast ? "length" : unfinished;
    const choice = context.isChat
        ? { index: 0, delta: { content: text }, finish_reason: finishReason }
        : { index: 0, text, finish_reason: finishReason };
    return eventOf({ ...head(context, true), choices: [choice] });
}

/** The event with the usage, for callers that ask for it. */
export function usageEvent(context: AnswerContext, usage: Usage): string {
    return eventOf({ ...head(context, true), choices: [], usage });
}

function head(context: AnswerContext, isStream: boolean): object {
    const chatObject = isStream ? "chat.completion.chunk" : "chat.completion";
    return {
        id: context.id,
        object: context.isChat ? chatObject : "text_completion",
        created: context.createdSeconds,
        model: context.model,
        system_fingerprint: context.weights,
    };
}

function eventOf(body: object): string {
    return `data: ${JSON.stringify(body)}\n\n`;
}
