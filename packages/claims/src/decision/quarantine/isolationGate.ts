/**
 * Decides at the agent when each request may start at the endpoint. Requests start in order of arrival; a suspect runs
 * in isolation, that is, only while no other request runs. Requests with a fingerprint that crashed the endpoint in
 * isolation are refused as long as the crash is remembered, even if their router has not received the report yet.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import { IsolationLevel } from "./suspectTracker.js";

export interface GateEntry {
    /** Unique for each attempt at a request. */
    readonly id: string;
    /** Digest of client account and body. */
    readonly fingerprint: string;
    /** True if the request must run in isolation, because the router or this gate suspects it. */
    readonly isIsolated: boolean;
}

/** Entries that leave the queue: those to start and those to refuse. */
export interface GateStep {
    readonly started: readonly GateEntry[];
    readonly quarantined: readonly GateEntry[];
}

/** Limits of a gate. */
export interface IsolationGateOptions {
    /** Time for which a fingerprint is remembered after a crash. */
    readonly duration: Milliseconds;
    /** Maximum number of fingerprints that are remembered. */
    readonly maximumSuspects: number;
}

interface RememberedLevel {
    readonly level: IsolationLevel;
    readonly until: Milliseconds;
}

/** The gate of one agent. */
export class IsolationGate {
    private readonly rememberedLevels = new Map<string, RememberedLevel>();
    private readonly runningEntries = new Map<string, GateEntry>();
    private waiting: GateEntry[] = [];

    constructor(private readonly options: IsolationGateOptions) {}

    /** Adds a request to the queue. */
    enter(entry: GateEntry, now: Milliseconds): GateStep {
        const level = this.levelOf(entry.fingerprint, now);
        this.waiting.push({ ...entry, isIsolated: entry.isIsolated || level === IsolationLevel.Isolated });
        return this.advance(now);
    }

    /** Removes a request that has ended or no longer waits. */
    leave(id: string, now: Milliseconds): GateStep {
        this.runningEntries.delete(id);
        this.waiting = this.waiting.filter((entry) => entry.id !== id);
        return this.advance(now);
    }

    /**
     * Records a crash of the endpoint. Returns the fingerprints of the requests that were running; their entries stay
     * until {@link leave} removes each of them.
     */
    recordCrash(now: Milliseconds): string[] {
        const suspects = [...this.runningEntries.values()];
        for (const { fingerprint, isIsolated } of suspects) {
            const level = isIsolated ? IsolationLevel.Quarantined : IsolationLevel.Isolated;
            this.rememberedLevels.delete(fingerprint);
            this.rememberedLevels.set(fingerprint, { level, until: now + this.options.duration });
        }
        for (const fingerprint of [...this.rememberedLevels.keys()].slice(0, -this.options.maximumSuspects)) {
            this.rememberedLevels.delete(fingerprint);
        }
        return suspects.map((entry) => entry.fingerprint);
    }

    /** Clears a fingerprint whose request has completed in isolation. */
    clear(fingerprint: string): void {
        this.rememberedLevels.delete(fingerprint);
    }

    private advance(now: Milliseconds): GateStep {
        const started: GateEntry[] = [];
        const quarantined: GateEntry[] = [];
        while (this.waiting.length > 0) {
            const [next] = this.waiting;
            if (this.levelOf(next.fingerprint, now) === IsolationLevel.Quarantined) {
                quarantined.push(next);
            }
            else if (this.mayStart(next)) {
                started.push(next);
                this.runningEntries.set(next.id, next);
            }
            else {
                break;
            }
            this.waiting.shift();
        }
        return { started, quarantined };
    }

    private mayStart(entry: GateEntry): boolean {
        if (entry.isIsolated) {
            return this.runningEntries.size === 0;
        }
        return [...this.runningEntries.values()].every((running) => !running.isIsolated);
    }

    private levelOf(fingerprint: string, now: Milliseconds): IsolationLevel {
        const remembered = this.rememberedLevels.get(fingerprint);
        return remembered === undefined || remembered.until <= now ? IsolationLevel.Normal : remembered.level;
    }
}
