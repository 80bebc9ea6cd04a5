/**
 * Formats OpenAI-style answers, either as one JSON body or as server-sent events.
 *
 * @module
 */

/** Fields that all parts of one answer share. */
export interface AnswerContext {
    readonly id: string;
    readonly isChat: boolean;
    readonly model: string;
    /** Name of the weights that generated the answer. */
    readonly weights: string;
    readonly createdSeconds: number;
}

/** Token counts of one answer. */
export interface Usage {
    readonly prompt_tokens: number;
    readonly completion_tokens: number;
    readonly total_tokens: number;
    readonly prompt_tokens_details: { readonly cached_tokens: number; };
}

/** Last event of a stream. */
export const doneEvent = "data: [DONE]\n\n";

// OpenAI's format has null as finish_reason until the last event.
// eslint-disable-next-line no-restricted-syntax
const noFinishReason = null;

export function createUsage(promptTokens: number, completionTokens: number, cachedTokens: number): Usage {
    return {
        prompt_tokens: promptTokens,
        completion_tokens: completionTokens,
        total_tokens: promptTokens + completionTokens,
        prompt_tokens_details: { cached_tokens: Math.min(cachedTokens, promptTokens) },
    };
}

/** Creates the body of an answer that is not streamed. */
export function createWholeAnswer(context: AnswerContext, text: string, usage: Usage): object {
    const choice = context.isChat
        ? { index: 0, message: { role: "assistant", content: text }, finish_reason: "length" }
        : { index: 0, text, finish_reason: "length" };
    return { ...commonFields(context, false), choices: [choice], usage };
}

/** Formats the event of one token. The last event carries the finish reason. */
export function formatTokenEvent(context: AnswerContext, text: string, isLast: boolean): string {
    const finishReason = isLast ? "length" : noFinishReason;
    const choice = context.isChat
        ? { index: 0, delta: { content: text }, finish_reason: finishReason }
        : { index: 0, text, finish_reason: finishReason };
    return formatEvent({ ...commonFields(context, true), choices: [choice] });
}

/** Formats the event with the token counts, for callers that ask for it. */
export function formatUsageEvent(context: AnswerContext, usage: Usage): string {
    return formatEvent({ ...commonFields(context, true), choices: [], usage });
}

function commonFields(context: AnswerContext, isStream: boolean): object {
    const chatObject = isStream ? "chat.completion.chunk" : "chat.completion";
    return {
        id: context.id,
        object: context.isChat ? chatObject : "text_completion",
        created: context.createdSeconds,
        model: context.model,
        system_fingerprint: context.weights,
    };
}

function formatEvent(body: object): string {
    return `data: ${JSON.stringify(body)}\n\n`;
}
