/**
 * An in-memory key-value store with switchable faults, for fuzzing, tests and experiments. The simulated processes of
 * one test share it; each of them calls it through its own {@link MemoryStore.client}.
 *
 * @module
 */
import { type Clock, type Milliseconds, sleep } from "@redwingpin/common";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { KeyValueStore, StoreEntry, StoreError, SwapOutcome } from "./store.js";

/** Fault that the store simulates. */
export enum StoreFault {
    None = "none",
    /** Calls fail without effect. */
    Down = "down",
    /** Calls take effect, but their answers are lost. */
    LosesAnswers = "losesAnswers",
    /** Calls fail with an unknown outcome, without waiting for their effect, and take effect later. */
    DelaysEffects = "delaysEffects",
    /** Calls take much longer. */
    Slow = "slow",
}

const slowFactor = 40;
const delayFactor = 80;

/** The store, with the state that its clients share. */
export class MemoryStore {
    /** Fault that the store simulates now. */
    fault = StoreFault.None;
    /** Number of calls so far. */
    readonly counts = { reads: 0, writes: 0 };
    private readonly entries = new Map<string, StoreEntry & { readonly lease?: string; }>();
    private readonly leases = new Map<string, { readonly duration: Milliseconds; expires: Milliseconds; }>();
    private revision = 0;

    /** Each call takes `latency` on `clock`, half of it before the call takes effect. */
    constructor(private readonly clock: Clock, private readonly latency: Milliseconds) {}

    /** Creates a client. */
    client(): KeyValueStore {
        return {
            read: (key) => this.readCall(() => this.peek(key)),
            readPrefix: (prefix) => this.readCall(() => this.peekPrefix(prefix)),
            compareAndSwap: (key, expected, value, lease) =>
                this.writeCall(() =>
                    this.isLeaseValid(lease) ? this.swap(key, expected, value, lease) : undefined
                )
                    .andThen((outcome) =>
                        outcome === undefined
                            ? err(createError("notApplied", `lease "${lease}" has expired`))
                            : ok(outcome)
                    ),
            compareAndDelete: (key, expected) => this.writeCall(() => this.swap(key, expected, undefined)),
            grantLease: (duration) => this.writeCall(() => this.createLease(duration)),
            keepLeaseAlive: (lease) =>
                this.writeCall(() => this.renewLease(lease)).andThen((renewed) =>
                    renewed ? ok(undefined) : err(createError("notApplied", `lease "${lease}" has expired`))
                ),
            watch: () => {
                throw new Error("the in-memory store does not support watches");
            },
        };
    }

    /** Reads a key without delay or fault. */
    peek(key: string): StoreEntry | undefined {
        this.expireLeases();
        return this.entries.get(key);
    }

    /** Reads every key with this prefix, in order of key, without delay or fault. */
    peekPrefix(prefix: string): StoreEntry[] {
        this.expireLeases();
        const found = [...this.entries.values()].filter((entry) => entry.key.startsWith(prefix));
        return found.sort((left, right) => left.key < right.key ? -1 : 1);
    }

    private readCall<T>(effect: () => T): ResultAsync<T, StoreError> {
        this.counts.reads++;
        return new ResultAsync(this.call(effect));
    }

    private writeCall<T>(effect: () => T): ResultAsync<T, StoreError> {
        this.counts.writes++;
        return new ResultAsync(this.call(effect));
    }

    private async call<T>(effect: () => T): Promise<Result<T, StoreError>> {
        const half = this.latency / 2;
        await sleep(this.clock, this.fault === StoreFault.Slow ? half * slowFactor : half);
        if (this.fault === StoreFault.Down) {
            return err(createError("notApplied", "store is down"));
        }
        if (this.fault === StoreFault.DelaysEffects) {
            this.clock.schedule(this.latency * delayFactor, effect);
            return err(createError("unknown", "store call timed out"));
        }
        const value = effect();
        const isAnswerLost = this.fault === StoreFault.LosesAnswers;
        await sleep(this.clock, half);
        return isAnswerLost ? err(createError("unknown", "answer of the store was lost")) : ok(value);
    }

    private swap(key: string, expected: number, value: Uint8Array | undefined, lease?: string): SwapOutcome {
        const current = this.peek(key);
        if ((current?.modRevision ?? 0) !== expected) {
            return { swapped: false, current };
        }
        const modRevision = ++this.revision;
        if (value === undefined) {
            this.entries.delete(key);
        }
        else {
            this.entries.set(key, { key, value, modRevision, lease });
        }
        return { swapped: true, modRevision };
    }

    private createLease(duration: Milliseconds): string {
        const lease = `lease-${++this.revision}`;
        this.leases.set(lease, { duration, expires: this.clock.now() + duration });
        return lease;
    }

    private renewLease(lease: string): boolean {
        this.expireLeases();
        const leased = this.leases.get(lease);
        if (leased !== undefined) {
            leased.expires = this.clock.now() + leased.duration;
        }
        return leased !== undefined;
    }

    private isLeaseValid(lease: string | undefined): boolean {
        this.expireLeases();
        return lease === undefined || this.leases.has(lease);
    }

    private expireLeases(): void {
        for (const [lease, { expires }] of this.leases) {
            if (expires <= this.clock.now()) {
                this.leases.delete(lease);
                this.deleteLeasedEntries(lease);
            }
        }
    }

    private deleteLeasedEntries(lease: string): void {
        for (const entry of [...this.entries.values()].filter((candidate) => candidate.lease === lease)) {
            this.entries.delete(entry.key);
        }
    }
}

function createError(kind: StoreError["kind"], message: string): StoreError {
    return { kind, message };
}
