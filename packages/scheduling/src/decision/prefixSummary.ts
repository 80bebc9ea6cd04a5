/**
 * Summary of an endpoint's cache for routers. A level is a run of consecutive blocks that the same prompts share; the
 * summary lists the last block of each level of the recent prompts, as a 32-bit name. Its maximum size doesn't depend on
 * the number of cached blocks.
 *
 * @module
 */

/** Maximum number of names in a status. */
export const maximumSummaryNames = 32;

/** Maximum number of blocks whose uses are counted; the least recently used one is removed first. */
const maximumCountedBlocks = 8_192;

/** A level ends at a block if the next block has less than this share of the block's uses. */
const levelEndRatio = 0.75;

const nameDigits = 8;
const hexadecimal = 16;

/** Counts the uses of blocks and keeps the level ends in order of use. */
export class PrefixSummary {
    private readonly uses = new Map<string, number>();
    /** Last blocks of levels, least recently used first. */
    private readonly levelEnds = new Set<string>();

    /** Records a prompt that was sent to the endpoint. */
    record(prefixBlocks: readonly string[]): void {
        const counts = prefixBlocks.map((block) => this.countUse(block));
        prefixBlocks.forEach((block, index) => {
            this.levelEnds.delete(block);
            if (isLevelEnd(counts, index)) {
                this.levelEnds.add(block);
            }
        });
        trimOldest(this.uses, maximumCountedBlocks);
        trimOldest(this.levelEnds, maximumCountedBlocks);
    }

    /** Removes all blocks, after the endpoint has lost its cache. */
    clear(): void {
        this.uses.clear();
        this.levelEnds.clear();
    }

    /** Names of the level ends that satisfy `isHeld`, most recently used first. */
    names(isHeld: (block: string) => boolean, limit: number = maximumSummaryNames): number[] {
        const held: number[] = [];
        for (const block of [...this.levelEnds].reverse()) {
            if (held.length === limit) {
                break;
            }
            if (isHeld(block)) {
                held.push(Number.parseInt(block.slice(0, nameDigits), hexadecimal));
            }
        }
        return held;
    }

    private countUse(block: string): number {
        const count = (this.uses.get(block) ?? 0) + 1;
        this.uses.delete(block);
        this.uses.set(block, count);
        return count;
    }
}

/**
 * A block ends a level if the prompts that have it differ after it. In a prompt that was not seen before, the block
 * before the last one is taken as the end.
 */
function isLevelEnd(counts: readonly number[], index: number): boolean {
    const next = counts[index + 1];
    if (counts[index] === 1) {
        return index === Math.max(0, counts.length - 2);
    }
    return next === undefined || next < levelEndRatio * counts[index]!;
}

function trimOldest(
    entries: { readonly size: number; keys(): Iterable<string>; delete(key: string): boolean; },
    limit: number,
): void {
    for (const key of entries.keys()) {
        if (entries.size <= limit) {
            return;
        }
        entries.delete(key);
    }
}
