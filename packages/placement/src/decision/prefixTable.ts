/**
 * Popularity and holders of the prefixes that this router has recently routed. The numbers of entries and of holders
 * per entry are limited, whatever the fleet's size.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** Default maximum number of entries; the least recently used one is removed first. */
export const defaultMaximumPrefixes = 16_384;

/** Maximum number of holders of one prefix; the least recently confirmed one is removed first. */
export const maximumHolders = 8;

/** Time in which the popularity of a prefix that is not requested halves. */
export const popularityHalfLife: Milliseconds = 30_000;

/** An endpoint believed to have a prefix cached. */
export interface PrefixHolder {
    readonly instance: string;
    /** Incarnation of the endpoint that held the prefix. */
    readonly incarnation: string;
    /** Time of the last answer that showed that the endpoint holds the prefix. */
    readonly confirmedAt: Milliseconds;
}

interface PrefixEntry {
    popularity: number;
    popularityAt: Milliseconds;
    holders: PrefixHolder[];
}

/** Value at `now` of a decaying count that was `value` at `since`. */
export function decayed(value: number, since: Milliseconds, now: Milliseconds): number {
    return value * 2 ** (-(now - since) / popularityHalfLife);
}

/** Popularity and holders by block name. */
export class PrefixTable {
    private readonly entries = new Map<string, PrefixEntry>();

    constructor(private readonly maximumPrefixes: number = defaultMaximumPrefixes) {}

    /** Adds one request to the popularity of each of its blocks. */
    recordRequest(blocks: readonly string[], now: Milliseconds): void {
        for (const block of blocks) {
            const entry = this.touch(block);
            entry.popularity = decayed(entry.popularity, entry.popularityAt, now) + 1;
            entry.popularityAt = now;
        }
        this.trim();
    }

    /** Number of requests for the block, decayed with {@link popularityHalfLife}. */
    popularityOf(block: string, now: Milliseconds): number {
        const entry = this.entries.get(block);
        return entry === undefined ? 0 : decayed(entry.popularity, entry.popularityAt, now);
    }

    /** Endpoints believed to hold the block, most recently confirmed last. */
    holdersOf(block: string): readonly PrefixHolder[] {
        return this.entries.get(block)?.holders ?? [];
    }

    /** Records that an endpoint holds all the blocks. */
    addHolder(blocks: readonly string[], holder: PrefixHolder): void {
        for (const block of blocks) {
            const entry = this.touch(block);
            const others = entry.holders.filter((other) => other.instance !== holder.instance);
            entry.holders = [...others, holder].slice(-maximumHolders);
        }
        this.trim();
    }

    /** Removes an endpoint from the holders of the blocks. */
    removeHolder(blocks: readonly string[], instance: string): void {
        for (const block of blocks) {
            const entry = this.entries.get(block);
            if (entry !== undefined) {
                entry.holders = entry.holders.filter((holder) => holder.instance !== instance);
            }
        }
    }

    /** Number of prefixes in the table. */
    get size(): number {
        return this.entries.size;
    }

    private touch(block: string): PrefixEntry {
        const entry = this.entries.get(block) ?? { popularity: 0, popularityAt: 0, holders: [] };
        this.entries.delete(block);
        this.entries.set(block, entry);
        return entry;
    }

    private trim(): void {
        for (const block of this.entries.keys()) {
            if (this.entries.size <= this.maximumPrefixes) {
                return;
            }
            this.entries.delete(block);
        }
    }
}
