/**
 * Names of a prompt's prefix blocks: a chain of digests in which each block's name depends on all text up to its end.
 * The chain is salted with the scope, so that names differ between accounts, models, adapters and weights versions.
 *
 * @module
 */
import { digestOf } from "@redwingpin/common";
import type { WeightsReference } from "@redwingpin/protocol";

/** Estimated characters of one token, as the router has no tokenizer; typical of English and Greek prose. */
export const charactersPerToken = 4;

/** Tokens in one cached block of the engines. */
export const defaultBlockTokens = 2_000;

/** Hexadecimal digits of a block's name; 128 bits. */
const blockNameDigits = 32;

/** Who may share cache entries: one account, or every caller of an open route. */
export enum ScopeKind {
    Account = "account",
    OpenRoute = "openRoute",
}

/** Scope of a cache entry. Two prompts share entries only if their scopes are equal. */
export interface PrefixScope {
    readonly kind: ScopeKind;
    /** Name of the account or of the open route. */
    readonly name: string;
    /** Model, version and adapter that compute the entry. */
    readonly weights: WeightsReference;
}

/** One message of a chat prompt. */
export interface PromptMessage {
    readonly role: string;
    readonly content: string;
}

/** A prompt as plain text or as chat messages. */
export type Prompt = string | readonly PromptMessage[];

/** A prompt's full blocks and its length. */
export interface PrefixChain {
    /** Names of the full blocks, outermost first. */
    readonly blocks: readonly string[];
    /** Number of leading blocks that other prompts are likely to share, judged by the prompt's form alone. */
    readonly sharedBlocks: number;
    /** Approximate tokens of the whole prompt. */
    readonly promptTokens: number;
}

/** Approximate number of tokens of a text, rounded up. */
export function approximateTokens(text: string): number {
    return Math.ceil(text.length / charactersPerToken);
}

/** Names a prompt's full prefix blocks. A tail shorter than one block is not cached and has no name. */
export function prefixBlocks(
    scope: PrefixScope,
    prompt: Prompt,
    blockTokens: number = defaultBlockTokens,
): PrefixChain {
    const text = textOf(prompt);
    const blockCharacters = blockTokens * charactersPerToken;
    const count = Math.floor(text.length / blockCharacters);
    const blocks: string[] = [];
    let previous = saltOf(scope);
    for (let index = 0; index < count; index++) {
        const start = index * blockCharacters;
        previous = digestOf(previous, Buffer.from(text.slice(start, start + blockCharacters)))
            .slice(0, blockNameDigits);
        blocks.push(previous);
    }
    return {
        blocks,
        sharedBlocks: sharedBlocksOf(prompt, count, blockCharacters),
        promptTokens: approximateTokens(text),
    };
}

function saltOf(scope: PrefixScope): string {
    const { model, version, adapter } = scope.weights;
    const adapterParts = adapter === undefined ? [] : [adapter];
    return digestOf(scope.kind, scope.name, model, version, ...adapterParts);
}

function textOf(prompt: Prompt): string {
    return typeof prompt === "string" ? prompt : prompt.map(messageText).join("");
}

/**
 * A message's text with its role before it and its length after it. Different lists of messages have different texts,
 * and lists with the same beginning have texts with the same beginning.
 */
function messageText(message: PromptMessage): string {
    return `${message.role}:${message.content}:${message.content.length}\n`;
}

const sharedRoles: readonly string[] = ["system", "developer"];

/**
 * Number of leading blocks that other prompts are likely to share. In a plain text, these are all blocks but the last
 * one, which usually holds the query; in a chat, the blocks of the leading instructions.
 */
function sharedBlocksOf(prompt: Prompt, count: number, blockCharacters: number): number {
    if (typeof prompt === "string") {
        return Math.max(0, count - 1);
    }
    let characters = 0;
    for (const message of prompt) {
        if (!sharedRoles.includes(message.role)) {
            break;
        }
        characters += messageText(message).length;
    }
    return Math.min(count, Math.floor(characters / blockCharacters));
}
