/**
 * The claims of one process: hands calls to the writers of their shards and waits, within a bound, for the decision.
 *
 * @module
 */
import {
    type Clock,
    digestOf,
    type Logger,
    type Milliseconds,
    RefusalReason,
    sleep,
} from "@redwingpin/common";
import type { KeyValueStore } from "@redwingpin/platform";
import * as constants from "../constants.js";
import type { PendingOutcome } from "../decision/batch.js";
import {
    type CallAnswer,
    CallOutcome,
    type Claim,
    type ClaimCall,
    type ClaimDecision,
    identifyCall,
    shardOf,
} from "../decision/claimCall.js";
import { ClaimRecordKind } from "../decision/segment.js";
import type { ShardWriterOptions } from "../decision/shardWriter.js";
import { ShardTask } from "./shardTask.js";

/** Options of {@link createClaims}. */
export interface ClaimsOptions {
    readonly clock: Clock;
    /** Name of this instance. */
    readonly instance: string;
    /** Differs at each start of the process. */
    readonly incarnation: string;
    readonly store: KeyValueStore;
    readonly logger: Logger;
    /**
     * Shards over which claims are spread; the same in every process.
     * @default claimShardCount
     */
    readonly shards?: number;
    /**
     * Time that a call waits for its claim, in milliseconds.
     * @default claimTimeout
     */
    readonly timeout?: Milliseconds;
    /** Bounds that tests and experiments set otherwise. */
    readonly writer?: Partial<Omit<ShardWriterOptions, "place">> & { readonly slots?: number; };
}

/** Numbers for metrics. */
export interface ClaimsStatistics {
    /** Compare-and-swaps sent to the store. */
    readonly writes: number;
    /** Reads of whole shards. */
    readonly loads: number;
    /** Records that were sent with the writes. */
    readonly records: number;
    /** Bytes that were sent with the writes. */
    readonly bytes: number;
}

/** At-most-once execution of calls with an Idempotency-Key. */
export interface Claims {
    /** Decides what to do with a call; never fails. */
    begin(call: ClaimCall): Promise<ClaimDecision>;
    /** True while the call of a claim may be dispatched; ask right before the first byte is sent. */
    mayDispatch(claim: Claim): boolean;
    /** Remembers the complete answer, for replay. */
    finish(claim: Claim, answer: CallAnswer): void;
    /** Gives a claim up without an answer; `notRun` only where the call certainly did not run and will not run. */
    abandon(claim: Claim, notRun: boolean): void;
    statistics(): ClaimsStatistics;
    /** Refuses new calls, and resolves once what became of the earlier ones is written or cannot be in time. */
    stop(): Promise<void>;
}

/** Makes the claims of a process. */
export function createClaims(options: ClaimsOptions): Claims {
    return new ProcessClaims(options);
}

const tokenDigits = 12;

class ProcessClaims implements Claims {
    private readonly shards = new Map<number, ShardTask>();
    private readonly shardCount: number;
    private readonly tokenPrefix: string;
    private tokens = 0;
    private stopping = false;

    constructor(private readonly options: ClaimsOptions) {
        this.shardCount = options.shards ?? constants.claimShardCount;
        this.tokenPrefix = digestOf(options.instance, options.incarnation).slice(0, tokenDigits);
    }

    async begin(call: ClaimCall): Promise<ClaimDecision> {
        if (this.stopping) {
            return { kind: "refuse", reason: RefusalReason.Stopping, outcome: CallOutcome.NotRun };
        }
        const identity = identifyCall(call, this.shardCount);
        const token = `${this.tokenPrefix}.${++this.tokens}`;
        const deadline = this.options.clock.now() + (this.options.timeout ?? constants.claimTimeout);
        const shard = this.shard(identity.shard);
        const decision = await shard.begin({ identity, token, deadline });
        if (decision.kind === "refuse" && decision.reason === RefusalReason.ClaimStoreUnavailable) {
            shard.conclude({ ...identity, token, kind: ClaimRecordKind.NotRun });
        }
        return decision;
    }

    mayDispatch(claim: Claim): boolean {
        return this.options.clock.now() < claim.dispatchBefore;
    }

    finish(claim: Claim, answer: CallAnswer): void {
        const kept = answerBytes(answer) <= constants.maximumAnswerBytes ? answer : undefined;
        this.conclude({ ...recordBase(claim), kind: ClaimRecordKind.Finished, answer: kept });
    }

    abandon(claim: Claim, notRun: boolean): void {
        const kind = notRun ? ClaimRecordKind.NotRun : ClaimRecordKind.Unknown;
        this.conclude({ ...recordBase(claim), kind });
    }

    statistics(): ClaimsStatistics {
        const all = [...this.shards.values()].map((shard) => shard.statistics);
        const sum = (field: keyof ClaimsStatistics) => all.reduce((total, one) => total + one[field], 0);
        return { writes: sum("writes"), loads: sum("loads"), records: sum("records"), bytes: sum("bytes") };
    }

    async stop(): Promise<void> {
        this.stopping = true;
        const written = Promise.all([...this.shards.values()].map((shard) => shard.stop()));
        await Promise.race([written, sleep(this.options.clock, constants.claimTimeout)]);
    }

    private conclude(outcome: PendingOutcome): void {
        this.shard(shardOf(outcome.key, this.shardCount)).conclude(outcome);
    }

    private shard(number: number): ShardTask {
        const known = this.shards.get(number);
        if (known !== undefined) {
            return known;
        }
        const { clock, store, logger, writer } = this.options;
        const slots = writer?.slots ?? constants.claimRingSlots;
        const task = new ShardTask({
            clock,
            store,
            logger: logger.scope("claims"),
            writer: { ...defaultWriter, ...writer, place: { shard: number, slots } },
        });
        this.shards.set(number, task);
        return task;
    }
}

const defaultWriter: Omit<ShardWriterOptions, "place"> = {
    segmentCloseBytes: constants.segmentCloseBytes,
    maximumBatchBytes: constants.maximumBatchBytes,
    minimumCommitInterval: constants.minimumCommitInterval,
    minimumRetention: constants.minimumRetention,
    maximumCallDuration: constants.maximumCallDuration,
    dispatchWindow: constants.dispatchWindow,
    minimumStoreBackoff: constants.minimumStoreBackoff,
    maximumStoreBackoff: constants.maximumStoreBackoff,
    failuresBeforeRefusal: constants.failuresBeforeRefusal,
    maximumPendingOutcomes: constants.maximumPendingOutcomes,
};

function recordBase(claim: Claim): Pick<Claim, "key" | "content" | "token"> {
    return { key: claim.key, content: claim.content, token: claim.token };
}

function answerBytes(answer: CallAnswer): number {
    const headerBytes = answer.headers.reduce(
        (sum, field) => sum + field.name.length + field.value.length,
        0,
    );
    return answer.body.length + headerBytes;
}
