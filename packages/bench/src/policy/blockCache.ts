/**
 * The prefix cache of a simulated engine: an LRU cache of limited size. Of the blocks of one prompt, the deepest level
 * is evicted first.
 *
 * @module
 */

/** Blocks that a use of the cache added and evicted. */
export interface CacheChange {
    readonly stored: readonly string[];
    readonly removed: readonly string[];
}

/** The block cache of one engine. */
export class BlockCache {
    /** Least recently used first. */
    private readonly blocks = new Set<string>();

    constructor(private readonly capacity: number) {}

    /** Counts the leading blocks of a prompt that are cached. */
    hitBlocks(prefix: readonly string[]): number {
        const firstMissing = prefix.findIndex((block) => !this.blocks.has(block));
        return firstMissing < 0 ? prefix.length : firstMissing;
    }

    /** Marks the blocks as most recently used, adds the missing ones and evicts blocks beyond the capacity. */
    use(prefix: readonly string[]): CacheChange {
        const stored = prefix.filter((block) => !this.blocks.has(block));
        for (const block of [...prefix].reverse()) {
            this.blocks.delete(block);
            this.blocks.add(block);
        }
        const removed: string[] = [];
        for (const block of this.blocks) {
            if (this.blocks.size <= this.capacity) {
                break;
            }
            this.blocks.delete(block);
            removed.push(block);
        }
        return { stored, removed };
    }

    clear(): void {
        this.blocks.clear();
    }
}
