/**
 * A key-value store in memory with faults that can be switched on, for fuzzing, tests and experiments. It is shared by
 * the simulated processes of one test; each of them reaches it through its own {@link MemoryStore.client}.
 *
 * @module
 */
import { type Clock, type Milliseconds, sleep } from "@redwingpin/common";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { KeyValueStore, StoreEntry, StoreError, SwapOutcome } from "./store.js";

/** What is wrong with the store. */
export enum StoreFault {
    None = "none",
    /** Calls fail without effect. */
    Down = "down",
    /** Calls take effect, and their answers are lost. */
    LosesAnswers = "losesAnswers",
    /** Calls fail at once with an unknown outcome, and take effect later. */
    DelaysEffects = "delaysEffects",
    /** Calls take a long time. */
    Slow = "slow",
}

const slowFactor = 40;
const delayFactor = 80;

/** The shared state of the store. */
export class MemoryStore {
    /** What is wrong with the store now. */
    fault = StoreFault.None;
    /** Calls that were made, writes and reads. */
    readonly counts = { reads: 0, writes: 0 };
    private readonly entries = new Map<string, StoreEntry & { readonly lease?: string; }>();
    private readonly leases = new Map<string, { readonly duration: Milliseconds; expires: Milliseconds; }>();
    private revision = 0;

    /** Each call takes `latency` milliseconds on `clock`, half of it before it takes effect. */
    constructor(private readonly clock: Clock, private readonly latency: Milliseconds) {}

    /** Makes a client. */
    client(): KeyValueStore {
        return {
            read: (key) => this.readCall(() => this.peek(key)),
            readPrefix: (prefix) => this.readCall(() => this.peekPrefix(prefix)),
            compareAndSwap: (key, expected, value, lease) =>
                this.writeCall(() => this.isHeld(lease) ? this.swap(key, expected, value, lease) : undefined)
                    .andThen((outcome) =>
                        outcome === undefined
                            ? err(failure("notApplied", `lease "${lease}" has expired`))
                            : ok(outcome)
                    ),
            compareAndDelete: (key, expected) => this.writeCall(() => this.swap(key, expected, undefined)),
            grantLease: (duration) => this.writeCall(() => this.grant(duration)),
            keepLeaseAlive: (lease) =>
                this.writeCall(() => this.renew(lease)).andThen((renewed) =>
                    renewed ? ok(undefined) : err(failure("notApplied", `lease "${lease}" has expired`))
                ),
            watch: () => {
                throw new Error("the store in memory has no watches");
            },
        };
    }

    /** Reads without delay or fault. */
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
            return err(failure("notApplied", "store is down"));
        }
        if (this.fault === StoreFault.DelaysEffects) {
            this.clock.schedule(this.latency * delayFactor, effect);
            return err(failure("unknown", "store call timed out"));
        }
        const value = effect();
        const answerLost = this.fault === StoreFault.LosesAnswers;
        await sleep(this.clock, half);
        return answerLost ? err(failure("unknown", "answer of the store was lost")) : ok(value);
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

    private grant(duration: Milliseconds): string {
        const lease = `lease-${++this.revision}`;
        this.leases.set(lease, { duration, expires: this.clock.now() + duration });
        return lease;
    }

    private renew(lease: string): boolean {
        this.expireLeases();
        const known = this.leases.get(lease);
        if (known !== undefined) {
            known.expires = this.clock.now() + known.duration;
        }
        return known !== undefined;
    }

    private isHeld(lease: string | undefined): boolean {
        this.expireLeases();
        return lease === undefined || this.leases.has(lease);
    }

    private expireLeases(): void {
        for (const [lease, { expires }] of this.leases) {
            if (expires <= this.clock.now()) {
                this.leases.delete(lease);
                this.deleteLeased(lease);
            }
        }
    }

    private deleteLeased(lease: string): void {
        for (const entry of [...this.entries.values()].filter((candidate) => candidate.lease === lease)) {
            this.entries.delete(entry.key);
        }
    }
}

function failure(kind: StoreError["kind"], message: string): StoreError {
    return { kind, message };
}
