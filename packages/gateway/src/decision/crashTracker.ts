/**
 * Requests that were running when an endpoint broke off. One that did so at several endpoints is taken to be the
 * cause and is not sent again for a time; routers share their counts.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { CrashCount } from "@redwingpin/fleet";

/** Endpoints that one request may break off before it is refused. */
export const crashesBeforeRefusal = 3;

/** Time for which a count is remembered after the last crash. */
const memory: Milliseconds = 60_000;

const maxEntries = 2_000;

interface Entry {
    readonly instances: Set<string>;
    /** Largest count that a peer has reported. */
    fromPeers: number;
    at: Milliseconds;
}

/** Counts of one router. */
export class CrashTracker {
    private readonly entries = new Map<string, Entry>();

    /** Notes that an endpoint broke off while it ran a request. */
    recordCrash(fingerprint: string, instance: string, now: Milliseconds): void {
        const entry = this.ensure(fingerprint, now);
        entry.instances.add(instance);
        entry.at = now;
    }

    /** Forgets a request that was served. */
    recordSuccess(fingerprint: string): void {
        this.entries.delete(fingerprint);
    }

    /** Endpoints that the request has broken off. */
    crashes(fingerprint: string, now: Milliseconds): number {
        const entry = this.entries.get(fingerprint);
        if (entry === undefined || now - entry.at > memory) {
            return 0;
        }
        return entry.instances.size + entry.fromPeers;
    }

    isRefused(fingerprint: string, now: Milliseconds): boolean {
        return this.crashes(fingerprint, now) >= crashesBeforeRefusal;
    }

    /** Own counts, for peers. */
    report(now: Milliseconds): CrashCount[] {
        return [...this.entries]
            .filter(([, entry]) => now - entry.at <= memory && entry.instances.size > 0)
            .map(([fingerprint, entry]) => ({ fingerprint, crashes: entry.instances.size }));
    }

    /** Takes in a peer's own counts. */
    observe(counts: readonly CrashCount[], now: Milliseconds): void {
        for (const { fingerprint, crashes } of counts) {
            const entry = this.ensure(fingerprint, now);
            if (crashes > entry.fromPeers) {
                entry.fromPeers = crashes;
                entry.at = now;
            }
        }
    }

    private ensure(fingerprint: string, now: Milliseconds): Entry {
        const found = this.entries.get(fingerprint);
        if (found !== undefined && now - found.at <= memory) {
            return found;
        }
        const entry: Entry = { instances: new Set(), fromPeers: 0, at: now };
        this.entries.delete(fingerprint);
        this.entries.set(fingerprint, entry);
        if (this.entries.size > maxEntries) {
            this.entries.delete(this.entries.keys().next().value!);
        }
        return entry;
    }
}
