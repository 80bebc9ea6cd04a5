/**
 * Decides which waiting request runs next at the endpoint: carries out the decisions of the fair queue.
 *
 * @module
 */
import type { CancelTimer, Clock, Milliseconds } from "@redwingpin/common";
import type { RoutePriority } from "@redwingpin/manifest";
import { DeclineReason } from "@redwingpin/protocol";
import { FairQueue, QueueRefusal } from "@redwingpin/scheduling";
import { err, ok, type Result } from "neverthrow";

/** A request that waits for its turn. */
export interface WaitingRequest {
    /** Differs for each attempt. */
    readonly id: string;
    /** Name of the account; absent on open routes without a key. */
    readonly account: string | undefined;
    /** Tokens of work that the endpoint is expected to spend on it. */
    readonly tokens: number;
    readonly priority: RoutePriority;
    /** Time of this agent's clock past which the request is not worth running. */
    readonly deadline: Milliseconds;
    /** Called once, when the request may run. */
    readonly start: () => void;
    /** Called in place of `start` where the request leaves the queue without having run. */
    readonly refuse: (reason: DeclineReason) => void;
}

/** Options of {@link RequestScheduler}. */
export interface RequestSchedulerOptions {
    readonly clock: Clock;
    /** Requests that run at the endpoint at once. */
    readonly concurrency: number;
    /** Requests that run and have not begun to answer. */
    readonly maxUnanswered: number;
    readonly maxQueuedRequests: number;
    readonly maxQueuedTokens: number;
}

/** Time between two looks for requests whose deadline has passed while they wait. */
const expiryInterval: Milliseconds = 250;

/** Starts requests in the order of the fair queue. */
export class RequestScheduler {
    private readonly queue: FairQueue;
    private readonly requests = new Map<string, WaitingRequest>();
    private cancelExpiry: CancelTimer | undefined;

    constructor(private readonly options: RequestSchedulerOptions) {
        this.queue = new FairQueue({
            maximumRunning: options.concurrency,
            maximumUnanswered: options.maxUnanswered,
            maximumQueuedRequests: options.maxQueuedRequests,
            maximumQueuedTokens: options.maxQueuedTokens,
        });
    }

    /** Requests that run. */
    get running(): number {
        return this.queue.running;
    }

    /** Tokens that wait, or run and have not begun to answer. */
    get pendingTokens(): number {
        return this.queue.queuedTokens + this.queue.unansweredTokens;
    }

    /** Queues a request, or says why not. It may start before this returns. */
    submit(request: WaitingRequest): Result<void, DeclineReason> {
        const offered = this.queue.offer(request, this.options.clock.now());
        if (offered.isErr()) {
            return err(declineReasonOf(offered.error));
        }
        this.requests.set(request.id, request);
        for (const displaced of offered.value.displaced) {
            this.refuse(displaced.id, DeclineReason.QueueFull);
        }
        this.startNext();
        this.watchExpiry();
        return ok(undefined);
    }

    /** Takes a request out of the queue. Returns false where it no longer waits. */
    withdraw(id: string): boolean {
        const removed = this.queue.remove(id);
        if (removed) {
            this.requests.delete(id);
        }
        return removed;
    }

    /** Says that a started request has begun to answer, so that the next one may start. */
    answered(id: string): void {
        this.queue.answered(id);
        this.startNext();
    }

    /** Says that a started request has ended; `spentTokens` corrects what its account is charged, where known. */
    finished(id: string, spentTokens?: number): void {
        this.queue.finish(id, spentTokens);
        this.startNext();
    }

    private startNext(): void {
        for (
            let entry = this.queue.take(this.options.clock.now());
            entry !== undefined;
            entry = this.queue.take(this.options.clock.now())
        ) {
            const request = this.requests.get(entry.id)!;
            this.requests.delete(entry.id);
            request.start();
        }
    }

    private watchExpiry(): void {
        if (this.cancelExpiry !== undefined || this.queue.queuedRequests === 0) {
            return;
        }
        this.cancelExpiry = this.options.clock.schedule(expiryInterval, () => {
            this.cancelExpiry = undefined;
            for (const expired of this.queue.expire(this.options.clock.now())) {
                this.refuse(expired.id, DeclineReason.DeadlineExceeded);
            }
            this.watchExpiry();
        });
    }

    private refuse(id: string, reason: DeclineReason): void {
        const request = this.requests.get(id);
        this.requests.delete(id);
        request?.refuse(reason);
    }
}

function declineReasonOf(refusal: QueueRefusal): DeclineReason {
    switch (refusal) {
        case QueueRefusal.Full:
            return DeclineReason.QueueFull;
        case QueueRefusal.DeadlineExceeded:
            return DeclineReason.DeadlineExceeded;
        case QueueRefusal.Duplicate:
            return DeclineReason.Duplicate;
    }
}
