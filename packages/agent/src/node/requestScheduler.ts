/**
 * Decides which waiting request runs next at the endpoint.
 *
 * @module
 */
import type { Clock } from "@redwingpin/common";
import type { RoutePriority } from "@redwingpin/manifest";
import { DeclineReason } from "@redwingpin/protocol";
import { err, ok, type Result } from "neverthrow";

/** A request that waits for its turn. */
export interface WaitingRequest {
    /** Name of the account; empty on open routes. */
    readonly account: string;
    readonly tokens: number;
    readonly priority: RoutePriority;
    /** Time of this agent's clock past which the request is not worth running. */
    readonly deadline: number;
    /** Called once, when the request may run. */
    readonly start: () => void;
    /** Called instead of `start` when the deadline passes first. */
    readonly expire: () => void;
}

/** Options of {@link RequestScheduler}. */
export interface RequestSchedulerOptions {
    readonly clock: Clock;
    readonly concurrency: number;
    readonly maxQueuedTokens: number;
}

/** Runs up to `concurrency` requests at once and queues the others. */
export class RequestScheduler {
    private waiting: WaitingRequest[] = [];
    private runningCount = 0;
    private waitingTokens = 0;

    constructor(private readonly options: RequestSchedulerOptions) {}

    /** Requests that run. */
    get running(): number {
        return this.runningCount;
    }

    /** Tokens that wait. */
    get queuedTokens(): number {
        return this.waitingTokens;
    }

    /** Queues a request, or refuses it where the queue is full. It may start before this returns. */
    submit(request: WaitingRequest): Result<void, DeclineReason> {
        if (this.waitingTokens + request.tokens > this.options.maxQueuedTokens && this.waiting.length > 0) {
            return err(DeclineReason.QueueFull);
        }
        this.waiting.push(request);
        this.waitingTokens += request.tokens;
        this.startNext();
        return ok(undefined);
    }

    /** Takes a request out of the queue. Returns false where it is no longer in it. */
    withdraw(request: WaitingRequest): boolean {
        const before = this.waiting.length;
        this.waiting = this.waiting.filter((other) => other !== request);
        if (this.waiting.length === before) {
            return false;
        }
        this.waitingTokens -= request.tokens;
        return true;
    }

    /** Says that a started request has ended. */
    finished(): void {
        this.runningCount--;
        this.startNext();
    }

    private startNext(): void {
        while (this.runningCount < this.options.concurrency && this.waiting.length > 0) {
            const next = this.waiting.shift()!;
            this.waitingTokens -= next.tokens;
            if (next.deadline <= this.options.clock.now()) {
                next.expire();
                continue;
            }
            this.runningCount++;
            next.start();
        }
    }
}
