/**
 * The platform's key-value store as the product sees it: compare-and-swap, leases and watches.
 *
 * @module
 */
import type { CancelTimer, Milliseconds } from "@redwingpin/common";
import type { ResultAsync } from "neverthrow";

/** One stored value. */
export interface StoreEntry {
    readonly key: string;
    readonly value: Uint8Array;
    /** Store revision of the last change to this key; the value to compare in a compare-and-swap. */
    readonly modRevision: number;
}

/** How a call to the store failed. */
export type StoreError =
    /** The call certainly had no effect. */
    | { readonly kind: "notApplied"; readonly message: string; }
    /** The call may or may not have taken effect. */
    | { readonly kind: "unknown"; readonly message: string; };

/** Outcome of a compare-and-swap. */
export type SwapOutcome =
    | { readonly swapped: true; readonly modRevision: number; }
    | { readonly swapped: false; readonly current: StoreEntry | undefined; };

/** One change that a watch delivers; `entry` is absent where the key was deleted. */
export interface StoreChange {
    readonly key: string;
    readonly entry: StoreEntry | undefined;
}

/** A key-value store. Values are at most one megabyte. Keys are text. */
export interface KeyValueStore {
    read(key: string): ResultAsync<StoreEntry | undefined, StoreError>;
    readPrefix(prefix: string): ResultAsync<readonly StoreEntry[], StoreError>;
    /** Replaces the value if the key's revision still is `expected`; 0 stands for a key that does not exist. */
    compareAndSwap(
        key: string,
        expected: number,
        value: Uint8Array,
        lease?: string,
    ): ResultAsync<SwapOutcome, StoreError>;
    /** Deletes the key if its revision still is `expected`. */
    compareAndDelete(key: string, expected: number): ResultAsync<SwapOutcome, StoreError>;
    grantLease(duration: Milliseconds): ResultAsync<string, StoreError>;
    keepLeaseAlive(lease: string): ResultAsync<void, StoreError>;
    /** Delivers changes to `key` until cancelled; reconnects by itself and may deliver a change twice. */
    watch(key: string, onChange: (change: StoreChange) => void): CancelTimer;
}
