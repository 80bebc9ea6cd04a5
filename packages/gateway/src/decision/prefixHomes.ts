/**
 * Where cached prefixes are believed to lie: for each endpoint the parts that this router sent there lately, as far as
 * its memory reaches, and what all routers have saved to the cache store.
 *
 * Each shared prefix has a home among the endpoints that every router works out alike. Routers send its requests there
 * while it is not too busy, so it is taken to hold the prefix without a message about it.
 *
 * @module
 */
import { digestOf, rendezvousOrder } from "@redwingpin/common";
import type { SavedPrefix } from "@redwingpin/fleet";
import type { PromptPart } from "../wireDialect.js";

/** Part of a cache store's room on which routers count: others save there as well. */
const countedStoreShare = 0.7;

/** Names of prefixes that peers are told of at once; the rest follows with the next reports. */
const maxReportedNames = 64;

const nameDigits = 16;

/** Homes that are remembered until the endpoints change. */
const maxRememberedHomes = 4_096;

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

/** What is believed of every endpoint's cache. */
export class PrefixHomes {
    private readonly caches = new Map<string, TokenCache>();
    private readonly homes = new Map<string, string>();
    private homesOf = "";
    private store = new TokenCache(0);
    private storeCapacity = 0;
    private unreported: SavedPrefix[] = [];

    /** Tokens of leading parts that the endpoint is believed to hold because this router sent them there. */
    heldTokens(instance: string, names: readonly string[], parts: readonly PromptPart[]): number {
        const cache = this.caches.get(instance);
        return cache === undefined ? 0 : leadingTokens(names, parts, (name) => cache.has(name));
    }

    /** Tokens of leading parts that the cache store is believed to hold. */
    savedTokens(names: readonly string[], parts: readonly PromptPart[]): number {
        return leadingTokens(names, parts, (name) => this.store.has(name));
    }

    /** The home of a prefix among endpoints. */
    homeOf(name: string, instances: readonly string[]): string | undefined {
        const key = instances.join(",");
        if (key !== this.homesOf || this.homes.size > maxRememberedHomes) {
            this.homes.clear();
            this.homesOf = key;
        }
        let home = this.homes.get(name);
        if (home === undefined) {
            home = rendezvousOrder(name, instances, (instance) => instance)[0];
            if (home !== undefined) {
                this.homes.set(name, home);
            }
        }
        return home;
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

    /** Sets the room of the cache store, in tokens. */
    setStoreCapacity(tokens: number): void {
        if (tokens !== this.storeCapacity) {
            this.storeCapacity = tokens;
            this.store = new TokenCache(tokens * countedStoreShare);
        }
    }

    /** Notes that this router had a prompt's prefixes saved to the cache store, or fetched from there. */
    recordSaved(names: readonly string[], parts: readonly PromptPart[]): void {
        const saved = names.map((name, index) => ({ name, tokens: parts[index].tokens }));
        this.observeSaved(saved);
        this.unreported.push(...saved);
    }

    /** Takes in what another router has saved. */
    observeSaved(saved: readonly SavedPrefix[]): void {
        saved.forEach(({ name, tokens }) => this.store.touch(name, tokens));
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
