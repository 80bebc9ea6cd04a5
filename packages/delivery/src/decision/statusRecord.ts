/**
 * Writes the state of a version rollout to the store: at most one call at a time, each with the condition that the record
 * is as last read. A write whose response is lost is repeated with the same condition, so that at most one of them is
 * executed, and the record tells which.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import {
    revisionOf,
    type StoredVersionStatus,
    VersionPhase,
    type VersionRollout,
    VersionState,
    type VersionStatus,
} from "@redwingpin/fleet";

/** A call to the store. */
export type StatusCall =
    | { readonly kind: "read"; }
    | { readonly kind: "write"; readonly status: VersionStatus; readonly expectedRevision: number; };

/** What the store holds of the current order. */
export interface StoredPhase {
    readonly phase: VersionPhase;
    readonly decidedBy: string;
    /** Unix milliseconds. */
    readonly startedAt: number;
}

const firstRetryDelay: Milliseconds = 150;
const maxRetryDelay: Milliseconds = 1_000;

/** The stored state of one service as a process knows it. */
export class StatusRecord {
    private stored: StoredVersionStatus | undefined;
    private isCalling = false;
    private retryAt: Milliseconds = -Infinity;
    private retryDelay = firstRetryDelay;

    /** The call to make next; `undefined` if there is none. `target` is the state to write, if one is due. */
    nextCall(
        target: VersionStatus | undefined,
        needsRead: boolean,
        now: Milliseconds,
    ): StatusCall | undefined {
        if (this.isCalling || now < this.retryAt || (target === undefined && !needsRead)) {
            return undefined;
        }
        const { stored } = this;
        if (stored === undefined || (needsRead && target === undefined)) {
            this.isCalling = true;
            return { kind: "read" };
        }
        if (target === undefined || isFinal(stored.status, target) || isSame(stored.status, target)) {
            return undefined;
        }
        this.isCalling = true;
        return { kind: "write", status: target, expectedRevision: stored.revision };
    }

    recordStored(stored: StoredVersionStatus): void {
        this.isCalling = false;
        this.retryDelay = firstRetryDelay;
        this.stored = stored;
    }

    /** A write was refused. What the record holds may not explain it, since the order may have been replaced. */
    recordConflict(stored: StoredVersionStatus, now: Milliseconds): void {
        this.recordFailure(now);
        this.stored = stored;
    }

    recordFailure(now: Milliseconds): void {
        this.isCalling = false;
        this.retryAt = now + this.retryDelay;
        this.retryDelay = Math.min(maxRetryDelay, this.retryDelay * 2);
    }

    /** Forgets the record, which may have changed: an order is new, or the store was restored from a copy. */
    forget(): void {
        this.stored = undefined;
    }

    /** What the store holds of an order; `undefined` if nothing is known or it holds the state of another order. */
    storedPhase(rollout: VersionRollout): StoredPhase | undefined {
        const status = this.stored?.status;
        if (
            status === undefined || status.order !== revisionOf(rollout.revision) || status.to !== rollout.to
        ) {
            return undefined;
        }
        return { phase: phaseOf(status.state), decidedBy: status.decidedBy, startedAt: status.startedAt };
    }

    /** True once the record was read since {@link forget}. */
    get isKnown(): boolean {
        return this.stored !== undefined;
    }
}

/** A state only changes from running. */
function isFinal(stored: VersionStatus | undefined, target: VersionStatus): boolean {
    return stored !== undefined && stored.order === target.order && stored.to === target.to
        && stored.state !== VersionState.Running;
}

function isSame(stored: VersionStatus | undefined, target: VersionStatus): boolean {
    return stored?.order === target.order && stored.to === target.to && stored.state === target.state;
}

function phaseOf(state: VersionState): VersionPhase {
    switch (state) {
        case VersionState.Running:
            return VersionPhase.Canary;
        case VersionState.RolledBack:
            return VersionPhase.RolledBack;
        case VersionState.Completed:
            return VersionPhase.Completed;
    }
}
