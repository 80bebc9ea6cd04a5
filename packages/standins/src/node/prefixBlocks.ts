/**
 * The engine stand-in's cache of prompt prefixes: blocks in limited memory, least recently used evicted first.
 *
 * The name of a block is the SHA-256 in hex of its parent's name, the salt and the block's text, each ended by a
 * zero byte; the parent of the first block is the empty text.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** Characters that the stand-in counts as one token. */
export const charactersPerToken = 4;

/** What happened to cached blocks. */
export type CacheEvent =
    | {
        readonly type: "BlockStored";
        readonly block_hashes: readonly string[];
        readonly parent_block_hash?: string;
    }
    | { readonly type: "BlockRemoved"; readonly block_hashes: readonly string[]; }
    | { readonly type: "AllBlocksCleared"; };

/** Cached blocks. */
export class PrefixBlockCache {
    /** Block names in order of last use. */
    private readonly blocks = new Set<string>();

    constructor(
        private readonly capacity: number,
        private readonly blockTokens: number,
        private readonly onEvent: (event: CacheEvent) => void,
    ) {}

    get size(): number {
        return this.blocks.size;
    }

    /** Uses the whole blocks of a prompt, stores those that were missing, and returns the tokens that were held. */
    use(prompt: string, salt: string): number {
        const names = this.namesOf(prompt, salt);
        const hits = this.countHits(names);
        for (const name of names) {
            this.blocks.delete(name);
            this.blocks.add(name);
        }
        if (hits < names.length) {
            const stored = names.slice(hits);
            this.onEvent({ type: "BlockStored", block_hashes: stored, parent_block_hash: names[hits - 1] });
        }
        this.evict();
        return hits * this.blockTokens;
    }

    /** Empties the cache. */
    clear(): void {
        this.blocks.clear();
        this.onEvent({ type: "AllBlocksCleared" });
    }

    private namesOf(prompt: string, salt: string): string[] {
        const length = this.blockTokens * charactersPerToken;
        const names: string[] = [];
        let parent = "";
        for (let start = 0; start + length <= prompt.length; start += length) {
            const text = prompt.slice(start, start + length);
            parent = createHash("sha256").update(`${parent}\0${salt}\0${text}\0`).digest("hex");
            names.push(parent);
        }
        return names;
    }

    private countHits(names: readonly string[]): number {
        const missing = names.findIndex((name) => !this.blocks.has(name));
        return missing < 0 ? names.length : missing;
    }

    private evict(): void {
        const removed: string[] = [];
        for (const name of this.blocks) {
            if (this.blocks.size <= this.capacity) {
                break;
            }
            this.blocks.delete(name);
            removed.push(name);
        }
        if (removed.length > 0) {
            this.onEvent({ type: "BlockRemoved", block_hashes: removed });
        }
    }
}
