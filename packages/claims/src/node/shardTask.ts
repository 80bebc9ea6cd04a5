/**
 * The task of one shard: runs its writer against the store and settles the calls that wait.
 *
 * @module
 */
import { assertNever, type Clock, type Logger, runDecision, sleep } from "@redwingpin/common";
import type { KeyValueStore } from "@redwingpin/outside";
import type { PendingBegin, PendingOutcome } from "../decision/batch.js";
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

type Settle = (decision: ClaimDecision) => void;

/** Owns the state of one shard. */
export class ShardTask {
    readonly statistics = { writes: 0, loads: 0, records: 0, bytes: 0 };
    private readonly waiting = new Map<string, Settle>();
    private begins: PendingBegin[] = [];
    private outcomes: PendingOutcome[] = [];
    private wakeWriter: (() => void) | undefined;
    private notifyIdle: (() => void) | undefined;
    private running = false;

    constructor(private readonly options: ShardTaskOptions) {}

    /** Waits for the decision on a call, at most up to its deadline. */
    begin(begin: PendingBegin): Promise<ClaimDecision> {
        return new Promise((resolve) => {
            const delay = begin.deadline - this.options.clock.now();
            const cancelTimer = this.options.clock.schedule(
                delay,
                () => this.settle(begin.token, storeUnavailable),
            );
            this.waiting.set(begin.token, (decision) => {
                cancelTimer();
                resolve(decision);
            });
            this.begins.push(begin);
            this.wake();
        });
    }

    /** Hands over what became of a claim, to be written with the next commit. */
    conclude(outcome: PendingOutcome): void {
        this.outcomes.push(outcome);
        this.wake();
    }

    /** Resolves when nothing waits to be written any more. */
    stop(): Promise<void> {
        if (!this.running) {
            return Promise.resolve();
        }
        return new Promise((resolve) => {
            this.notifyIdle = resolve;
            this.wake();
        });
    }

    private wake(): void {
        if (!this.running) {
            this.running = true;
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
        while (wait && this.begins.length === 0 && this.outcomes.length === 0) {
            this.notifyIdle?.();
            await new Promise<void>((resolve) => {
                this.wakeWriter = resolve;
            });
        }
        const { begins, outcomes } = this;
        this.begins = [];
        this.outcomes = [];
        const { clock } = this.options;
        return { kind: "received", work: { begins, outcomes, now: clock.now(), wallTime: clock.wallTime() } };
    }

    private async load(): Promise<ShardEvent> {
        this.statistics.loads++;
        const loaded = await this.options.store.readPrefix(shardPrefix(this.options.writer.place.shard));
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
        const settle = this.waiting.get(token);
        this.waiting.delete(token);
        settle?.(decision);
    }
}
