/**
 * Which requests are suspected of crashing endpoints. Books of different processes are merged in any order and give the
 * same result: each is a set of crashes a fingerprint, and of crashes of which it has been cleared.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** How a request is run. */
export enum Treatment {
    Normal = "normal",
    /** Alone at its endpoint. */
    Apart = "apart",
    /** Not at all. */
    Quarantined = "quarantined",
}

/** One crash of an endpoint. */
export interface Crash {
    /** Names the crash: the agent's instance and the start of the endpoint that ended. */
    readonly id: string;
    /** Wall time at the agent, in milliseconds. */
    readonly at: Milliseconds;
}

/** What is known of one fingerprint. */
export interface Suspect {
    readonly fingerprint: string;
    readonly crashes: readonly Crash[];
    /** Crashes that it did not cause: it has since been run apart to its end. */
    readonly cleared: readonly string[];
}

/** Bounds of a book. */
export interface SuspectTrackerOptions {
    /** Time after its last crash for which a fingerprint is suspect or quarantined. */
    readonly duration: Milliseconds;
    /** Crashes after which a fingerprint is quarantined. */
    readonly crashesBeforeQuarantine: number;
    /** Fingerprints that are remembered at most; the longest unseen are forgotten first. */
    readonly maximumSuspects: number;
}

/** The suspects as known to one process. */
export class SuspectTracker {
    private readonly suspects = new Map<string, Suspect>();

    constructor(private readonly options: SuspectTrackerOptions) {}

    /** How a request with this fingerprint is run. */
    treatment(fingerprint: string, now: Milliseconds): Treatment {
        const suspect = this.suspects.get(fingerprint);
        const crashes = suspect === undefined ? 0 : this.openCrashes(suspect, now).length;
        if (crashes === 0) {
            return Treatment.Normal;
        }
        return crashes < this.options.crashesBeforeQuarantine ? Treatment.Apart : Treatment.Quarantined;
    }

    /** Notes the fingerprints that ran at an endpoint when it crashed. */
    recordCrash(crash: Crash, fingerprints: readonly string[], now: Milliseconds): void {
        const suspects = [...new Set(fingerprints)];
        this.merge(suspects.map((fingerprint) => ({ fingerprint, crashes: [crash], cleared: [] })), now);
    }

    /** Clears a fingerprint that has run apart to its end. Returns what changed, for the other processes. */
    clear(fingerprint: string, now: Milliseconds): Suspect | undefined {
        const suspect = this.suspects.get(fingerprint);
        if (suspect === undefined || this.openCrashes(suspect, now).length === 0) {
            return undefined;
        }
        const cleared = { ...suspect, cleared: suspect.crashes.map((crash) => crash.id) };
        this.suspects.set(fingerprint, cleared);
        return cleared;
    }

    /** Takes in what another process knows. Returns true where it was news. */
    merge(others: readonly Suspect[], now: Milliseconds): boolean {
        const changed = others.filter((other) => this.mergeOne(other)).length > 0;
        this.forgetOld(now);
        return changed;
    }

    /** Everything that is still of use. */
    entries(now: Milliseconds): Suspect[] {
        this.forgetOld(now);
        return [...this.suspects.values()];
    }

    private mergeOne(other: Suspect): boolean {
        const known = this.suspects.get(other.fingerprint);
        const crashes = unite(known?.crashes ?? [], other.crashes, (crash) => crash.id);
        const cleared = unite(known?.cleared ?? [], other.cleared, (id) => id);
        const changed = crashes.length !== known?.crashes.length || cleared.length !== known.cleared.length;
        if (changed) {
            this.suspects.delete(other.fingerprint);
            this.suspects.set(other.fingerprint, { fingerprint: other.fingerprint, crashes, cleared });
        }
        return changed;
    }

    private openCrashes(suspect: Suspect, now: Milliseconds): readonly Crash[] {
        const newest = Math.max(...suspect.crashes.map((crash) => crash.at));
        return now - newest >= this.options.duration
            ? []
            : suspect.crashes.filter((crash) => !suspect.cleared.includes(crash.id));
    }

    private forgetOld(now: Milliseconds): void {
        for (const suspect of this.suspects.values()) {
            const surplus = this.suspects.size > this.options.maximumSuspects;
            const newest = Math.max(...suspect.crashes.map((crash) => crash.at));
            if (surplus || now - newest >= this.options.duration) {
                this.suspects.delete(suspect.fingerprint);
            }
        }
    }
}

function unite<T>(left: readonly T[], right: readonly T[], nameOf: (item: T) => string): readonly T[] {
    const names = new Set(left.map(nameOf));
    return [...left, ...right.filter((item) => !names.has(nameOf(item)))];
}
