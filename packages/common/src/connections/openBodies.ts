/**
 * Request bodies that are being read. If memory is short, a body that makes no progress gives way: first those without a new
 * byte for the grace period, the oldest first, then old ones that arrive at less than the minimum pace.
 *
 * @module
 */
import type { Milliseconds } from "../clock.js";

/** Time without a byte after which a body may give way. Retransmissions of a lossy link take less. */
export const stallGrace: Milliseconds = 2_000;

/** Age from which the minimum pace applies. */
export const paceGrace: Milliseconds = 10_000;

/** Minimum pace in bytes per millisecond. A body of the largest size that takes all of its 30 s has 140. */
export const minPace = 0.5;

/** A body that is being read. */
export interface OpenBody {
    /** Records bytes that have arrived. */
    recordProgress(bytes: number, now: Milliseconds): void;
    /** Records that the body is no longer being read. */
    close(): void;
}

interface BodyEntry {
    readonly startedAt: Milliseconds;
    bytes: number;
    progressAt: Milliseconds;
    readonly yieldMemory: () => void;
}

/** The bodies that are being read. */
export class OpenBodies {
    private readonly entries = new Set<BodyEntry>();

    /** Adds a body; `yieldMemory` is called once if it has to give way. */
    open(now: Milliseconds, yieldMemory: () => void): OpenBody {
        const entry: BodyEntry = { startedAt: now, bytes: 0, progressAt: now, yieldMemory };
        this.entries.add(entry);
        return {
            recordProgress: (bytes, at) => {
                entry.bytes += bytes;
                entry.progressAt = at;
            },
            close: () => this.entries.delete(entry),
        };
    }

    /** Makes one body give way; false if all make progress. */
    yieldSlowest(now: Milliseconds): boolean {
        let stalled: BodyEntry | undefined;
        let slow: BodyEntry | undefined;
        for (const entry of this.entries) {
            if (now - entry.progressAt >= stallGrace) {
                stalled = stalled === undefined || entry.progressAt < stalled.progressAt ? entry : stalled;
            }
            else if (now - entry.startedAt >= paceGrace && paceOf(entry, now) < minPace) {
                slow = slow === undefined || paceOf(entry, now) < paceOf(slow, now) ? entry : slow;
            }
        }
        const found = stalled ?? slow;
        if (found === undefined) {
            return false;
        }
        this.entries.delete(found);
        found.yieldMemory();
        return true;
    }
}

function paceOf({ bytes, startedAt }: BodyEntry, now: Milliseconds): number {
    return bytes / (now - startedAt);
}
