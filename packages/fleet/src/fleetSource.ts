/**
 * Interface to the store as the source of facts, which an adapter to a platform implements.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { ResultAsync } from "neverthrow";
import type { FleetFact } from "./decision/fleetState.js";

/** Parts of the store that are watched separately. */
export enum FleetScope {
    /** Records of operators: the configuration and the desired weights. */
    Operator = "operator",
    /** Registrations of endpoints. */
    Endpoints = "endpoints",
}

/** Why the store returned no facts. */
export type SourceError =
    /** The store no longer keeps the changes since the given revision: everything must be read again. */
    | { readonly kind: "historyGone"; readonly message: string; }
    /** The store was restored from a copy after the given revision: everything must be read again. */
    | { readonly kind: "restored"; readonly message: string; }
    /** No usable answer. */
    | { readonly kind: "unavailable"; readonly message: string; };

/** Facts, complete up to a revision of the store. Revisions are positions, see `storePosition.ts`. */
export interface FactBatch {
    readonly facts: readonly FleetFact[];
    readonly revision: number;
}

/** Reads and watches facts in a store. Each method makes as few calls to the store as possible. */
export interface FleetSource {
    /** Reads all facts in a scope. */
    read(scope: FleetScope): ResultAsync<FactBatch, SourceError>;
    /** Waits up to `wait` for changes after a revision; returns no facts if there are none. */
    watch(scope: FleetScope, after: number, wait: Milliseconds): ResultAsync<FactBatch, SourceError>;
}
