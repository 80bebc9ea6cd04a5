/**
 * Bounded history of the changes that led to the installed revision.
 *
 * @module
 */
import { canonicalJson, type ManifestChange } from "@redwingpin/manifest";

const maximumEntries = 512;
const maximumBytes = 256 * 1024;

/** Changes above this size are not sent; the receiver fetches the shards that differ instead. */
export const maximumUpdateBytes = 64 * 1024;

interface HistoryEntry {
    readonly from: number;
    readonly revision: number;
    readonly changes: readonly ManifestChange[];
    readonly bytes: number;
}

/** A chain of changes, limited in size, that ends at the installed revision. */
export class ChangeHistory {
    private entries: HistoryEntry[] = [];
    private bytes = 0;

    /** Adds the changes between two revisions; `from` is the revision that was installed before. */
    add(from: number, revision: number, changes: readonly ManifestChange[]): void {
        const bytes = canonicalJson(changes).length;
        this.entries.push({ from, revision, changes, bytes });
        this.bytes += bytes;
        while (this.entries.length > maximumEntries || this.bytes > maximumBytes) {
            this.bytes -= this.entries.shift()!.bytes;
        }
    }

    /** Changes from a revision to the installed one; `undefined` if they are unknown or too large to send. */
    changesSince(revision: number): readonly ManifestChange[] | undefined {
        const first = this.entries.findIndex((entry) => entry.from === revision);
        if (first < 0) {
            return undefined;
        }
        const entries = this.entries.slice(first);
        const bytes = entries.reduce((sum, entry) => sum + entry.bytes, 0);
        return bytes > maximumUpdateBytes ? undefined : entries.flatMap((entry) => entry.changes);
    }
}
