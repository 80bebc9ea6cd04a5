/**
 * Interface to the platform's key-value store, with compare-and-swap, leases and watches.
 *
 * @module
 */
import type { CancelTimer, Milliseconds } from "@redwingpin/common";
import type { ResultAsync } from "neverthrow";

/** A key with its value. */
export interface StoreEntry {
    readonly key: string;
    readonly value: Uint8Array;
    /** Revision of the store at the last change to this key. A compare-and-swap compares it. */
    readonly modRevision: number;
}

/** Failure of a call to the store. */
export type StoreError =
    /** The call had no effect. */
    | { readonly kind: "notApplied"; readonly message: string; }
    /** The call may or may not have taken effect. */
    | { readonly kind: "unknown"; readonly message: string; };

/** Outcome of a compare-and-swap. */
export type SwapOutcome =
    | { readonly swapped: true; readonly modRevision: number; }
    | { readonly swapped: false; readonly current: StoreEntry | undefined; };

/** A change that a watch delivers. `entry` is `undefined` if the key was deleted or does not exist. */
export interface StoreChange {
    readonly key: string;
    readonly entry: StoreEntry | undefined;
}

/** A key-value store. Keys are text, and a value has at most one megabyte. */
export interface KeyValueStore {
    read(key: string): ResultAsync<StoreEntry | undefined, StoreError>;
    readPrefix(prefix: string): ResultAsync<readonly StoreEntry[], StoreError>;
    /** Replaces the value if the key's revision is `expected`, which is 0 for a key that does not exist. */
    compareAndSwap(
        key: string,
        expected: number,
        value: Uint8Array,
        lease?: string,
    ): ResultAsync<SwapOutcome, StoreError>;
    /** Deletes the key if its revision is `expected`. */
    compareAndDelete(key: string, expected: number): ResultAsync<SwapOutcome, StoreError>;
    grantLease(duration: Milliseconds): ResultAsync<string, StoreError>;
    keepLeaseAlive(lease: string): ResultAsync<void, StoreError>;
    /** Delivers changes to `key` until cancelled. Reconnects after failures, and may deliver a change twice. */
    watch(key: string, onChange: (change: StoreChange) => void): CancelTimer;
}
