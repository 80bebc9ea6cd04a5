/**
 * Plans one group commit: which of the waiting calls can be decided at once, and which records one write must add.
 *
 * @module
 */
import { CallOutcome, type Milliseconds, type RefusalOutcome, RefusalReason } from "@redwingpin/common";
import { type CallIdentity, type Claim, type ClaimDecision } from "./claimCall.js";
import { type ClaimRecord, ClaimRecordKind, encodeRecord } from "./segment.js";
import { type ShardState, supersedes } from "./shardState.js";

/** A call that waits for its decision. */
export interface PendingBegin {
    readonly identity: CallIdentity;
    /** Names the claim that the call asks for. */
    readonly token: string;
    /** Time of the writer's clock after which nobody waits any more. */
    readonly deadline: Milliseconds;
}

/** What became of a claim, waiting to be written. */
export type PendingOutcome = Exclude<ClaimRecord, { readonly kind: ClaimRecordKind.Claimed; }>;

/** Bounds and times of a plan. */
export interface BatchContext {
    readonly now: Milliseconds;
    readonly wallTime: Milliseconds;
    readonly maximumBatchBytes: number;
    readonly maximumCallDuration: Milliseconds;
    readonly dispatchWindow: Milliseconds;
    /** False where the ring has no room: calls that need a new claim are refused. */
    readonly hasRoom: boolean;
    /** Tokens whose claim was sent to the store without an answer. */
    readonly doubtful: ReadonlySet<string>;
}

/** A decision for one waiting call. */
export interface SettledBegin {
    readonly begin: PendingBegin;
    readonly decision: ClaimDecision;
}

/** The outcome of planning. */
export interface BatchPlan {
    /** Decided without a write. */
    readonly settled: readonly SettledBegin[];
    /** Run once the records are committed. */
    readonly granted: readonly SettledBegin[];
    /** Outcomes that the records contain or that need no record. */
    readonly outcomes: readonly PendingOutcome[];
    /** Records to add, in order. */
    readonly records: readonly ClaimRecord[];
    /** The same records, encoded. */
    readonly encodedRecords: readonly Uint8Array[];
}

/** Plans a batch from what waits and what the shard remembers. What does not fit is left for the next batch. */
export function planBatch(
    state: ShardState,
    begins: readonly PendingBegin[],
    outcomes: readonly PendingOutcome[],
    context: BatchContext,
): BatchPlan {
    const batch = new Batch(state, context);
    outcomes.forEach((outcome) => batch.addOutcome(outcome));
    begins.forEach((begin) => batch.addBegin(begin));
    return batch;
}

class Batch implements BatchPlan {
    readonly settled: SettledBegin[] = [];
    readonly granted: SettledBegin[] = [];
    readonly outcomes: PendingOutcome[] = [];
    readonly records: ClaimRecord[] = [];
    readonly encodedRecords: Uint8Array[] = [];
    private readonly added = new Map<string, ClaimRecord>();
    private bytes = 0;

    constructor(private readonly state: ShardState, private readonly context: BatchContext) {}

    addOutcome(outcome: PendingOutcome): void {
        if (!this.isNews(outcome) || this.add(outcome)) {
            this.outcomes.push(outcome);
        }
    }

    addBegin(begin: PendingBegin): void {
        const decision = this.decide(begin);
        if (decision.kind !== "run") {
            this.settled.push({ begin, decision });
            return;
        }
        if (this.find(begin.identity.key)?.token === begin.token) {
            this.settled.push({ begin, decision });
            return;
        }
        if (!this.context.hasRoom) {
            this.settled.push({ begin, decision: refuseUnclaimed });
            return;
        }
        const claimedAt = this.context.wallTime;
        const { key, content } = begin.identity;
        if (this.add({ kind: ClaimRecordKind.Claimed, key, content, token: begin.token, claimedAt })) {
            this.granted.push({ begin, decision });
        }
    }

    private isNews(outcome: PendingOutcome): boolean {
        const known = this.find(outcome.key);
        const claimed = known?.token === outcome.token && known.kind !== outcome.kind
            && known.kind !== ClaimRecordKind.Finished;
        return claimed || this.context.doubtful.has(outcome.token);
    }

    private decide(begin: PendingBegin): ClaimDecision {
        const known = this.find(begin.identity.key);
        if (known === undefined || known.kind === ClaimRecordKind.NotRun) {
            return this.run(begin);
        }
        if (known.content !== begin.identity.content) {
            return refuse(RefusalReason.IdempotencyKeyReused, CallOutcome.NotRun);
        }
        switch (known.kind) {
            case ClaimRecordKind.Claimed:
                return known.token === begin.token ? this.run(begin) : this.refuseClaimed(known.claimedAt);
            case ClaimRecordKind.Finished:
                return known.answer === undefined
                    ? refuse(RefusalReason.OutcomeUnknown, CallOutcome.Unknown)
                    : { kind: "replay", answer: known.answer };
            case ClaimRecordKind.Unknown:
                return refuse(RefusalReason.OutcomeUnknown, CallOutcome.Unknown);
        }
    }

    private run(begin: PendingBegin): ClaimDecision {
        const dispatchBefore = this.context.now + this.context.dispatchWindow;
        const claim: Claim = { ...begin.identity, token: begin.token, dispatchBefore };
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

const refuseUnclaimed = refuse(RefusalReason.ClaimStoreUnavailable, CallOutcome.NotRun);

function refuse(reason: RefusalReason, outcome: RefusalOutcome): ClaimDecision {
    return { kind: "refuse", reason, outcome };
}
