/**
 * Tracks the requests that are suspected of crashing endpoints. For each fingerprint, a process holds the set of its
 * crashes and the set of those that it has been cleared of. Merging the sets of several processes gives the same result
 * in any order.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** How a request may run. */
export enum IsolationLevel {
    Normal = "normal",
    /** In isolation: while no other request runs at its endpoint. */
    Isolated = "apart",
    /** Not at all. */
    Quarantined = "quarantined",
}

/** One crash of an endpoint. */
export interface Crash {
    /** Identifies the crash: the agent's instance and the incarnation of the endpoint that crashed. */
    readonly id: string;
    /** Wall time at the agent. */
    readonly at: Milliseconds;
}

/** Crashes of one fingerprint. */
export interface Suspect {
    readonly fingerprint: string;
    readonly crashes: readonly Crash[];
    /** Identifiers of crashes that the request did not cause: it has completed in isolation since. */
    readonly cleared: readonly string[];
}

/** Limits of a tracker. */
export interface SuspectTrackerOptions {
    /** A fingerprint stays suspect or quarantined for this time after its last crash. */
    readonly duration: Milliseconds;
    /** Number of crashes after which a fingerprint is quarantined. */
    readonly crashesBeforeQuarantine: number;
    /** Maximum number of fingerprints; those for which a merge added nothing for the longest time are removed first. */
    readonly maximumSuspects: number;
}

/** The suspects as known to one process. */
export class SuspectTracker {
    private readonly suspects = new Map<string, Suspect>();

    constructor(private readonly options: SuspectTrackerOptions) {}

    /** How a request with this fingerprint may run. */
    isolationLevel(fingerprint: string, now: Milliseconds): IsolationLevel {
        const suspect = this.suspects.get(fingerprint);
        const crashes = suspect === undefined ? 0 : this.unclearedCrashes(suspect, now).length;
        if (crashes === 0) {
            return IsolationLevel.Normal;
        }
        return crashes < this.options.crashesBeforeQuarantine
            ? IsolationLevel.Isolated
            : IsolationLevel.Quarantined;
    }

    /** Records the fingerprints of the requests that were running at an endpoint when it crashed. */
    recordCrash(crash: Crash, fingerprints: readonly string[], now: Milliseconds): void {
        const suspects = [...new Set(fingerprints)];
        this.merge(suspects.map((fingerprint) => ({ fingerprint, crashes: [crash], cleared: [] })), now);
    }

    /** Clears a fingerprint whose request completed in isolation. Returns the suspect if it has changed. */
    clear(fingerprint: string, now: Milliseconds): Suspect | undefined {
        const suspect = this.suspects.get(fingerprint);
        if (suspect === undefined || this.unclearedCrashes(suspect, now).length === 0) {
            return undefined;
        }
        const cleared = { ...suspect, cleared: suspect.crashes.map((crash) => crash.id) };
        this.suspects.set(fingerprint, cleared);
        return cleared;
    }

    /** Merges the suspects of another process. Returns true if anything changed. */
    merge(others: readonly Suspect[], now: Milliseconds): boolean {
        const hasChanged = others.filter((other) => this.mergeOne(other)).length > 0;
        this.removeExpired(now);
        return hasChanged;
    }

    /** All suspects that have not expired. */
    entries(now: Milliseconds): Suspect[] {
        this.removeExpired(now);
        return [...this.suspects.values()];
    }

    private mergeOne(other: Suspect): boolean {
        const known = this.suspects.get(other.fingerprint);
        const crashes = unionBy(known?.crashes ?? [], other.crashes, (crash) => crash.id);
        const cleared = unionBy(known?.cleared ?? [], other.cleared, (id) => id);
        const hasChanged = crashes.length !== known?.crashes.length
            || cleared.length !== known.cleared.length;
        if (hasChanged) {
            this.suspects.delete(other.fingerprint);
            this.suspects.set(other.fingerprint, { fingerprint: other.fingerprint, crashes, cleared });
        }
        return hasChanged;
    }

    private unclearedCrashes(suspect: Suspect, now: Milliseconds): readonly Crash[] {
        const newest = Math.max(...suspect.crashes.map((crash) => crash.at));
        return now - newest >= this.options.duration
            ? []
            : suspect.crashes.filter((crash) => !suspect.cleared.includes(crash.id));
    }

    private removeExpired(now: Milliseconds): void {
        for (const suspect of this.suspects.values()) {
            const surplus = this.suspects.size > this.options.maximumSuspects;
            const newest = Math.max(...suspect.crashes.map((crash) => crash.at));
            if (surplus || now - newest >= this.options.duration) {
                this.suspects.delete(suspect.fingerprint);
            }
        }
    }
}

function unionBy<T>(left: readonly T[], right: readonly T[], idOf: (item: T) => string): readonly T[] {
    const ids = new Set(left.map(idOf));
    return [...left, ...right.filter((item) => !ids.has(idOf(item)))];
}
