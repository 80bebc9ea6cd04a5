/**
 * Where cached prefixes are believed to lie: for each endpoint the parts that this router sent there lately, as far as
 * its memory reaches, and what all routers have saved to the cache store.
 *
 * Each shared prefix has a home among the endpoints that every router works out alike. Routers send its requests there
 * while it is not too busy, so it is taken to hold the prefix without a message about it.
 *
 * @module
 */
import { digestOf, RendezvousOwnerCache } from "@redwingpin/common";
import type { SavedPrefix } from "@redwingpin/fleet";
import type { PromptPart } from "../headerCodec.js";

/** Part of a cache store's room on which routers count: others save there as well. */
const countedStoreShare = 0.7;

/** Names of prefixes that peers are told of at once; the rest follows with the next reports. */
const maxReportedNames = 64;

const nameDigits = 16;

/** Names of the nested prefixes of a prompt, outermost first. */
export function prefixNames(scope: string, parts: readonly PromptPart[]): string[] {
    let name = scope;
    return parts.map((part) => name = digestOf(name, part.identifier).slice(0, nameDigits));
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

/** A cache store that engines can use. */
export interface CacheStore {
    /** `host:port`. */
    readonly address: string;
    /** Room, in tokens. */
    readonly tokens: number;
}

interface KnownStore {
    readonly tokens: number;
    readonly cache: TokenCache;
}

/** What is believed of every endpoint's cache. */
export class PrefixIndex {
    private readonly caches = new Map<string, TokenCache>();
    private readonly homes = new RendezvousOwnerCache();
    private readonly stores = new Map<string, KnownStore>();
    private readonly storesOfPrefixes = new RendezvousOwnerCache();
    private unreported: SavedPrefix[] = [];

    /** Tokens of leading parts that the endpoint is believed to hold because this router sent them there. */
    heldTokens(instance: string, names: readonly string[], parts: readonly PromptPart[]): number {
        const cache = this.caches.get(instance);
        return cache === undefined ? 0 : leadingTokens(names, parts, (name) => cache.has(name));
    }

    /**
     * The cache store of a prompt's shared prefix. A request can name one only, so that its whole prefix lies there: the
     * innermost shared part decides, and all stores together hold each of those once.
     */
    storeOf(names: readonly string[]): string | undefined {
        const innermost = names.at(-2);
        return innermost === undefined
            ? undefined
            : this.storesOfPrefixes.ownerOf(innermost, [...this.stores.keys()]);
    }

    /** Tokens of leading parts that their cache store is believed to hold. */
    savedTokens(names: readonly string[], parts: readonly PromptPart[]): number {
        const store = this.stores.get(this.storeOf(names) ?? "");
        return store === undefined ? 0 : leadingTokens(names, parts, (name) => store.cache.has(name));
    }

    /** The home of a prefix among endpoints. */
    ownerOf(name: string, instances: readonly string[]): string | undefined {
        return this.homes.ownerOf(name, instances);
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

    /** Sets the cache stores; one whose room has not changed keeps what it is believed to hold. */
    setStores(stores: readonly CacheStore[]): void {
        const kept = new Map(this.stores);
        this.stores.clear();
        for (const { address, tokens } of stores) {
            const known = kept.get(address);
            const store = known?.tokens === tokens
                ? known
                : { tokens, cache: new TokenCache(tokens * countedStoreShare) };
            this.stores.set(address, store);
        }
    }

    /** Notes that this router had a prompt's prefixes saved to their cache store, or fetched from there. */
    recordSaved(names: readonly string[], parts: readonly PromptPart[]): void {
        const store = this.storeOf(names);
        if (store !== undefined) {
            const saved = names.map((name, index) => ({ name, tokens: parts[index].tokens, store }));
            this.observeSaved(saved);
            this.unreported.push(...saved);
        }
    }

    /** Takes in what another router has saved. */
    observeSaved(saved: readonly SavedPrefix[]): void {
        saved.forEach(({ name, tokens, store }) => this.stores.get(store)?.cache.touch(name, tokens));
    }

    /** Takes what peers have not been told of. */
    takeSaved(): SavedPrefix[] {
        return this.unreported.splice(0, maxReportedNames);
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
