/**
 * The agent's gate before its endpoint: requests pass in the order in which they come, a suspect only while nothing
 * else runs, and nothing else while a suspect runs. A fingerprint that crashed the endpoint while it ran apart is
 * refused here from then on, whatever a router has not heard yet.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import { Treatment } from "./suspectTracker.js";

/** A request at the gate. */
export interface GateEntry {
    /** Differs for each attempt. */
    readonly id: string;
    /** Digest of account and body. */
    readonly fingerprint: string;
    /** True where the router suspects the request. */
    readonly apart: boolean;
}

/** What happens to entries next. */
export interface GateStep {
    readonly started: readonly GateEntry[];
    readonly quarantined: readonly GateEntry[];
}

/** Bounds of a gate. */
export interface IsolationGateOptions {
    /** Time for which a fingerprint is remembered. */
    readonly duration: Milliseconds;
    /** Fingerprints that are remembered at most. */
    readonly maximumSuspects: number;
}

interface Memory {
    readonly treatment: Treatment;
    readonly until: Milliseconds;
}

/** The gate of one agent. */
export class IsolationGate {
    private readonly memories = new Map<string, Memory>();
    private readonly runningEntries = new Map<string, GateEntry>();
    private waiting: GateEntry[] = [];

    constructor(private readonly options: IsolationGateOptions) {}

    /** Adds a request. */
    enter(entry: GateEntry, now: Milliseconds): GateStep {
        const treatment = this.memoryOf(entry.fingerprint, now);
        this.waiting.push({ ...entry, apart: entry.apart || treatment === Treatment.Apart });
        return this.advance(now);
    }

    /** Removes a request: it has ended, or it waits no longer. */
    leave(id: string, now: Milliseconds): GateStep {
        this.runningEntries.delete(id);
        this.waiting = this.waiting.filter((entry) => entry.id !== id);
        return this.advance(now);
    }

    /**
     * Notes that the endpoint has crashed. Returns the fingerprints of the requests that ran; they still leave one by
     * one.
     */
    crashed(now: Milliseconds): string[] {
        const suspects = [...this.runningEntries.values()];
        for (const { fingerprint, apart } of suspects) {
            const treatment = apart ? Treatment.Quarantined : Treatment.Apart;
            this.memories.delete(fingerprint);
            this.memories.set(fingerprint, { treatment, until: now + this.options.duration });
        }
        for (const fingerprint of [...this.memories.keys()].slice(0, -this.options.maximumSuspects)) {
            this.memories.delete(fingerprint);
        }
        return suspects.map((entry) => entry.fingerprint);
    }

    /** Forgets a suspicion, once the request has run apart to its end. */
    clear(fingerprint: string): void {
        this.memories.delete(fingerprint);
    }

    private advance(now: Milliseconds): GateStep {
        const started: GateEntry[] = [];
        const quarantined: GateEntry[] = [];
        while (this.waiting.length > 0) {
            const [next] = this.waiting;
            if (this.memoryOf(next.fingerprint, now) === Treatment.Quarantined) {
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
        if (entry.apart) {
            return this.runningEntries.size === 0;
        }
        return [...this.runningEntries.values()].every((running) => !running.apart);
    }

    private memoryOf(fingerprint: string, now: Milliseconds): Treatment {
        const memory = this.memories.get(fingerprint);
        return memory === undefined || memory.until <= now ? Treatment.Normal : memory.treatment;
    }
}
