/**
 * The changes that led to the installed revision, as far back as memory is set aside for them.
 *
 * @module
 */
import { canonicalJson, type ManifestChange } from "@redwingpin/manifest";

const maximumEntries = 512;
const maximumBytes = 256 * 1024;

/** Changes above this size are not sent; the receiver fetches the shards that differ. */
export const maximumUpdateBytes = 64 * 1024;

interface Step {
    readonly from: number;
    readonly revision: number;
    readonly changes: readonly ManifestChange[];
    readonly bytes: number;
}

/** A bounded chain of changes that ends at the installed revision. */
export class ChangeHistory {
    private steps: Step[] = [];
    private bytes = 0;

    /** Adds the changes between two revisions; `from` is the revision that was installed before. */
    add(from: number, revision: number, changes: readonly ManifestChange[]): void {
        const bytes = canonicalJson(changes).length;
        this.steps.push({ from, revision, changes, bytes });
        this.bytes += bytes;
        while (this.steps.length > maximumEntries || this.bytes > maximumBytes) {
            this.bytes -= this.steps.shift()!.bytes;
        }
    }

    /** Changes from a revision to the installed one; `undefined` where they are not known or too large to send. */
    since(revision: number): readonly ManifestChange[] | undefined {
        const first = this.steps.findIndex((step) => step.from === revision);
        if (first < 0) {
            return undefined;
        }
        const steps = this.steps.slice(first);
        const bytes = steps.reduce((sum, step) => sum + step.bytes, 0);
        return bytes > maximumUpdateBytes ? undefined : steps.flatMap((step) => step.changes);
    }
}
