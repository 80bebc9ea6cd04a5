/**
 * The agent's side of the experiment: the product's fair queue and endpoint model before a fake engine whose cache
 * events come late and are partly lost.
 *
 * @module
 */
import type { Clock, Milliseconds, RandomSource } from "@redwingpin/common";
import { DeclineReason, type EndpointStatus, type WeightsReference } from "@redwingpin/protocol";
import {
    type CacheEvent,
    CacheEventKind,
    EndpointModel,
    FairQueue,
    type QueueEntry,
    QueueRefusal,
} from "@redwingpin/scheduling";
import type { CacheChange } from "./blockCache.js";
import { FakeEngine } from "./fakeEngine.js";
import { blockTokens, type Call } from "./workload.js";

/** Requests that may be in the engine at once. */
const maximumRunning = 16;

/** Requests in the engine that may wait for their first token. */
const maximumUnanswered = 2;

const maximumQueuedRequests = 64;
const maximumQueuedTokens = 600_000;

/** Time between looks for waiting calls whose callers have given up. */
const expiryPeriod: Milliseconds = 100;

/** Time in which the agent notices that its engine has crashed or come back. */
const healthCheckDelay: Milliseconds = 100;

/** How cache events reach the agent. */
export interface EventDelivery {
    readonly delay: Milliseconds;
    /** Part of the events that is lost. */
    readonly lost: number;
}

/** What the router side hears of a call. */
export interface AgentListener {
    onDecline(call: Call, reason: DeclineReason): void;
    onHead(call: Call, hitBlocks: number): void;
    onEnd(call: Call): void;
    onFailed(call: Call): void;
}

/** Options of {@link FakeAgent}. */
export interface FakeAgentOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly instance: string;
    readonly pool: string;
    readonly weights: WeightsReference;
    readonly cacheBlocks: number;
    readonly events: EventDelivery;
    readonly listener: AgentListener;
}

/** One agent with its engine. */
export class FakeAgent {
    readonly engine: FakeEngine;
    private readonly queue = new FairQueue({
        maximumRunning,
        maximumUnanswered,
        maximumQueuedRequests,
        maximumQueuedTokens,
    });
    private readonly model: EndpointModel;
    private readonly calls = new Map<string, Call>();
    private readonly hits = new Map<string, number>();
    private readonly inEngine = new Set<string>();
    private readonly answered = new Set<string>();
    private eventSequence = 0;

    constructor(private readonly options: FakeAgentOptions) {
        this.model = new EndpointModel({ maximumBlocks: options.cacheBlocks });
        this.engine = new FakeEngine(options.clock, options.cacheBlocks, {
            onPrefillStarted: (call, hitBlocks) => this.hits.set(call.id, hitBlocks),
            onFirstToken: (call) => this.onFirstToken(call),
            onCompleted: (call) => this.onCompleted(call),
            onCacheChange: (change) => this.publish(change),
        });
        this.model.onIncarnation(this.engine.incarnation);
        this.expireLater();
    }

    /** Takes a call from a router. */
    open(call: Call): void {
        const now = this.options.clock.now();
        if (this.model.incarnation === undefined) {
            this.options.listener.onDecline(call, DeclineReason.EndpointDown);
            return;
        }
        this.queue.offer(this.entryOf(call), now).match(
            ({ displaced }) => {
                this.calls.set(call.id, call);
                this.model.addPendingPrompt(call.blocks);
                displaced.forEach((entry) => this.decline(entry, DeclineReason.QueueFull));
                this.dispatch();
            },
            (refusal) =>
                this.options.listener.onDecline(
                    call,
                    refusal === QueueRefusal.DeadlineExceeded
                        ? DeclineReason.DeadlineExceeded
                        : DeclineReason.QueueFull,
                ),
        );
    }

    /** What the agent tells routers now. */
    status(): EndpointStatus {
        return {
            instance: this.options.instance,
            pool: this.options.pool,
            incarnation: this.model.incarnation,
            draining: false,
            weights: [this.options.weights],
            queuedTokens: this.queue.queuedTokens + this.queue.unansweredTokens,
            running: this.queue.running,
            tokensPerSecond: 0,
            heldPrefixes: this.model.heldPrefixes(this.options.clock.now()),
        };
    }

    /** Tokens of prefill that stand before a new call, exactly as the engine would compute them now. */
    exactPendingTokens(): number {
        const waiting = [...this.calls.values()].filter((call) => !this.inEngine.has(call.id));
        return this.engine.prefillLeft + waiting.reduce((sum, call) => sum + this.exactMissedTokens(call), 0);
    }

    /** Prompt tokens that the engine would compute for the call now. */
    exactMissedTokens(call: Call): number {
        return call.promptTokens - this.engine.hitBlocks(call.blocks) * blockTokens;
    }

    /** Crashes the engine; it comes back empty after `downtime`. */
    crashEngine(downtime: Milliseconds): void {
        const lost = this.engine.crash();
        this.options.clock.schedule(healthCheckDelay, () => {
            this.model.onIncarnation(this.engine.incarnation);
            lost.forEach((call) => this.fail(call));
            this.declineWaiting();
        });
        this.options.clock.schedule(downtime, () => this.engine.restart());
        this.options.clock.schedule(downtime + healthCheckDelay, () => {
            this.eventSequence = 0;
            this.model.onIncarnation(this.engine.incarnation);
            this.dispatch();
        });
    }

    private entryOf(call: Call): QueueEntry {
        const hit = this.model.hitBlocks(call.blocks, this.options.clock.now());
        return {
            id: call.id,
            account: call.account,
            priority: call.priority,
            tokens: call.promptTokens - hit * blockTokens + call.outputTokens,
            deadline: call.deadline,
        };
    }

    private dispatch(): void {
        if (this.model.incarnation === undefined) {
            return;
        }
        for (
            let entry = this.queue.take(this.options.clock.now());
            entry !== undefined;
            entry = this.queue.take(this.options.clock.now())
        ) {
            const call = this.calls.get(entry.id)!;
            this.inEngine.add(call.id);
            if (this.engine.incarnation === undefined) {
                this.options.clock.schedule(healthCheckDelay, () => this.fail(call));
            }
            else {
                this.engine.submit(call);
            }
        }
    }

    private onFirstToken(call: Call): void {
        const hit = this.hits.get(call.id) ?? 0;
        this.queue.recordAnswered(call.id);
        this.model.removePendingPrompt(call.blocks);
        this.answered.add(call.id);
        this.model.onHit(this.engine.incarnation!, call.blocks, hit);
        this.model.onAnswered(this.engine.incarnation!, call.blocks);
        this.options.listener.onHead(call, hit);
        this.dispatch();
    }

    private onCompleted(call: Call): void {
        const hit = this.hits.get(call.id) ?? 0;
        this.queue.finish(call.id, call.promptTokens - hit * blockTokens + call.outputTokens);
        this.forget(call.id);
        this.options.listener.onEnd(call);
        this.dispatch();
    }

    private fail(call: Call): void {
        if (this.inEngine.has(call.id)) {
            this.queue.finish(call.id);
            this.forget(call.id);
            this.options.listener.onFailed(call);
        }
    }

    private decline(entry: QueueEntry, reason: DeclineReason): void {
        const call = this.calls.get(entry.id)!;
        this.forget(entry.id);
        this.options.listener.onDecline(call, reason);
    }

    private declineWaiting(): void {
        for (const entry of this.queue.expire(Number.POSITIVE_INFINITY)) {
            this.decline(entry, DeclineReason.EndpointDown);
        }
    }

    private forget(id: string): void {
        if (!this.answered.delete(id)) {
            this.model.removePendingPrompt(this.calls.get(id)!.blocks);
        }
        this.calls.delete(id);
        this.hits.delete(id);
        this.inEngine.delete(id);
    }

    private expireLater(): void {
        this.options.clock.schedule(expiryPeriod, () => {
            for (const entry of this.queue.expire(this.options.clock.now())) {
                this.decline(entry, DeclineReason.DeadlineExceeded);
            }
            this.expireLater();
        });
    }

    private publish(change: CacheChange): void {
        this.publishOne(CacheEventKind.Removed, change.removed);
        this.publishOne(CacheEventKind.Stored, change.stored);
    }

    private publishOne(kind: CacheEventKind, blocks: readonly string[]): void {
        const incarnation = this.engine.incarnation;
        if (blocks.length === 0 || incarnation === undefined) {
            return;
        }
        const event: CacheEvent = { incarnation, sequence: ++this.eventSequence, kind, blocks };
        if (this.options.random.unit() >= this.options.events.lost) {
            this.options.clock.schedule(
                this.options.events.delay,
                () => this.model.onCacheEvent(event, this.options.clock.now()),
            );
        }
    }
}
