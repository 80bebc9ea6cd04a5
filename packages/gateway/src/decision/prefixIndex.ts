/**
 * Estimates where prefixes are cached: for each endpoint, the prompt parts that this router recently sent there, up to
 * the size of its cache; and for each cache store, what all routers have saved there.
 *
 * Each shared prefix has an owner among the endpoints, selected by rendezvous hashing, so that every router selects the
 * same one. Routers prefer the owner while it is not too busy and therefore assume that it has the prefix cached,
 * without exchanging messages about it.
 *
 * @module
 */
import { digestOf, RendezvousOwnerCache } from "@redwingpin/common";
import type { SavedPrefix } from "@redwingpin/fleet";
import type { PromptPart } from "../headerCodec.js";

/** Share of a cache store's capacity that routers rely on, since other clients save there, too. */
const usableStoreShare = 0.7;

/** Maximum number of saved prefixes in one report; the rest is sent with the next reports. */
const maxPrefixesPerReport = 64;

/** Maximum number of saved prefixes that wait for a report: those of some seconds of reports. */
export const maxUnreportedPrefixes = 1_024;

const nameDigits = 16;

/** Names of the nested prefixes of a prompt, outermost first. */
export function prefixNames(scope: string, parts: readonly PromptPart[]): string[] {
    let name = scope;
    return parts.map((part) => name = digestOf(name, part.identifier).slice(0, nameDigits));
}

/** Caches hold blocks of some tokens, so a prefix takes at least this many; it bounds their number, too. */
const minPrefixTokens = 16;

/** An LRU cache of prefixes with a capacity in tokens. */
class TokenCache {
    private readonly entries = new Map<string, number>();
    private used = 0;

    constructor(private readonly capacity: number) {}

    get size(): number {
        return this.entries.size;
    }

    has(name: string): boolean {
        return this.entries.has(name);
    }

    touch(name: string, statedTokens: number): void {
        const tokens = Math.max(minPrefixTokens, statedTokens);
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
    /** Capacity in tokens. */
    readonly tokens: number;
    readonly dataCentre: string | undefined;
    /** Capacity of its link; `undefined` if unknown. */
    readonly megabitsPerSecond: number | undefined;
}

interface KnownStore {
    readonly store: CacheStore;
    readonly cache: TokenCache;
}

/** Estimated contents of the endpoints' caches and of the cache stores. */
export class PrefixIndex {
    private readonly caches = new Map<string, TokenCache>();
    private readonly prefixOwners = new RendezvousOwnerCache();
    private readonly stores = new Map<string, KnownStore>();
    private readonly storeOwners = new RendezvousOwnerCache();
    private unreported: SavedPrefix[] = [];

    /** `onDropped` receives the number of saved prefixes that are not reported, since too many wait. */
    constructor(private readonly onDropped: (prefixes: number) => void = () => {}) {}

    /** Number of prefixes that are held for endpoints and cache stores. */
    get prefixCount(): number {
        const caches = [...this.caches.values(), ...[...this.stores.values()].map(({ cache }) => cache)];
        return caches.reduce((sum, cache) => sum + cache.size, 0);
    }

    /** Tokens of the leading parts that the endpoint should have cached, because this router sent them there. */
    cachedTokens(instance: string, names: readonly string[], parts: readonly PromptPart[]): number {
        const cache = this.caches.get(instance);
        return cache === undefined ? 0 : leadingTokens(names, parts, (name) => cache.has(name));
    }

    /**
     * Cache store of a prompt's shared prefix. A request can name only one store, so all shared parts are saved to the
     * one selected for the innermost of them. Each innermost part is thus saved to one store only.
     */
    storeOf(names: readonly string[]): CacheStore | undefined {
        return this.knownStoreOf(names)?.store;
    }

    /** Tokens of the leading parts that their cache store should contain. */
    savedTokens(names: readonly string[], parts: readonly PromptPart[]): number {
        const known = this.knownStoreOf(names);
        return known === undefined ? 0 : leadingTokens(names, parts, (name) => known.cache.has(name));
    }

    /** Owner of a prefix among the given endpoints. */
    ownerOf(name: string, instances: readonly string[]): string | undefined {
        return this.prefixOwners.ownerOf(name, instances);
    }

    /**
     * Records that an endpoint has processed a prompt. `capacity` is this router's share of the endpoint's cache, in
     * tokens.
     */
    recordProcessed(
        instance: string,
        names: readonly string[],
        parts: readonly PromptPart[],
        capacity: number,
    ): void {
        const cache = this.caches.get(instance) ?? new TokenCache(capacity);
        this.caches.set(instance, cache);
        names.forEach((name, index) => cache.touch(name, parts[index].tokens));
    }

    /** Sets the cache stores; the estimated contents of a store are kept unless its capacity changes. */
    setStores(stores: readonly CacheStore[]): void {
        const previous = new Map(this.stores);
        this.stores.clear();
        for (const store of stores) {
            const known = previous.get(store.address);
            const cache = known?.store.tokens === store.tokens
                ? known.cache
                : new TokenCache(store.tokens * usableStoreShare);
            this.stores.set(store.address, { store, cache });
        }
    }

    /** Records that a prompt's prefixes were saved to or fetched from their cache store by a request of this router. */
    recordSaved(names: readonly string[], parts: readonly PromptPart[]): void {
        const store = this.storeOf(names)?.address;
        if (store !== undefined) {
            const saved = names.map((name, index) => ({ name, tokens: parts[index].tokens, store }));
            this.observeSaved(saved);
            this.unreported.push(...saved);
            this.boundUnreported();
        }
    }

    /** The oldest prefixes are dropped: their cache store is the first to have evicted them. */
    private boundUnreported(): void {
        const excess = this.unreported.length - maxUnreportedPrefixes;
        if (excess > 0) {
            this.unreported.splice(0, excess);
            this.onDropped(excess);
        }
    }

    /** Applies the prefixes that another router has saved. */
    observeSaved(saved: readonly SavedPrefix[]): void {
        saved.forEach(({ name, tokens, store }) => this.stores.get(store)?.cache.touch(name, tokens));
    }

    /** Removes and returns saved prefixes that have not been reported to peers. */
    takeUnreported(): SavedPrefix[] {
        return this.unreported.splice(0, maxPrefixesPerReport);
    }

    private knownStoreOf(names: readonly string[]): KnownStore | undefined {
        const innermost = names.at(-2);
        const address = innermost === undefined
            ? undefined
            : this.storeOwners.ownerOf(innermost, [...this.stores.keys()]);
        return address === undefined ? undefined : this.stores.get(address);
    }

    /** Removes the estimated cache contents of an endpoint that no longer exists. */
    removeEndpoint(instance: string): void {
        this.caches.delete(instance);
    }
}

function leadingTokens(
    names: readonly string[],
    parts: readonly PromptPart[],
    isCached: (name: string) => boolean,
): number {
    let tokens = 0;
    for (let index = 0; index < names.length && isCached(names[index]); index++) {
        tokens += parts[index].tokens;
    }
    return tokens;
}
