/**
 * Shares of a machine's memory for what a router holds for callers. With the heap and the program they add up to less than the
 * machine's, as far as the largest body leaves that room.
 *
 * @module
 */

/** The program, its native libraries and stacks. */
const programBytes = 60_000_000;

/** Received bytes between two collections of the young generation. */
const uncollectedBytes = 8_000_000;

/** Reads that wait to be parsed. */
const unparsedBytes = 2_097_152;

/** Share of the machine's memory for the bodies of running requests. */
const bodyShare = 0.15;

/** Share of the machine's memory for answers that are not complete or that their callers have not received. */
const answerShare = 0.05;

/** Part of the memory for bodies that heads which are being read may take. */
const headPart = 0.5;

/** Memory for bodies of which one may have half: somewhat more than 4 MiB. */
const minBodyBytes = 9_000_000;

/** Memory for what a router holds for callers, in bytes. */
export interface MemoryShares {
    /** Bodies, and heads that are being read. */
    readonly bodies: number;
    /** The part of {@link bodies} for heads. */
    readonly heads: number;
    readonly answers: number;
}

/** Divides the memory of a machine; `heapLimit` is the size at which V8 ends the process. All sizes are in bytes. */
export function divideMemory(memory: number, heapLimit: number): MemoryShares {
    const answers = memory * answerShare;
    const left = memory - heapLimit - programBytes - uncollectedBytes - unparsedBytes - answers;
    const bodies = Math.max(minBodyBytes, Math.min(memory * bodyShare, left));
    return { answers, bodies, heads: bodies * headPart };
}
