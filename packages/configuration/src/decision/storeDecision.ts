/**
 * Store calls as effects of a decision, so that tests can produce any interleaving, outage or lost answer.
 *
 * @module
 */
import { assertNever, type Clock, type Decision, runDecision, sleep } from "@redwingpin/common";
import type { KeyValueStore, StoreEntry, StoreError, SwapOutcome } from "@redwingpin/outside";
import { err, ok, type Result } from "neverthrow";

export enum StoreEffectKind {
    Read = "read",
    ReadPrefix = "readPrefix",
    Swap = "swap",
    Delete = "delete",
    Pause = "pause",
}

/** One call to the store, or a delay between two attempts. */
export type StoreEffect =
    | { readonly kind: StoreEffectKind.Read; readonly key: string; }
    | { readonly kind: StoreEffectKind.ReadPrefix; readonly prefix: string; }
    | {
        readonly kind: StoreEffectKind.Swap;
        readonly key: string;
        readonly expected: number;
        readonly value: Uint8Array;
    }
    | { readonly kind: StoreEffectKind.Delete; readonly key: string; readonly expected: number; }
    | { readonly kind: StoreEffectKind.Pause; readonly milliseconds: number; };

export enum StoreEventKind {
    Entries = "entries",
    Swapped = "swapped",
    Failed = "failed",
    Paused = "paused",
}

/** The answer to a {@link StoreEffect}. */
export type StoreEvent =
    | { readonly kind: StoreEventKind.Entries; readonly entries: readonly StoreEntry[]; }
    | { readonly kind: StoreEventKind.Swapped; readonly outcome: SwapOutcome; }
    | { readonly kind: StoreEventKind.Failed; readonly error: StoreError; }
    | { readonly kind: StoreEventKind.Paused; };

/** A decision that calls the store. */
export type StoreDecision<Outcome> = Decision<StoreEffect, StoreEvent, Outcome>;

export function* readKey(key: string): StoreDecision<Result<StoreEntry | undefined, StoreError>> {
    const event = yield { kind: StoreEffectKind.Read, key };
    return entriesOf(event).map((entries) => entries[0]);
}

/** Reads all keys with a prefix. */
export function* readKeys(prefix: string): StoreDecision<Result<readonly StoreEntry[], StoreError>> {
    return entriesOf(yield { kind: StoreEffectKind.ReadPrefix, prefix });
}

/** Writes a value if the revision of its key is still `expected`; 0 if the key must not exist. */
export function* swapKey(
    key: string,
    expected: number,
    value: Uint8Array,
): StoreDecision<Result<SwapOutcome, StoreError>> {
    return outcomeOf(yield { kind: StoreEffectKind.Swap, key, expected, value });
}

/** Deletes a key if its revision is still `expected`. */
export function* deleteKey(key: string, expected: number): StoreDecision<Result<SwapOutcome, StoreError>> {
    return outcomeOf(yield { kind: StoreEffectKind.Delete, key, expected });
}

function entriesOf(event: StoreEvent): Result<readonly StoreEntry[], StoreError> {
    return event.kind === StoreEventKind.Entries ? ok(event.entries) : err(errorOf(event));
}

function outcomeOf(event: StoreEvent): Result<SwapOutcome, StoreError> {
    return event.kind === StoreEventKind.Swapped ? ok(event.outcome) : err(errorOf(event));
}

function errorOf(event: StoreEvent): StoreError {
    return event.kind === StoreEventKind.Failed
        ? event.error
        : { kind: "unknown", message: `store answered with "${event.kind}"` };
}

/** Runs a decision against a store. */
export function runStoreDecision<Outcome>(
    decision: StoreDecision<Outcome>,
    store: KeyValueStore,
    clock: Clock,
): Promise<Outcome> {
    return runDecision(decision, (effect) => performStoreEffect(effect, store, clock));
}

function failed(error: StoreError): StoreEvent {
    return { kind: StoreEventKind.Failed, error };
}

async function performStoreEffect(
    effect: StoreEffect,
    store: KeyValueStore,
    clock: Clock,
): Promise<StoreEvent> {
    switch (effect.kind) {
        case StoreEffectKind.Read:
            return store.read(effect.key).match<StoreEvent>(
                (entry) => ({ kind: StoreEventKind.Entries, entries: entry === undefined ? [] : [entry] }),
                failed,
            );
        case StoreEffectKind.ReadPrefix:
            return store.readPrefix(effect.prefix)
                .match<StoreEvent>((entries) => ({ kind: StoreEventKind.Entries, entries }), failed);
        case StoreEffectKind.Swap:
            return store.compareAndSwap(effect.key, effect.expected, effect.value)
                .match<StoreEvent>((outcome) => ({ kind: StoreEventKind.Swapped, outcome }), failed);
        case StoreEffectKind.Delete:
            return store.compareAndDelete(effect.key, effect.expected)
                .match<StoreEvent>((outcome) => ({ kind: StoreEventKind.Swapped, outcome }), failed);
        case StoreEffectKind.Pause:
            await sleep(clock, effect.milliseconds);
            return { kind: StoreEventKind.Paused };
        default:
            return assertNever(effect);
    }
}
