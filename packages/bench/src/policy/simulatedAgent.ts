/**
 * A simulated agent: the product's fair queue and endpoint model in front of a simulated engine. Cache events reach the
 * model with a delay, and some of them are lost.
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
import { SimulatedEngine } from "./simulatedEngine.js";
import { blockTokens, type Call } from "./workload.js";

/** Maximum number of requests that run in the engine at once. */
const maximumRunning = 16;

/** Maximum number of requests in the engine that have not produced their first token. */
const maximumUnanswered = 2;

const maximumQueuedRequests = 64;
const maximumQueuedTokens = 600_000;

/** Interval of the check for queued calls whose deadline has passed. */
const expiryPeriod: Milliseconds = 100;

/** Time until the agent detects that its engine has crashed or restarted. */
const healthCheckDelay: Milliseconds = 100;

/** How cache events reach the agent. */
export interface EventDelivery {
    readonly delay: Milliseconds;
    /** Probability that an event is lost, from 0 to 1. */
    readonly lossProbability: number;
}

/** Receives the events of calls at the agent. */
export interface AgentListener {
    onDecline(call: Call, reason: DeclineReason): void;
    onHead(call: Call, hitBlocks: number): void;
    onCompleted(call: Call): void;
    onFailed(call: Call): void;
}

/** Options of {@link SimulatedAgent}. */
export interface SimulatedAgentOptions {
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
export class SimulatedAgent {
    readonly engine: SimulatedEngine;
    private readonly queue = new FairQueue({
        maximumRunning,
        maximumUnanswered,
        maximumQueuedRequests,
        maximumQueuedTokens,
    });
    private readonly model: EndpointModel;
    private readonly calls = new Map<string, Call>();
    private readonly hitBlocksByCall = new Map<string, number>();
    private readonly callsInEngine = new Set<string>();
    private readonly answeredCalls = new Set<string>();
    private eventSequence = 0;

    constructor(private readonly options: SimulatedAgentOptions) {
        this.model = new EndpointModel({ maximumBlocks: options.cacheBlocks });
        this.engine = new SimulatedEngine(options.clock, options.cacheBlocks, {
            onPrefillStarted: (call, hitBlocks) => this.hitBlocksByCall.set(call.id, hitBlocks),
            onFirstToken: (call) => this.onFirstToken(call),
            onCompleted: (call) => this.onCompleted(call),
            onCacheChange: (change) => this.publishCacheChange(change),
        });
        this.model.onIncarnation(this.engine.incarnation);
        this.scheduleExpiry();
    }

    /** Queues a call from a router or declines it. */
    receive(call: Call): void {
        const now = this.options.clock.now();
        if (this.model.incarnation === undefined) {
            this.options.listener.onDecline(call, DeclineReason.EndpointDown);
            return;
        }
        this.queue.offer(this.createQueueEntry(call), now).match(
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

    /** Returns the status that the agent sends to routers. */
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

    /** Computes, from the exact state of the cache, the prompt tokens that the engine computes before a new call's. */
    exactPendingTokens(): number {
        const queued = [...this.calls.values()].filter((call) => !this.callsInEngine.has(call.id));
        return this.engine.remainingPrefillTokens
            + queued.reduce((sum, call) => sum + this.exactMissedTokens(call), 0);
    }

    /** Computes, from the exact state of the cache, the prompt tokens that the engine would compute for the call. */
    exactMissedTokens(call: Call): number {
        return call.promptTokens - this.engine.hitBlocks(call.blocks) * blockTokens;
    }

    /** Crashes the engine; it restarts with an empty cache after `downtime`. */
    crashEngine(downtime: Milliseconds): void {
        const interrupted = this.engine.crash();
        this.options.clock.schedule(healthCheckDelay, () => {
            this.model.onIncarnation(this.engine.incarnation);
            interrupted.forEach((call) => this.fail(call));
            this.declineQueued();
        });
        this.options.clock.schedule(downtime, () => this.engine.restart());
        this.options.clock.schedule(downtime + healthCheckDelay, () => {
            this.eventSequence = 0;
            this.model.onIncarnation(this.engine.incarnation);
            this.dispatch();
        });
    }

    private createQueueEntry(call: Call): QueueEntry {
        const hitBlocks = this.model.hitBlocks(call.blocks, this.options.clock.now());
        return {
            id: call.id,
            account: call.account,
            priority: call.priority,
            tokens: call.promptTokens - hitBlocks * blockTokens + call.outputTokens,
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
            this.callsInEngine.add(call.id);
            if (this.engine.incarnation === undefined) {
                this.options.clock.schedule(healthCheckDelay, () => this.fail(call));
            }
            else {
                this.engine.submit(call);
            }
        }
    }

    private onFirstToken(call: Call): void {
        const hitBlocks = this.hitBlocksByCall.get(call.id) ?? 0;
        this.queue.recordAnswered(call.id);
        this.model.removePendingPrompt(call.blocks);
        this.answeredCalls.add(call.id);
        this.model.onHit(this.engine.incarnation!, call.blocks, hitBlocks);
        this.model.onAnswered(this.engine.incarnation!, call.blocks);
        this.options.listener.onHead(call, hitBlocks);
        this.dispatch();
    }

    private onCompleted(call: Call): void {
        const hitBlocks = this.hitBlocksByCall.get(call.id) ?? 0;
        this.queue.finish(call.id, call.promptTokens - hitBlocks * blockTokens + call.outputTokens);
        this.removeCall(call.id);
        this.options.listener.onCompleted(call);
        this.dispatch();
    }

    private fail(call: Call): void {
        if (this.callsInEngine.has(call.id)) {
            this.queue.finish(call.id);
            this.removeCall(call.id);
            this.options.listener.onFailed(call);
        }
    }

    private decline(entry: QueueEntry, reason: DeclineReason): void {
        const call = this.calls.get(entry.id)!;
        this.removeCall(entry.id);
        this.options.listener.onDecline(call, reason);
    }

    private declineQueued(): void {
        for (const entry of this.queue.expire(Number.POSITIVE_INFINITY)) {
            this.decline(entry, DeclineReason.EndpointDown);
        }
    }

    private removeCall(id: string): void {
        if (!this.answeredCalls.delete(id)) {
            this.model.removePendingPrompt(this.calls.get(id)!.blocks);
        }
        this.calls.delete(id);
        this.hitBlocksByCall.delete(id);
        this.callsInEngine.delete(id);
    }

    private scheduleExpiry(): void {
        this.options.clock.schedule(expiryPeriod, () => {
            for (const entry of this.queue.expire(this.options.clock.now())) {
                this.decline(entry, DeclineReason.DeadlineExceeded);
            }
            this.scheduleExpiry();
        });
    }

    private publishCacheChange(change: CacheChange): void {
        this.publishCacheEvent(CacheEventKind.Removed, change.removed);
        this.publishCacheEvent(CacheEventKind.Stored, change.stored);
    }

    private publishCacheEvent(kind: CacheEventKind, blocks: readonly string[]): void {
        const incarnation = this.engine.incarnation;
        if (blocks.length === 0 || incarnation === undefined) {
            return;
        }
        const event: CacheEvent = { incarnation, sequence: ++this.eventSequence, kind, blocks };
        if (this.options.random.unit() >= this.options.events.lossProbability) {
            this.options.clock.schedule(
                this.options.events.delay,
                () => this.model.onCacheEvent(event, this.options.clock.now()),
            );
        }
    }
}
