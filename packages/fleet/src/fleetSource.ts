/**
 * The store as the source of facts: what an adapter of a platform provides.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { ResultAsync } from "neverthrow";
import type { FleetFact } from "./decision/fleetState.js";

/** Parts of the store that are followed by themselves. */
export enum FleetScope {
    /** What operators state: the configuration and the weights. */
    Operator = "operator",
    /** Registrations of endpoints. */
    Endpoints = "endpoints",
}

/** Why the store gave no facts. */
export type SourceError =
    /** The changes since the given revision are no longer kept: everything must be read again. */
    | { readonly kind: "historyGone"; readonly message: string; }
    /** No usable answer. */
    | { readonly kind: "unavailable"; readonly message: string; };

/** Facts with the store's revision up to which they are complete. */
export interface FactBatch {
    readonly facts: readonly FleetFact[];
    readonly revision: number;
}

/** Reads and follows facts in a store. One call to either makes as few calls to the store as it can. */
export interface FleetSource {
    /** Reads everything in a scope. */
    read(scope: FleetScope): ResultAsync<FactBatch, SourceError>;
    /** Waits up to `wait` for changes after a revision. */
    watch(scope: FleetScope, after: number, wait: Milliseconds): ResultAsync<FactBatch, SourceError>;
}
