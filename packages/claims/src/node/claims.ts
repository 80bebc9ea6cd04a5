/**
 * The claims of one process: forwards calls to the writers of their shards and waits for the decisions, with a timeout.
 *
 * @module
 */
import {
    CallOutcome,
    type Clock,
    digestOf,
    type Logger,
    type Milliseconds,
    RefusalReason,
    sleep,
} from "@redwingpin/common";
import type { KeyValueStore } from "@redwingpin/outside";
import type { ResultAsync } from "neverthrow";
import * as constants from "../constants.js";
import type { PendingCall, PendingOutcome } from "../decision/batch.js";
import {
    type CallAnswer,
    type Claim,
    type ClaimCall,
    type ClaimDecision,
    identifyCall,
    shardOf,
} from "../decision/claimCall.js";
import {
    type ClaimBegin,
    type ClaimConclude,
    ClaimMessageKind,
    type ClaimReply,
    type ClaimRequest,
    isAcknowledge,
    isClaimDecided,
    isClaimRequest,
} from "../decision/claimMessages.js";
import { ClaimRecordKind } from "../decision/segment.js";
import { type ShardWriterOptions, storeUnavailable } from "../decision/shardWriter.js";
import { ShardTask } from "./shardTask.js";

/** Selects the writers of shards and sends them messages. */
export interface ClaimPeers {
    /** Instance that writes a shard; this instance or `undefined` if this process writes the shard itself. */
    writerOf(shard: number): string | undefined;
    /** Sends a message on the claims topic; fails if no answer arrives in time. */
    ask(instance: string, message: ClaimRequest): ResultAsync<unknown, string>;
}

/** Options of {@link createClaims}. */
export interface ClaimsOptions {
    readonly clock: Clock;
    readonly instance: string;
    /** Unique for each start of the process. */
    readonly incarnation: string;
    readonly store: KeyValueStore;
    readonly logger: Logger;
    /**
     * Access to the other routers, which write some of the shards.
     * @default none; this process writes every shard that it needs
     */
    readonly peers?: ClaimPeers;
    /**
     * Number of shards over which claims are spread; must be the same in every process.
     * @default claimShardCount
     */
    readonly shards?: number;
    /**
     * Time that a call waits for its claim.
     * @default claimTimeout
     */
    readonly timeout?: Milliseconds;
    /** Limits that tests and experiments override. */
    readonly writer?: Partial<Omit<ShardWriterOptions, "location">> & { readonly slots?: number; };
}

/** Counters since the start of the process, for metrics. */
export interface ClaimsStatistics {
    /** Number of compare-and-swaps sent to the store. */
    readonly writes: number;
    /** Number of reads of whole shards. */
    readonly loads: number;
    /** Number of records that were sent with the writes. */
    readonly records: number;
    /** Number of bytes that were sent with the writes. */
    readonly bytes: number;
}

/** At-most-once execution of calls with an Idempotency-Key. */
export interface Claims {
    /** Decides what to do with a call; never fails. */
    begin(call: ClaimCall): Promise<ClaimDecision>;
    /** True while the call of a claim may be dispatched; to be checked right before the first byte is sent. */
    mayDispatch(claim: Claim): boolean;
    /** Stores the complete answer for replay. */
    finish(claim: Claim, answer: CallAnswer): void;
    /** Abandons a claim without an answer; `notRun` is true only if the call certainly did not and will not run. */
    abandon(claim: Claim, notRun: boolean): void;
    statistics(): ClaimsStatistics;
    /** Handles a message on the claims topic; returns `undefined` if it is malformed. */
    handle(body: unknown): Promise<ClaimReply | undefined>;
    /** Refuses new calls; resolves once the outcomes of earlier ones are written, or after {@link claimTimeout}. */
    stop(): Promise<void>;
}

/** Creates the claims of a process. */
export function createClaims(options: ClaimsOptions): Claims {
    return new ProcessClaims(options);
}

const tokenDigits = 12;

class ProcessClaims implements Claims {
    private readonly shards = new Map<number, ShardTask>();
    private readonly shardCount: number;
    private readonly tokenPrefix: string;
    private readonly pendingForwards = new Set<Promise<void>>();
    private tokenCount = 0;
    private isStopping = false;

    constructor(private readonly options: ClaimsOptions) {
        this.shardCount = options.shards ?? constants.claimShardCount;
        this.tokenPrefix = digestOf(options.instance, options.incarnation).slice(0, tokenDigits);
    }

    async begin(call: ClaimCall): Promise<ClaimDecision> {
        if (this.isStopping) {
            return { kind: "refuse", reason: RefusalReason.Stopping, outcome: CallOutcome.NotRun };
        }
        const identity = identifyCall(call, this.shardCount);
        const token = `${this.tokenPrefix}.${++this.tokenCount}`;
        const deadline = this.options.clock.now() + (this.options.timeout ?? constants.claimTimeout);
        const decision = await this.decide({ identity, token, deadline });
        if (decision.kind === "refuse" && decision.reason === RefusalReason.ClaimStoreUnavailable) {
            this.conclude({
                key: identity.key,
                content: identity.content,
                token,
                kind: ClaimRecordKind.NotRun,
            });
        }
        return decision;
    }

    async handle(body: unknown): Promise<ClaimReply | undefined> {
        if (!isClaimRequest(body, this.shardCount)) {
            return undefined;
        }
        if (body.kind === ClaimMessageKind.Conclude) {
            this.shard(body.shard).conclude(body.outcome);
            return { kind: ClaimMessageKind.Acknowledge };
        }
        const { identity, token } = body;
        const timeout = Math.min(body.timeout, constants.claimTimeout);
        const deadline = this.options.clock.now() + timeout;
        const decision = await this.shard(identity.shard).begin({ identity, token, deadline });
        return { kind: ClaimMessageKind.Decided, decision };
    }

    mayDispatch(claim: Claim): boolean {
        return this.options.clock.now() < claim.dispatchBefore;
    }

    finish(claim: Claim, answer: CallAnswer): void {
        const stored = answerBytes(answer) <= constants.maximumAnswerBytes ? answer : undefined;
        this.conclude({ ...recordBase(claim), kind: ClaimRecordKind.Finished, answer: stored });
    }

    abandon(claim: Claim, notRun: boolean): void {
        const kind = notRun ? ClaimRecordKind.NotRun : ClaimRecordKind.Unknown;
        this.conclude({ ...recordBase(claim), kind });
    }

    statistics(): ClaimsStatistics {
        const perShard = [...this.shards.values()].map((shard) => shard.statistics);
        const sum = (field: keyof ClaimsStatistics) =>
            perShard.reduce((total, statistics) => total + statistics[field], 0);
        return { writes: sum("writes"), loads: sum("loads"), records: sum("records"), bytes: sum("bytes") };
    }

    async stop(): Promise<void> {
        this.isStopping = true;
        const written = Promise.all(this.pendingForwards)
            .then(() => Promise.all([...this.shards.values()].map((shard) => shard.stop())));
        await Promise.race([written, sleep(this.options.clock, constants.claimTimeout)]);
    }

    private decide(call: PendingCall): Promise<ClaimDecision> {
        const { shard } = call.identity;
        const writer = this.writerOf(shard);
        if (writer === undefined) {
            return this.shard(shard).begin(call);
        }
        return new Promise((resolve) => {
            const remaining = call.deadline - this.options.clock.now();
            const cancelTimer = this.options.clock.schedule(remaining, () => resolve(storeUnavailable));
            void this.askWriter(writer, call).then((decision) => {
                cancelTimer();
                resolve(decision);
            });
        });
    }

    /** Asks the shard's writer; if it does not answer, this process writes the same claim itself. */
    private async askWriter(writer: string, call: PendingCall): Promise<ClaimDecision> {
        const { identity, token, deadline } = call;
        const { clock, peers } = this.options;
        const askedAt = clock.now();
        const message: ClaimBegin = {
            kind: ClaimMessageKind.Begin,
            identity,
            token,
            timeout: deadline - askedAt,
        };
        const reply = await peers!.ask(writer, message);
        if (reply.isErr() || !isClaimDecided(reply.value)) {
            return this.shard(identity.shard).begin(call);
        }
        const { decision } = reply.value;
        const dispatchBefore = askedAt + (this.options.writer?.dispatchWindow ?? constants.dispatchWindow);
        return decision.kind === "run"
            ? { kind: "run", claim: { ...identity, token, dispatchBefore } }
            : decision;
    }

    private conclude(outcome: PendingOutcome): void {
        const shard = shardOf(outcome.key, this.shardCount);
        const writer = this.writerOf(shard);
        if (writer === undefined) {
            this.shard(shard).conclude(outcome);
            return;
        }
        this.pendingForwards.add(this.forwardOutcome(writer, shard, outcome));
    }

    private forwardOutcome(writer: string, shard: number, outcome: PendingOutcome): Promise<void> {
        const message: ClaimConclude = { kind: ClaimMessageKind.Conclude, shard, outcome };
        const forwarded = Promise.resolve(this.options.peers!.ask(writer, message)).then((reply) => {
            if (reply.isErr() || !isAcknowledge(reply.value)) {
                this.shard(shard).conclude(outcome);
            }
            this.pendingForwards.delete(forwarded);
        });
        return forwarded;
    }

    private writerOf(shard: number): string | undefined {
        const writer = this.options.peers?.writerOf(shard);
        return writer === this.options.instance ? undefined : writer;
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
            writer: { ...defaultWriter, ...writer, location: { shard: number, slots } },
        });
        this.shards.set(number, task);
        return task;
    }
}

const defaultWriter: Omit<ShardWriterOptions, "location"> = {
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
