/**
 * An in-memory key-value store that performs the effects of store decisions synchronously and can inject faults. For
 * fuzzing and experiments on simulated time.
 *
 * @module
 */
import { assertNever } from "@redwingpin/common";
import { type StoreEntry, StoreFault } from "@redwingpin/outside";
import {
    type StoreEffect,
    StoreEffectKind,
    type StoreEvent,
    StoreEventKind,
} from "../decision/storeDecision.js";

/** Counts of the calls that the store has performed. */
export interface StoreCounts {
    reads: number;
    writes: number;
}

/** A simulated store; it calls `onChange` when a write takes effect. */
export class SimulatedStore {
    fault = StoreFault.None;
    readonly counts: StoreCounts = { reads: 0, writes: 0 };
    private readonly entries = new Map<string, StoreEntry>();
    private revision = 0;

    constructor(private readonly onChange: (entry: StoreEntry) => void) {}

    /** Performs a call under the current fault; `defer` schedules a write that takes effect later. */
    perform(effect: StoreEffect, defer: (apply: () => void) => void): StoreEvent {
        if (effect.kind === StoreEffectKind.Pause) {
            return { kind: StoreEventKind.Paused };
        }
        if (this.fault === StoreFault.Down) {
            return {
                kind: StoreEventKind.Failed,
                error: { kind: "notApplied", message: "the store is down" },
            };
        }
        const isWrite = effect.kind === StoreEffectKind.Swap || effect.kind === StoreEffectKind.Delete;
        if (isWrite && this.fault === StoreFault.DelaysEffects) {
            defer(() => this.apply(effect));
            return lostAnswer();
        }
        const event = this.apply(effect);
        return isWrite && this.fault === StoreFault.LosesAnswers ? lostAnswer() : event;
    }

    /** Reads an entry regardless of faults and without counting the read. */
    peek(key: string): StoreEntry | undefined {
        return this.entries.get(key);
    }

    private apply(effect: StoreEffect): StoreEvent {
        switch (effect.kind) {
            case StoreEffectKind.Read: {
                this.counts.reads++;
                const entry = this.entries.get(effect.key);
                return { kind: StoreEventKind.Entries, entries: entry === undefined ? [] : [entry] };
            }
            case StoreEffectKind.ReadPrefix: {
                this.counts.reads++;
                const entries = [...this.entries.values()].filter((entry) =>
                    entry.key.startsWith(effect.prefix)
                );
                return { kind: StoreEventKind.Entries, entries };
            }
            case StoreEffectKind.Swap:
                return this.write(effect.key, effect.expected, effect.value);
            case StoreEffectKind.Delete:
                return this.write(effect.key, effect.expected, undefined);
            case StoreEffectKind.Pause:
                return { kind: StoreEventKind.Paused };
            default:
                return assertNever(effect);
        }
    }

    private write(key: string, expected: number, value: Uint8Array | undefined): StoreEvent {
        this.counts.writes++;
        const current = this.entries.get(key);
        if ((current?.modRevision ?? 0) !== expected) {
            return { kind: StoreEventKind.Swapped, outcome: { swapped: false, current } };
        }
        const modRevision = ++this.revision;
        if (value === undefined) {
            this.entries.delete(key);
        }
        else {
            const entry = { key, value, modRevision };
            this.entries.set(key, entry);
            this.onChange(entry);
        }
        return { kind: StoreEventKind.Swapped, outcome: { swapped: true, modRevision } };
    }
}

function lostAnswer(): StoreEvent {
    return { kind: StoreEventKind.Failed, error: { kind: "unknown", message: "the answer was lost" } };
}
