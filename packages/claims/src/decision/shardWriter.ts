/**
 * The writer of one shard: collects waiting calls and outcomes, commits them in one compare-and-swap on the shard's
 * tail and settles the calls. Any number of processes may write the same shard. Each compare-and-swap expects the
 * revision that its writer has applied, so a writer that missed a write fails and catches up before it decides a call.
 *
 * @module
 */
import { CallOutcome, type Decision, type Milliseconds, RefusalReason } from "@redwingpin/common";
import type { StoreEntry, StoreError, SwapOutcome } from "@redwingpin/outside";
import {
    type BatchPlan,
    type DecidedCall,
    type PendingCall,
    type PendingOutcome,
    planBatch,
} from "./batch.js";
import { type ClaimDecision } from "./claimCall.js";
import { encodeSegment, type SegmentHeader } from "./segment.js";
import { type ShardLocation, ShardState, slotKey } from "./shardState.js";

/** Options of {@link writeShard}. */
export interface ShardWriterOptions {
    readonly location: ShardLocation;
    readonly segmentCloseBytes: number;
    readonly maximumBatchBytes: number;
    readonly minimumCommitInterval: Milliseconds;
    readonly minimumRetention: Milliseconds;
    readonly maximumCallDuration: Milliseconds;
    readonly dispatchWindow: Milliseconds;
    readonly minimumStoreBackoff: Milliseconds;
    readonly maximumStoreBackoff: Milliseconds;
    readonly failuresBeforeRefusal: number;
    readonly maximumPendingOutcomes: number;
}

/** An effect that the writer yields. */
export type ShardEffect =
    /** Takes the work that has arrived; waits for some if `wait` is true. */
    | { readonly kind: "receive"; readonly wait: boolean; }
    | { readonly kind: "pause"; readonly duration: Milliseconds; }
    | { readonly kind: "load"; }
    | {
        readonly kind: "write";
        readonly key: string;
        readonly expected: number;
        readonly value: Uint8Array;
        /** Number of records that the write adds. */
        readonly recordCount: number;
    }
    | { readonly kind: "settle"; readonly token: string; readonly decision: ClaimDecision; }
    | { readonly kind: "report"; readonly message: string; };

/** The event that resumes the writer after an effect. */
export type ShardEvent =
    | { readonly kind: "received"; readonly work: ShardWork; }
    | { readonly kind: "loaded"; readonly entries: readonly StoreEntry[]; }
    | { readonly kind: "written"; readonly outcome: SwapOutcome; }
    | { readonly kind: "storeFailed"; readonly error: StoreError; }
    | { readonly kind: "done"; };

/** Work for a writer, with the times at which the writer received it. */
export interface ShardWork {
    readonly calls: readonly PendingCall[];
    readonly outcomes: readonly PendingOutcome[];
    readonly now: Milliseconds;
    readonly wallTime: Milliseconds;
}

/** Number of segments reserved for the outcomes of calls that are already claimed. */
const segmentsReservedForOutcomes = 1;

type Step<Outcome> = Decision<ShardEffect, ShardEvent, Outcome>;

/** Writes one shard; never returns. */
export function* writeShard(options: ShardWriterOptions): Step<never> {
    const writer = new ShardWriter(options);
    while (true) {
        yield* writer.runOnce();
    }
}

class ShardWriter {
    private state: ShardState | undefined;
    private calls: PendingCall[] = [];
    private outcomes: PendingOutcome[] = [];
    private uncertainTokens = new Set<string>();
    /** Tokens of the calls that were waiting when the state was last known to equal the store's. */
    private confirmedTokens: ReadonlySet<string> = new Set();
    private failures = 0;
    private now: Milliseconds = 0;
    private wallTime: Milliseconds = 0;

    constructor(private readonly options: ShardWriterOptions) {}

    /** Receives new work, then loads the shard or plans and commits one batch. */
    *runOnce(): Step<void> {
        yield* this.receive();
        yield* this.refuseOverdue();
        if (this.state === undefined) {
            yield* this.load();
            return;
        }
        const state = this.state;
        const plan = this.plan(state);
        const stale = plan.decided.filter((decidedCall) => this.mayBeStale(decidedCall));
        yield* this.settleAll(without(plan.decided, stale));
        this.outcomes = plan.records.length === 0 ? without(this.outcomes, plan.outcomes) : this.outcomes;
        if (plan.records.length > 0 || stale.length > 0) {
            yield* this.commit(state, plan);
        }
    }

    /**
     * A call that seems to be in progress may have ended: another process may have written its outcome. The writer
     * refuses a repeated call only after a write to the tail, if necessary without records, has shown that it missed
     * no write.
     */
    private mayBeStale({ call, decision }: DecidedCall): boolean {
        const seemsInProgress = decision.kind === "refuse"
            && decision.reason === RefusalReason.CallInProgress;
        return seemsInProgress && !this.confirmedTokens.has(call.token);
    }

    /** Records that the state equals the store's now, so that the waiting calls may be decided from it. */
    private confirmState(): void {
        this.confirmedTokens = new Set(this.calls.map((call) => call.token));
    }

    private *receive(): Step<void> {
        const isIdle = this.calls.length === 0 && this.outcomes.length === 0;
        const event = yield { kind: "receive", wait: isIdle };
        if (event.kind !== "received") {
            throw unexpected(event);
        }
        this.outcomes.push(...event.work.outcomes);
        const concluded = new Set(event.work.outcomes.map((outcome) => outcome.token));
        this.calls = [...this.calls, ...event.work.calls].filter((call) => !concluded.has(call.token));
        this.outcomes.splice(0, this.outcomes.length - this.options.maximumPendingOutcomes);
        this.now = event.work.now;
        this.wallTime = event.work.wallTime;
    }

    private *refuseOverdue(): Step<void> {
        const overdue = this.calls.filter((call) => call.deadline <= this.now);
        yield* this.refuse(overdue);
    }

    private *load(): Step<void> {
        const event = yield { kind: "load" };
        if (event.kind === "storeFailed") {
            yield* this.backOff(event.error);
            return;
        }
        if (event.kind !== "loaded") {
            throw unexpected(event);
        }
        const loaded = ShardState.load(this.options.location, event.entries);
        if (loaded.isErr()) {
            yield* this.backOff({ kind: "notApplied", message: loaded.error });
            return;
        }
        this.failures = 0;
        this.state = loaded.value;
        this.confirmState();
    }

    private plan(state: ShardState): BatchPlan {
        const { maximumBatchBytes, maximumCallDuration, dispatchWindow } = this.options;
        return planBatch(state, this.calls, this.outcomes, {
            now: this.now,
            wallTime: this.wallTime,
            maximumBatchBytes,
            maximumCallDuration,
            dispatchWindow,
            hasRoom: this.hasRoom(state, segmentsOpenedByWrite(state) + segmentsReservedForOutcomes),
            uncertainTokens: this.uncertainTokens,
        });
    }

    /** True if `segments` further segments can be opened without overwriting a claim before its retention ends. */
    private hasRoom(state: ShardState, segments: number): boolean {
        for (let ahead = 1; ahead <= segments; ahead++) {
            const writtenAt = state.overwrittenSegmentWrittenAt(state.tail.sequence + ahead);
            const isRetained = writtenAt !== undefined
                && this.wallTime - writtenAt < this.options.minimumRetention;
            if (isRetained) {
                return false;
            }
        }
        return true;
    }

    private *commit(state: ShardState, plan: BatchPlan): Step<void> {
        if (!this.hasRoom(state, segmentsOpenedByWrite(state))) {
            yield { kind: "pause", duration: this.options.maximumStoreBackoff };
            return;
        }
        const sequence = state.tail.closed ? state.tail.sequence + 1 : state.tail.sequence;
        const encodedRecords = joinRecords(state, sequence, plan.encodedRecords);
        const header = this.nextHeader(sequence, encodedRecords.length);
        const value = encodeSegment(header, encodedRecords);
        const key = slotKey(this.options.location, sequence);
        const expected = state.expectedRevision(sequence);
        const event = yield { kind: "write", key, expected, value, recordCount: plan.records.length };
        if (event.kind === "storeFailed") {
            yield* this.handleFailedWrite(plan, event.error);
            return;
        }
        if (event.kind !== "written") {
            throw unexpected(event);
        }
        this.failures = 0;
        this.uncertainTokens.clear();
        this.confirmState();
        if (!event.outcome.swapped) {
            yield* this.catchUp(state, event.outcome.current);
            return;
        }
        state.append({ key, modRevision: event.outcome.modRevision, header, encodedRecords }, plan.records);
        this.outcomes = without(this.outcomes, plan.outcomes);
        yield* this.settleAll(plan.granted);
        yield { kind: "pause", duration: this.options.minimumCommitInterval };
    }

    private nextHeader(sequence: number, bytes: number): SegmentHeader {
        return { sequence, closed: bytes >= this.options.segmentCloseBytes, writtenAt: this.wallTime };
    }

    private *handleFailedWrite(plan: BatchPlan, error: StoreError): Step<void> {
        if (error.kind === "unknown") {
            plan.granted.forEach((granted) => this.uncertainTokens.add(granted.call.token));
        }
        yield* this.backOff(error);
    }

    /**
     * Applies the segment that another writer wrote. Its records also show whether earlier writes of this writer that
     * were not acknowledged took effect.
     */
    private *catchUp(state: ShardState, current: StoreEntry | undefined): Step<void> {
        const caughtUp = current === undefined ? undefined : state.catchUp(current);
        if (caughtUp === undefined || caughtUp.isErr() || !caughtUp.value) {
            const cause = caughtUp?.isErr() ? caughtUp.error : "another writer is several segments ahead";
            yield { kind: "report", message: `reloading shard ${this.options.location.shard}: ${cause}` };
            this.state = undefined;
        }
    }

    private *backOff(error: StoreError): Step<void> {
        this.failures++;
        if (this.failures >= this.options.failuresBeforeRefusal) {
            yield* this.refuse(this.calls);
        }
        yield { kind: "report", message: `store access failed: ${error.message}` };
        const { minimumStoreBackoff, maximumStoreBackoff } = this.options;
        const duration = Math.min(maximumStoreBackoff, minimumStoreBackoff * 2 ** this.failures);
        yield { kind: "pause", duration };
    }

    private *refuse(calls: readonly PendingCall[]): Step<void> {
        yield* this.settleAll(calls.map((call) => ({ call, decision: storeUnavailable })));
    }

    private *settleAll(decided: BatchPlan["decided"]): Step<void> {
        this.calls = without(this.calls, decided.map((decidedCall) => decidedCall.call));
        for (const { call, decision } of decided) {
            yield { kind: "settle", token: call.token, decision };
        }
    }
}

/** The refusal of a call whose claim could not be recorded. */
export const storeUnavailable: ClaimDecision = {
    kind: "refuse",
    reason: RefusalReason.ClaimStoreUnavailable,
    outcome: CallOutcome.NotRun,
};

/** Number of segments that the next write opens: 1 if the tail is closed, else 0. */
function segmentsOpenedByWrite(state: ShardState): number {
    return state.tail.closed ? 1 : 0;
}

/** Encoded records of the segment with this sequence, including those that the write adds. */
function joinRecords(state: ShardState, sequence: number, added: readonly Uint8Array[]): Uint8Array {
    const isTail = sequence === state.tail.sequence;
    return Buffer.concat(isTail ? [state.tail.encodedRecords, ...added] : added);
}

function without<T>(all: readonly T[], removed: readonly T[]): T[] {
    const removedItems = new Set(removed);
    return all.filter((item) => !removedItems.has(item));
}

function unexpected(event: ShardEvent): Error {
    return new Error(`shard writer was resumed with an unexpected event "${event.kind}"`);
}
