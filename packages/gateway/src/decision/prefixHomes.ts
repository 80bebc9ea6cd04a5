/**
 * Where cached prefixes are believed to lie: for each endpoint the parts that this router sent there lately, as far as
 * its memory reaches, and those that were saved to the cache store.
 *
 * @module
 */
import type { PromptPart } from "../wireDialect.js";

/** Prompts whose prefixes are remembered as saved. */
const maxSavedPrefixes = 8_192;

/** Names of the nested prefixes of a prompt, outermost first. */
export function prefixNames(scope: string, parts: readonly PromptPart[]): string[] {
    let name = scope;
    return parts.map((part) => name = `${name}|${part.identifier}`);
}

/** A cache that drops the least recently used prefixes, counted in tokens. */
class TokenCache {
    private readonly entries = new Map<string, number>();
    private used = 0;

    constructor(private readonly capacity: number) {}

    has(name: string): boolean {
        return this.entries.has(name);
    }

    touch(name: string, tokens: number): void {
        const before = this.entries.get(name);
        if (before !== undefined) {
            this.entries.delete(name);
            this.used -= before;
        }
        this.entries.set(name, tokens);
        this.used += tokens;
        for (const [oldest, size] of this.entries) {
            if (this.used <= this.capacity || oldest === name) {
                break;
            }
            this.entries.delete(oldest);
            this.used -= size;
        }
    }
}

/** What is believed of every endpoint's cache. */
export class PrefixHomes {
    private readonly caches = new Map<string, TokenCache>();
    private readonly saved = new Set<string>();

    /** Tokens of leading parts that the endpoint is believed to hold. */
    heldTokens(instance: string, names: readonly string[], parts: readonly PromptPart[]): number {
        const cache = this.caches.get(instance);
        return cache === undefined ? 0 : leadingTokens(names, parts, (name) => cache.has(name));
    }

    /** Tokens of leading parts that the cache store is believed to hold. */
    savedTokens(names: readonly string[], parts: readonly PromptPart[]): number {
        return leadingTokens(names, parts, (name) => this.saved.has(name));
    }

    /** Notes that an endpoint has read a prompt. `capacity` is the part of its memory that this router may count on. */
    recordRead(
        instance: string,
        names: readonly string[],
        parts: readonly PromptPart[],
        capacity: number,
    ): void {
        const cache = this.caches.get(instance) ?? new TokenCache(capacity);
        this.caches.set(instance, cache);
        names.forEach((name, index) => cache.touch(name, parts[index].tokens));
    }

    /** Notes that a prompt's prefixes were saved to the cache store. */
    recordSaved(names: readonly string[]): void {
        for (const name of names) {
            this.saved.delete(name);
            this.saved.add(name);
        }
        for (const oldest of this.saved) {
            if (this.saved.size <= maxSavedPrefixes) {
                break;
            }
            this.saved.delete(oldest);
        }
    }

    /** Forgets what the cache store held, after it lost it. */
    forgetSaved(): void {
        this.saved.clear();
    }

    /** Forgets an endpoint that is gone or has emptied its cache. */
    forget(instance: string): void {
        this.caches.delete(instance);
    }
}

function leadingTokens(
    names: readonly string[],
    parts: readonly PromptPart[],
    isHeld: (name: string) => boolean,
): number {
    let tokens = 0;
    for (let index = 0; index < names.length && isHeld(names[index]); index++) {
        tokens += parts[index].tokens;
    }
    return tokens;
}
