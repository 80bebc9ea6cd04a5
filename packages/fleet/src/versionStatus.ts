/**
 * Interface to the stored state of version rollouts, which an adapter to a platform implements.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { SourceError } from "./fleetSource.js";

/** State of a version rollout in the store. It only changes from running to one of the others. */
export enum VersionState {
    Running = "running",
    Completed = "completed",
    RolledBack = "rolledBack",
}

/** Stored state of the last order of a service. */
export interface VersionStatus {
    /** Revision of the order within its era. */
    readonly order: number;
    readonly to: string;
    readonly state: VersionState;
    /** Unix milliseconds at which the first process that wrote the state believes the order was given. */
    readonly startedAt: number;
    /** Process that decided. */
    readonly decidedBy: string;
}

/** A stored state with the revision of its record. */
export interface StoredVersionStatus {
    readonly status: VersionStatus | undefined;
    /** 0 if there is no record. */
    readonly revision: number;
}

/** Outcome of a conditional write. */
export type VersionWriteOutcome =
    | { readonly kind: "written"; readonly revision: number; }
    /** Nothing was written; `stored` is what the record holds instead. */
    | { readonly kind: "conflict"; readonly stored: StoredVersionStatus; };

/** Reads and writes the state of version rollouts. */
export interface VersionStatusStore {
    read(service: string): ResultAsync<StoredVersionStatus, SourceError>;
    /**
     * Writes the state if the record still has `expectedRevision` and the order is still the current one. After an error
     * the write may have been executed, or may be executed later if its condition still holds.
     */
    write(
        service: string,
        status: VersionStatus,
        expectedRevision: number,
    ): ResultAsync<VersionWriteOutcome, SourceError>;
}
