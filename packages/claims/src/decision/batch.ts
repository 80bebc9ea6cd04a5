/**
 * Plans one group commit: which waiting calls can be decided without a write, and which records one write must add.
 *
 * @module
 */
import { CallOutcome, type Milliseconds, type RefusalOutcome, RefusalReason } from "@redwingpin/common";
import { type CallIdentity, type Claim, type ClaimDecision } from "./claimCall.js";
import { type ClaimRecord, ClaimRecordKind, encodeRecord } from "./segment.js";
import { type ShardState, supersedes } from "./shardState.js";

/** A call that waits for its decision. */
export interface PendingCall {
    readonly identity: CallIdentity;
    /** Identifies the requested claim. */
    readonly token: string;
    /** Time on the writer's clock at which the caller stops waiting. */
    readonly deadline: Milliseconds;
}

/** The outcome of a claim, not yet written. */
export type PendingOutcome = Exclude<ClaimRecord, { readonly kind: ClaimRecordKind.Claimed; }>;

/** Limits and times used by {@link planBatch}. */
export interface BatchContext {
    readonly now: Milliseconds;
    readonly wallTime: Milliseconds;
    readonly maximumBatchBytes: number;
    readonly maximumCallDuration: Milliseconds;
    readonly dispatchWindow: Milliseconds;
    /** False if the ring is full. Calls that need a new claim are then refused. */
    readonly hasRoom: boolean;
    /** Tokens of claims that were sent to the store but not acknowledged: the claims may or may not be stored. */
    readonly uncertainTokens: ReadonlySet<string>;
}

/** A decision for one waiting call. */
export interface DecidedCall {
    readonly call: PendingCall;
    readonly decision: ClaimDecision;
}

export interface BatchPlan {
    /** Calls that are decided without a write. */
    readonly decided: readonly DecidedCall[];
    /** Calls that may be dispatched as soon as the records are committed. */
    readonly granted: readonly DecidedCall[];
    /** Outcomes that are contained in the records or need no record. */
    readonly outcomes: readonly PendingOutcome[];
    /** Records to append, in order. */
    readonly records: readonly ClaimRecord[];
    /** The records in encoded form. */
    readonly encodedRecords: readonly Uint8Array[];
}

/** Plans a batch from the waiting calls and outcomes. Records that do not fit are left for the next batch. */
export function planBatch(
    state: ShardState,
    calls: readonly PendingCall[],
    outcomes: readonly PendingOutcome[],
    context: BatchContext,
): BatchPlan {
    const batch = new Batch(state, context);
    outcomes.forEach((outcome) => batch.addOutcome(outcome));
    calls.forEach((call) => batch.addCall(call));
    return batch;
}

class Batch implements BatchPlan {
    readonly decided: DecidedCall[] = [];
    readonly granted: DecidedCall[] = [];
    readonly outcomes: PendingOutcome[] = [];
    readonly records: ClaimRecord[] = [];
    readonly encodedRecords: Uint8Array[] = [];
    private readonly added = new Map<string, ClaimRecord>();
    private bytes = 0;

    constructor(private readonly state: ShardState, private readonly context: BatchContext) {}

    addOutcome(outcome: PendingOutcome): void {
        if (!this.needsRecord(outcome) || this.add(outcome)) {
            this.outcomes.push(outcome);
        }
    }

    addCall(call: PendingCall): void {
        const decision = this.decide(call);
        if (decision.kind !== "run") {
            this.decided.push({ call, decision });
            return;
        }
        if (this.find(call.identity.key)?.token === call.token) {
            this.decided.push({ call, decision });
            return;
        }
        if (!this.context.hasRoom) {
            this.decided.push({ call, decision: ringFullRefusal });
            return;
        }
        const claimedAt = this.context.wallTime;
        const { key, content } = call.identity;
        if (this.add({ kind: ClaimRecordKind.Claimed, key, content, token: call.token, claimedAt })) {
            this.granted.push({ call, decision });
        }
    }

    private needsRecord(outcome: PendingOutcome): boolean {
        const known = this.find(outcome.key);
        const isClaimed = known?.token === outcome.token && known.kind !== outcome.kind
            && known.kind !== ClaimRecordKind.Finished;
        return isClaimed || this.context.uncertainTokens.has(outcome.token);
    }

    private decide(call: PendingCall): ClaimDecision {
        const known = this.find(call.identity.key);
        if (known === undefined || known.kind === ClaimRecordKind.NotRun) {
            return this.run(call);
        }
        if (known.content !== call.identity.content) {
            return refuse(RefusalReason.IdempotencyKeyReused, CallOutcome.NotRun);
        }
        switch (known.kind) {
            case ClaimRecordKind.Claimed:
                return known.token === call.token ? this.run(call) : this.refuseClaimed(known.claimedAt);
            case ClaimRecordKind.Finished:
                return known.answer === undefined
                    ? refuse(RefusalReason.OutcomeUnknown, CallOutcome.Unknown)
                    : { kind: "replay", answer: known.answer };
            case ClaimRecordKind.Unknown:
                return refuse(RefusalReason.OutcomeUnknown, CallOutcome.Unknown);
        }
    }

    private run(call: PendingCall): ClaimDecision {
        const dispatchBefore = this.context.now + this.context.dispatchWindow;
        const claim: Claim = { ...call.identity, token: call.token, dispatchBefore };
        return { kind: "run", claim };
    }

    private refuseClaimed(claimedAt: Milliseconds): ClaimDecision {
        const mayStillRun = this.context.wallTime - claimedAt < this.context.maximumCallDuration;
        const reason = mayStillRun ? RefusalReason.CallInProgress : RefusalReason.OutcomeUnknown;
        return refuse(reason, CallOutcome.Unknown);
    }

    private find(key: string): ClaimRecord | undefined {
        return this.added.get(key) ?? this.state.find(key);
    }

    private add(record: ClaimRecord): boolean {
        const encoded = encodeRecord(record);
        if (this.bytes + encoded.length > this.context.maximumBatchBytes) {
            return false;
        }
        this.bytes += encoded.length;
        this.records.push(record);
        this.encodedRecords.push(encoded);
        const known = this.find(record.key);
        if (known === undefined || supersedes(record, known)) {
            this.added.set(record.key, record);
        }
        return true;
    }
}

const ringFullRefusal = refuse(RefusalReason.ClaimStoreUnavailable, CallOutcome.NotRun);

function refuse(reason: RefusalReason, outcome: RefusalOutcome): ClaimDecision {
    return { kind: "refuse", reason, outcome };
}
