/**
 * The task of one shard: runs the shard's writer against the store and resolves the waiting calls.
 *
 * @module
 */
import { assertNever, type Clock, type Logger, runDecision, sleep } from "@redwingpin/common";
import type { KeyValueStore } from "@redwingpin/outside";
import type { PendingCall, PendingOutcome } from "../decision/batch.js";
import type { ClaimDecision } from "../decision/claimCall.js";
import { shardPrefix } from "../decision/shardState.js";
import {
    type ShardEffect,
    type ShardEvent,
    type ShardWriterOptions,
    storeUnavailable,
    writeShard,
} from "../decision/shardWriter.js";

/** Options of {@link ShardTask}. */
export interface ShardTaskOptions {
    readonly clock: Clock;
    readonly store: KeyValueStore;
    readonly logger: Logger;
    readonly writer: ShardWriterOptions;
}

type ResolveCall = (decision: ClaimDecision) => void;

/** Runs the writer of one shard in this process. */
export class ShardTask {
    readonly statistics = { writes: 0, loads: 0, records: 0, bytes: 0 };
    private readonly resolversByToken = new Map<string, ResolveCall>();
    private pendingCalls: PendingCall[] = [];
    private pendingOutcomes: PendingOutcome[] = [];
    private wakeWriter: (() => void) | undefined;
    private notifyIdle: (() => void) | undefined;
    private isRunning = false;

    constructor(private readonly options: ShardTaskOptions) {}

    /** Resolves with the decision on a call; refuses the call at its deadline. */
    begin(call: PendingCall): Promise<ClaimDecision> {
        return new Promise((resolve) => {
            const delay = call.deadline - this.options.clock.now();
            const cancelTimer = this.options.clock.schedule(
                delay,
                () => this.settle(call.token, storeUnavailable),
            );
            this.resolversByToken.set(call.token, (decision) => {
                cancelTimer();
                resolve(decision);
            });
            this.pendingCalls.push(call);
            this.wake();
        });
    }

    /** Queues the outcome of a claim for the next commit. */
    conclude(outcome: PendingOutcome): void {
        this.pendingOutcomes.push(outcome);
        this.wake();
    }

    /** Resolves when no calls or outcomes wait to be written any more. */
    stop(): Promise<void> {
        if (!this.isRunning) {
            return Promise.resolve();
        }
        return new Promise((resolve) => {
            this.notifyIdle = resolve;
            this.wake();
        });
    }

    private wake(): void {
        if (!this.isRunning) {
            this.isRunning = true;
            void runDecision(writeShard(this.options.writer), (effect) => this.perform(effect));
        }
        this.wakeWriter?.();
        this.wakeWriter = undefined;
    }

    private async perform(effect: ShardEffect): Promise<ShardEvent> {
        switch (effect.kind) {
            case "receive":
                return await this.receive(effect.wait);
            case "pause":
                await sleep(this.options.clock, effect.duration);
                return { kind: "done" };
            case "load":
                return await this.load();
            case "write":
                return await this.write(effect);
            case "settle":
                this.settle(effect.token, effect.decision);
                return { kind: "done" };
            case "report":
                this.options.logger.warn(effect.message);
                return { kind: "done" };
            default:
                return assertNever(effect);
        }
    }

    private async receive(wait: boolean): Promise<ShardEvent> {
        while (wait && this.pendingCalls.length === 0 && this.pendingOutcomes.length === 0) {
            this.notifyIdle?.();
            await new Promise<void>((resolve) => {
                this.wakeWriter = resolve;
            });
        }
        const { pendingCalls, pendingOutcomes } = this;
        this.pendingCalls = [];
        this.pendingOutcomes = [];
        const { clock } = this.options;
        return {
            kind: "received",
            work: {
                calls: pendingCalls,
                outcomes: pendingOutcomes,
                now: clock.now(),
                wallTime: clock.wallTime(),
            },
        };
    }

    private async load(): Promise<ShardEvent> {
        this.statistics.loads++;
        const loaded = await this.options.store.readPrefix(shardPrefix(this.options.writer.location.shard));
        return loaded.match<ShardEvent>(
            (entries) => ({ kind: "loaded", entries }),
            (error) => ({ kind: "storeFailed", error }),
        );
    }

    private async write(effect: ShardEffect & { readonly kind: "write"; }): Promise<ShardEvent> {
        this.statistics.writes++;
        this.statistics.records += effect.recordCount;
        this.statistics.bytes += effect.value.length;
        const written = await this.options.store.compareAndSwap(effect.key, effect.expected, effect.value);
        return written.match<ShardEvent>(
            (outcome) => ({ kind: "written", outcome }),
            (error) => ({ kind: "storeFailed", error }),
        );
    }

    private settle(token: string, decision: ClaimDecision): void {
        const resolve = this.resolversByToken.get(token);
        this.resolversByToken.delete(token);
        resolve?.(decision);
    }
}
