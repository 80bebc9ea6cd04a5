/**
 * Summary of an endpoint's cache for routers: the ends of the levels that its latest prompts share, as 32-bit
 * names. Its size is set by a limit, not by the number of cached blocks.
 *
 * @module
 */

/** Names that a status carries at most. */
export const maximumSummaryNames = 32;

/** Blocks whose uses are counted; the least recently used goes first. */
const maximumCountedBlocks = 8_192;

/** A level ends where the next block has been used less than this part of its uses. */
const levelEndRatio = 0.75;

const nameDigits = 8;
const hexadecimal = 16;

/** Counts uses of blocks and remembers level ends in order of use. */
export class PrefixSummary {
    private readonly uses = new Map<string, number>();
    /** Ends of levels, least recently used first. */
    private readonly ends = new Set<string>();

    /** Records a prompt that the endpoint was given. */
    record(prefixBlocks: readonly string[]): void {
        const counts = prefixBlocks.map((block) => this.countUse(block));
        prefixBlocks.forEach((block, index) => {
            this.ends.delete(block);
            if (isLevelEnd(counts, index)) {
                this.ends.add(block);
            }
        });
        trimOldest(this.uses, maximumCountedBlocks);
        trimOldest(this.ends, maximumCountedBlocks);
    }

    /** Forgets everything, when the endpoint's cache is gone. */
    clear(): void {
        this.uses.clear();
        this.ends.clear();
    }

    /** Names of the level ends that satisfy `isHeld`, most recently used first. */
    names(isHeld: (block: string) => boolean, limit: number = maximumSummaryNames): number[] {
        const held: number[] = [];
        for (const block of [...this.ends].reverse()) {
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

/** A block ends a level where the prompts part behind it; of a new prompt, the block before its last one does. */
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
