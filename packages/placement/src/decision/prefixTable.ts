/**
 * What a router remembers of the prefixes that it has itself routed lately: how hot each level is and a few
 * endpoints that hold it. Bounded in entries and in holders an entry, whatever the fleet's size.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** Entries that a table holds; the least recently used goes first. */
export const defaultMaximumPrefixes = 16_384;

/** Holders remembered for one prefix; the least recently confirmed goes first. */
export const maximumHolders = 8;

/** Time in which a prefix that is not asked for loses half its heat. */
export const heatHalfLife: Milliseconds = 30_000;

/** An endpoint that held a prefix. */
export interface PrefixHolder {
    readonly instance: string;
    /** Incarnation of the endpoint when it held the prefix. */
    readonly incarnation: string;
    /** When it was last known to hold the prefix. */
    readonly confirmed: Milliseconds;
}

interface PrefixEntry {
    heat: number;
    heatAt: Milliseconds;
    holders: PrefixHolder[];
}

/** A decaying count at `now` that stood at `value` at `since`. */
export function decayed(value: number, since: Milliseconds, now: Milliseconds): number {
    return value * 2 ** (-(now - since) / heatHalfLife);
}

/** Heat and holders by block name. */
export class PrefixTable {
    private readonly entries = new Map<string, PrefixEntry>();

    constructor(private readonly maximumPrefixes: number = defaultMaximumPrefixes) {}

    /** Adds one request to the heat of each of its blocks. */
    heatUp(blocks: readonly string[], now: Milliseconds): void {
        for (const block of blocks) {
            const entry = this.touch(block);
            entry.heat = decayed(entry.heat, entry.heatAt, now) + 1;
            entry.heatAt = now;
        }
        this.trim();
    }

    /** Requests for the block lately, decayed. */
    heatOf(block: string, now: Milliseconds): number {
        const entry = this.entries.get(block);
        return entry === undefined ? 0 : decayed(entry.heat, entry.heatAt, now);
    }

    /** Endpoints known to hold the block, most recently confirmed last. */
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

    /** Forgets that an endpoint holds the blocks. */
    removeHolder(blocks: readonly string[], instance: string): void {
        for (const block of blocks) {
            const entry = this.entries.get(block);
            if (entry !== undefined) {
                entry.holders = entry.holders.filter((holder) => holder.instance !== instance);
            }
        }
    }

    /** Prefixes in the table. */
    get size(): number {
        return this.entries.size;
    }

    private touch(block: string): PrefixEntry {
        const entry = this.entries.get(block) ?? { heat: 0, heatAt: 0, holders: [] };
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
