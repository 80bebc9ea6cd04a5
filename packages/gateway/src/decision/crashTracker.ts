/**
 * Counts the endpoints that crashed while they ran a request. If several did, the request is assumed to be the cause and
 * is refused for a time. Routers share their counts.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { CrashCount } from "@redwingpin/fleet";

/** Number of crashed endpoints after which a request is refused. */
export const crashesBeforeRefusal = 3;

/** A count expires this long after the last crash. */
const crashLifetime: Milliseconds = 60_000;

const maxEntries = 2_000;

interface Entry {
    readonly instances: Set<string>;
    /** Largest count that any peer has reported. */
    maxPeerCount: number;
    lastCrashAt: Milliseconds;
}

/** Crash counts of one router, by fingerprint of the request. */
export class CrashTracker {
    private readonly entries = new Map<string, Entry>();

    /** Records that the connection to an endpoint broke while the endpoint ran the request. */
    recordCrash(fingerprint: string, instance: string, now: Milliseconds): void {
        const entry = this.findOrCreate(fingerprint, now);
        entry.instances.add(instance);
        entry.lastCrashAt = now;
    }

    /** Removes the count of a request that was served. */
    recordSuccess(fingerprint: string): void {
        this.entries.delete(fingerprint);
    }

    /** Number of endpoints that crashed while they ran the request. */
    crashCount(fingerprint: string, now: Milliseconds): number {
        const entry = this.entries.get(fingerprint);
        if (entry === undefined || now - entry.lastCrashAt > crashLifetime) {
            return 0;
        }
        return entry.instances.size + entry.maxPeerCount;
    }

    isRefused(fingerprint: string, now: Milliseconds): boolean {
        return this.crashCount(fingerprint, now) >= crashesBeforeRefusal;
    }

    /** This router's own counts, for its peers. */
    report(now: Milliseconds): CrashCount[] {
        return [...this.entries]
            .filter(([, entry]) => now - entry.lastCrashAt <= crashLifetime && entry.instances.size > 0)
            .map(([fingerprint, entry]) => ({ fingerprint, crashes: entry.instances.size }));
    }

    /** Applies the counts that a peer has reported. */
    observe(counts: readonly CrashCount[], now: Milliseconds): void {
        for (const { fingerprint, crashes } of counts) {
            const entry = this.findOrCreate(fingerprint, now);
            if (crashes > entry.maxPeerCount) {
                entry.maxPeerCount = crashes;
                entry.lastCrashAt = now;
            }
        }
    }

    private findOrCreate(fingerprint: string, now: Milliseconds): Entry {
        const existing = this.entries.get(fingerprint);
        if (existing !== undefined && now - existing.lastCrashAt <= crashLifetime) {
            return existing;
        }
        const entry: Entry = { instances: new Set(), maxPeerCount: 0, lastCrashAt: now };
        this.entries.delete(fingerprint);
        this.entries.set(fingerprint, entry);
        if (this.entries.size > maxEntries) {
            this.entries.delete(this.entries.keys().next().value!);
        }
        return entry;
    }
}
