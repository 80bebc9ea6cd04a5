/**
 * A fake engine's cache of prefix blocks: limited, least recently used first out, deepest level first among equals.
 *
 * @module
 */

/** Changes that an insertion made. */
export interface CacheChange {
    readonly stored: readonly string[];
    readonly removed: readonly string[];
}

/** Blocks of one engine. */
export class BlockCache {
    /** Blocks in order of use, least recent first. */
    private readonly blocks = new Set<string>();

    constructor(private readonly capacity: number) {}

    /** Blocks at the head of a prompt that are held. */
    hitBlocks(prefix: readonly string[]): number {
        const missed = prefix.findIndex((block) => !this.blocks.has(block));
        return missed < 0 ? prefix.length : missed;
    }

    /** Marks the blocks as just used, adds the missing ones and evicts what is beyond the capacity. */
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
