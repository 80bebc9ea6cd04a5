/**
 * The writer of one shard: collects what waits, commits it in one compare-and-swap on the shard's tail and settles
 * the calls. Any number of processes may write the same shard; each compare-and-swap names the revision that its
 * writer has folded, so one that has missed a write fails and catches up before it decides anything.
 *
 * @module
 */
import { CallOutcome, type Decision, type Milliseconds, RefusalReason } from "@redwingpin/common";
import type { StoreEntry, StoreError, SwapOutcome } from "@redwingpin/outside";
import {
    type BatchPlan,
    type PendingBegin,
    type PendingOutcome,
    planBatch,
    type SettledBegin,
} from "./batch.js";
import { type ClaimDecision } from "./claimCall.js";
import { encodeSegment, type SegmentHeader } from "./segment.js";
import { type ShardPlace, ShardState, slotKey } from "./shardState.js";

/** Bounds and times of a writer. */
export interface ShardWriterOptions {
    readonly place: ShardPlace;
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

/** What a writer asks for; each is resumed with the event of the same kind. */
export type ShardEffect =
    /** Work that has arrived; waits for some while `wait`. */
    | { readonly kind: "receive"; readonly wait: boolean; }
    | { readonly kind: "pause"; readonly duration: Milliseconds; }
    | { readonly kind: "load"; }
    | {
        readonly kind: "write";
        readonly key: string;
        readonly expected: number;
        readonly value: Uint8Array;
        /** Records that the write adds. */
        readonly recordCount: number;
    }
    | { readonly kind: "settle"; readonly token: string; readonly decision: ClaimDecision; }
    | { readonly kind: "report"; readonly message: string; };

/** What a writer is resumed with. */
export type ShardEvent =
    | { readonly kind: "received"; readonly work: ShardWork; }
    | { readonly kind: "loaded"; readonly entries: readonly StoreEntry[]; }
    | { readonly kind: "written"; readonly outcome: SwapOutcome; }
    | { readonly kind: "storeFailed"; readonly error: StoreError; }
    | { readonly kind: "done"; };

/** Work for a writer, with the times at which it was handed over. */
export interface ShardWork {
    readonly begins: readonly PendingBegin[];
    readonly outcomes: readonly PendingOutcome[];
    readonly now: Milliseconds;
    readonly wallTime: Milliseconds;
}

/** Segments kept free for the outcomes of calls that are already claimed. */
const segmentsForOutcomes = 1;

type Step<Outcome> = Decision<ShardEffect, ShardEvent, Outcome>;

/** Runs one shard for ever. */
export function* writeShard(options: ShardWriterOptions): Step<never> {
    const writer = new ShardWriter(options);
    while (true) {
        yield* writer.turn();
    }
}

class ShardWriter {
    private state: ShardState | undefined;
    private begins: PendingBegin[] = [];
    private outcomes: PendingOutcome[] = [];
    private doubtful = new Set<string>();
    /** Calls that waited when the state was last seen to be the store's. */
    private confirmed: ReadonlySet<string> = new Set();
    private failures = 0;
    private now: Milliseconds = 0;
    private wallTime: Milliseconds = 0;

    constructor(private readonly options: ShardWriterOptions) {}

    /** Takes in work and brings it one step further. */
    *turn(): Step<void> {
        yield* this.receive();
        yield* this.refuseOverdue();
        if (this.state === undefined) {
            yield* this.load();
            return;
        }
        const state = this.state;
        const plan = this.plan(state);
        const stale = plan.settled.filter((settled) => this.mayBeStale(settled));
        yield* this.settleAll(without(plan.settled, stale));
        this.outcomes = plan.records.length === 0 ? without(this.outcomes, plan.outcomes) : this.outcomes;
        if (plan.records.length > 0 || stale.length > 0) {
            yield* this.commit(state, plan);
        }
    }

    /**
     * A call that seems to run may have ended since: another process may have written its outcome. It is refused only
     * after a write to the tail, if need be one without records, has shown that nothing was missed.
     */
    private mayBeStale({ begin, decision }: SettledBegin): boolean {
        const seemsToRun = decision.kind === "refuse" && decision.reason === RefusalReason.CallInProgress;
        return seemsToRun && !this.confirmed.has(begin.token);
    }

    /** The state is that of the store, as of now: what waits may be decided from it. */
    private confirm(): void {
        this.confirmed = new Set(this.begins.map((begin) => begin.token));
    }

    private *receive(): Step<void> {
        const idle = this.begins.length === 0 && this.outcomes.length === 0;
        const event = yield { kind: "receive", wait: idle };
        if (event.kind !== "received") {
            throw unexpected(event);
        }
        this.outcomes.push(...event.work.outcomes);
        const concluded = new Set(event.work.outcomes.map((outcome) => outcome.token));
        this.begins = [...this.begins, ...event.work.begins].filter((begin) => !concluded.has(begin.token));
        this.outcomes.splice(0, this.outcomes.length - this.options.maximumPendingOutcomes);
        this.now = event.work.now;
        this.wallTime = event.work.wallTime;
    }

    private *refuseOverdue(): Step<void> {
        const overdue = this.begins.filter((begin) => begin.deadline <= this.now);
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
        const loaded = ShardState.load(this.options.place, event.entries);
        if (loaded.isErr()) {
            yield* this.backOff({ kind: "notApplied", message: loaded.error });
            return;
        }
        this.failures = 0;
        this.state = loaded.value;
        this.confirm();
    }

    private plan(state: ShardState): BatchPlan {
        const { maximumBatchBytes, maximumCallDuration, dispatchWindow } = this.options;
        return planBatch(state, this.begins, this.outcomes, {
            now: this.now,
            wallTime: this.wallTime,
            maximumBatchBytes,
            maximumCallDuration,
            dispatchWindow,
            hasRoom: this.hasRoom(state, openedByWrite(state) + segmentsForOutcomes),
            doubtful: this.doubtful,
        });
    }

    /** True where `segments` further segments can be opened without forgetting a claim before its time. */
    private hasRoom(state: ShardState, segments: number): boolean {
        for (let ahead = 1; ahead <= segments; ahead++) {
            const overwrittenAt = state.overwrittenAt(state.tail.sequence + ahead);
            const retained = overwrittenAt !== undefined
                && this.wallTime - overwrittenAt < this.options.minimumRetention;
            if (retained) {
                return false;
            }
        }
        return true;
    }

    private *commit(state: ShardState, plan: BatchPlan): Step<void> {
        if (!this.hasRoom(state, openedByWrite(state))) {
            yield { kind: "pause", duration: this.options.maximumStoreBackoff };
            return;
        }
        const sequence = state.tail.closed ? state.tail.sequence + 1 : state.tail.sequence;
        const encodedRecords = joinRecords(state, sequence, plan.encodedRecords);
        const header = this.nextHeader(sequence, encodedRecords.length);
        const value = encodeSegment(header, encodedRecords);
        const key = slotKey(this.options.place, sequence);
        const expected = state.expectedRevision(sequence);
        const event = yield { kind: "write", key, expected, value, recordCount: plan.records.length };
        if (event.kind === "storeFailed") {
            yield* this.noteFailedWrite(plan, event.error);
            return;
        }
        if (event.kind !== "written") {
            throw unexpected(event);
        }
        this.failures = 0;
        this.doubtful.clear();
        this.confirm();
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

    private *noteFailedWrite(plan: BatchPlan, error: StoreError): Step<void> {
        if (error.kind === "unknown") {
            plan.granted.forEach((settled) => this.doubtful.add(settled.begin.token));
        }
        yield* this.backOff(error);
    }

    /** Takes in what another writer wrote; what this one had sent before is settled by what is found there. */
    private *catchUp(state: ShardState, current: StoreEntry | undefined): Step<void> {
        const caughtUp = current === undefined ? undefined : state.catchUp(current);
        if (caughtUp === undefined || caughtUp.isErr() || !caughtUp.value) {
            const cause = caughtUp?.isErr() ? caughtUp.error : "another writer is far ahead";
            yield { kind: "report", message: `shard ${this.options.place.shard} is loaded again: ${cause}` };
            this.state = undefined;
        }
    }

    private *backOff(error: StoreError): Step<void> {
        this.failures++;
        if (this.failures >= this.options.failuresBeforeRefusal) {
            yield* this.refuse(this.begins);
        }
        yield { kind: "report", message: `store: ${error.message}` };
        const { minimumStoreBackoff, maximumStoreBackoff } = this.options;
        const duration = Math.min(maximumStoreBackoff, minimumStoreBackoff * 2 ** this.failures);
        yield { kind: "pause", duration };
    }

    private *refuse(begins: readonly PendingBegin[]): Step<void> {
        yield* this.settleAll(begins.map((begin) => ({ begin, decision: storeUnavailable })));
    }

    private *settleAll(all: BatchPlan["settled"]): Step<void> {
        this.begins = without(this.begins, all.map((settled) => settled.begin));
        for (const { begin, decision } of all) {
            yield { kind: "settle", token: begin.token, decision };
        }
    }
}

/** The refusal of a call whose claim could not be recorded. */
export const storeUnavailable: ClaimDecision = {
    kind: "refuse",
    reason: RefusalReason.ClaimStoreUnavailable,
    outcome: CallOutcome.NotRun,
};

/** Segments that the next write opens: one where the tail is closed, else none. */
function openedByWrite(state: ShardState): number {
    return state.tail.closed ? 1 : 0;
}

/** Records of the segment with this sequence after a write that adds some. */
function joinRecords(state: ShardState, sequence: number, added: readonly Uint8Array[]): Uint8Array {
    const grows = sequence === state.tail.sequence;
    return Buffer.concat(grows ? [state.tail.encodedRecords, ...added] : added);
}

function without<T>(all: readonly T[], removed: readonly T[]): T[] {
    const gone = new Set(removed);
    return all.filter((item) => !gone.has(item));
}

function unexpected(event: ShardEvent): Error {
    return new Error(`claims writer was resumed with an unexpected event "${event.kind}"`);
}
