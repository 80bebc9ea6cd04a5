/**
 * The engine stand-in's prefix cache. It holds a limited number of blocks and evicts the least recently used ones.
 *
 * The hash of a block is the SHA-256 in hex of its parent's hash, the salt and the block's text, each followed by a
 * zero byte. The parent hash of the first block is the empty string.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** Characters that the stand-in counts as one token. */
export const charactersPerToken = 4;

/** A change of the cached blocks. */
export type CacheEvent =
    | {
        readonly type: "BlockStored";
        readonly block_hashes: readonly string[];
        readonly parent_block_hash?: string;
    }
    | { readonly type: "BlockRemoved"; readonly block_hashes: readonly string[]; }
    | { readonly type: "AllBlocksCleared"; };

export class PrefixBlockCache {
    /** Block hashes, least recently used first. */
    private readonly blocks = new Set<string>();

    constructor(
        private readonly capacityBlocks: number,
        private readonly blockTokens: number,
        private readonly onEvent: (event: CacheEvent) => void,
    ) {}

    get size(): number {
        return this.blocks.size;
    }

    /** Marks a prompt's full blocks as used, stores the missing ones, and returns how many tokens were cached. */
    lookUpAndStore(prompt: string, salt: string): number {
        const hashes = this.blockHashesOf(prompt, salt);
        const hits = this.countHits(hashes);
        for (const hash of hashes) {
            this.blocks.delete(hash);
            this.blocks.add(hash);
        }
        if (hits < hashes.length) {
            const stored = hashes.slice(hits);
            this.onEvent({ type: "BlockStored", block_hashes: stored, parent_block_hash: hashes[hits - 1] });
        }
        this.evict();
        return hits * this.blockTokens;
    }

    clear(): void {
        this.blocks.clear();
        this.onEvent({ type: "AllBlocksCleared" });
    }

    private blockHashesOf(prompt: string, salt: string): string[] {
        const blockCharacters = this.blockTokens * charactersPerToken;
        const hashes: string[] = [];
        let parent = "";
        for (let start = 0; start + blockCharacters <= prompt.length; start += blockCharacters) {
            const text = prompt.slice(start, start + blockCharacters);
            parent = createHash("sha256").update(`${parent}\0${salt}\0${text}\0`).digest("hex");
            hashes.push(parent);
        }
        return hashes;
    }

    private countHits(hashes: readonly string[]): number {
        const missing = hashes.findIndex((hash) => !this.blocks.has(hash));
        return missing < 0 ? hashes.length : missing;
    }

    private evict(): void {
        const removed: string[] = [];
        for (const hash of this.blocks) {
            if (this.blocks.size <= this.capacityBlocks) {
                break;
            }
            this.blocks.delete(hash);
            removed.push(hash);
        }
        if (removed.length > 0) {
            this.onEvent({ type: "BlockRemoved", block_hashes: removed });
        }
    }
}
