import type { KeyValueStore, StoreChange, StoreEntry, StoreError, SwapOutcome } from "@redwingpin/outside";
import { err, ok, type Result, ResultAsync } from "neverthrow";

/** How the store answers its next calls. */
export enum StoreMode {
    Up = "up",
    Down = "down",
    LoseAnswers = "loseAnswers",
    LoseWriteAnswers = "loseWriteAnswers",
}

/** An in-memory key-value store with outages and lost answers. */
export class MemoryStore implements KeyValueStore {
    readonly entries = new Map<string, StoreEntry>();
    mode = StoreMode.Up;
    reads = 0;
    /** Runs before each call, to produce races. */
    beforeCall: (key: string) => Promise<void> | void = () => {};
    private readonly watchers = new Map<(change: StoreChange) => void, string>();
    private revision = 0;

    read(key: string): ResultAsync<StoreEntry | undefined, StoreError> {
        this.reads++;
        return this.call(key, () => this.entries.get(key));
    }

    readPrefix(prefix: string): ResultAsync<readonly StoreEntry[], StoreError> {
        this.reads++;
        return this.call(
            prefix,
            () => [...this.entries.values()].filter((entry) => entry.key.startsWith(prefix)),
        );
    }

    compareAndSwap(key: string, expected: number, value: Uint8Array): ResultAsync<SwapOutcome, StoreError> {
        return this.call(
            key,
            () => this.change(key, expected, { key, value, modRevision: this.revision + 1 }),
        );
    }

    compareAndDelete(key: string, expected: number): ResultAsync<SwapOutcome, StoreError> {
        return this.call(key, () => this.change(key, expected, undefined), true);
    }

    grantLease(): ResultAsync<string, StoreError> {
        return this.call("", () => "lease");
    }

    keepLeaseAlive(): ResultAsync<void, StoreError> {
        return this.call("", () => undefined);
    }

    watch(key: string, onChange: (change: StoreChange) => void): () => void {
        this.watchers.set(onChange, key);
        return () => this.watchers.delete(onChange);
    }

    private change(key: string, expected: number, entry: StoreEntry | undefined): SwapOutcome {
        const current = this.entries.get(key);
        if ((current?.modRevision ?? 0) !== expected) {
            return { swapped: false, current };
        }
        this.revision++;
        if (entry === undefined) {
            this.entries.delete(key);
        }
        else {
            this.entries.set(key, entry);
        }
        for (const [watcher, watched] of this.watchers) {
            if (watched === key) {
                watcher({ key, entry });
            }
        }
        return { swapped: true, modRevision: this.revision };
    }

    private call<T>(key: string, perform: () => T, isWrite = false): ResultAsync<T, StoreError> {
        return new ResultAsync(this.answer(key, perform, isWrite));
    }

    private async answer<T>(key: string, perform: () => T, isWrite: boolean): Promise<Result<T, StoreError>> {
        await this.beforeCall(key);
        if (this.mode === StoreMode.Down) {
            return err({ kind: "notApplied", message: "the store is down" });
        }
        const answer = perform();
        const isLost = this.mode === StoreMode.LoseAnswers
            || (this.mode === StoreMode.LoseWriteAnswers && isWrite);
        return isLost
            ? err({ kind: "unknown", message: "the answer was lost" })
            : ok(answer);
    }
}
