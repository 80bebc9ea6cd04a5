/**
 * Starts waiting requests at the endpoint in the order of the fair queue.
 *
 * @module
 */
import type { CancelTimer, Clock, Milliseconds } from "@redwingpin/common";
import type { RoutePriority } from "@redwingpin/manifest";
import { DeclineReason } from "@redwingpin/protocol";
import { FairQueue, QueueRefusal, StartPace } from "@redwingpin/scheduling";
import { err, ok, type Result } from "neverthrow";

/** A request that waits in the queue. */
export interface WaitingRequest {
    /** Unique for each attempt. */
    readonly id: string;
    /** Name of the account; absent for callers without a key on open routes. */
    readonly account: string | undefined;
    /** Expected tokens of work of the request at the endpoint. */
    readonly tokens: number;
    readonly priority: RoutePriority;
    /** Time of this agent's clock at which the request times out. */
    readonly deadline: Milliseconds;
    /** Called once, when the request is to run. */
    readonly start: () => void;
    /** Called instead of `start` if the request doesn't run, because the queue is full or its deadline has passed. */
    readonly decline: (reason: DeclineReason) => void;
}

/** Options of {@link RequestScheduler}. */
export interface RequestSchedulerOptions {
    readonly clock: Clock;
    /** Maximum number of concurrent requests at the endpoint. */
    readonly concurrency: number;
    /** Maximum number of running requests whose answers have not begun. */
    readonly maxUnanswered: number;
    readonly maxQueuedRequests: number;
    readonly maxQueuedTokens: number;
}

/** Time between two checks for waiting requests whose deadline has passed. */
const expiryInterval: Milliseconds = 250;

/** Queues and starts the requests of one endpoint. */
export class RequestScheduler {
    private readonly queue: FairQueue;
    private readonly requests = new Map<string, WaitingRequest>();
    private pace = new StartPace();
    private cancelExpiry: CancelTimer | undefined;
    private cancelStart: CancelTimer | undefined;

    constructor(private readonly options: RequestSchedulerOptions) {
        this.queue = new FairQueue({
            maximumRunning: options.concurrency,
            maximumUnanswered: options.maxUnanswered,
            maximumQueuedRequests: options.maxQueuedRequests,
            maximumQueuedTokens: options.maxQueuedTokens,
        });
    }

    /** Number of running requests. */
    get running(): number {
        return this.queue.running;
    }

    /** Tokens of waiting requests and of running requests whose answers have not begun. */
    get pendingTokens(): number {
        return this.queue.queuedTokens + this.queue.unansweredTokens;
    }

    /** Queues a request or returns the reason for declining it. The request may start before this returns. */
    submit(request: WaitingRequest): Result<void, DeclineReason> {
        const accepted = this.queue.offer(request, this.options.clock.now());
        if (accepted.isErr()) {
            return err(toDeclineReason(accepted.error));
        }
        this.requests.set(request.id, request);
        for (const displaced of accepted.value.displaced) {
            this.decline(displaced.id, DeclineReason.QueueFull);
        }
        this.startNext();
        this.scheduleExpiry();
        return ok(undefined);
    }

    /** Removes a request from the queue. Returns false if it isn't waiting. */
    remove(id: string): boolean {
        const removed = this.queue.remove(id);
        if (removed) {
            this.requests.delete(id);
        }
        return removed;
    }

    /** Records that the answer to a running request has begun, so that the next one may start. */
    recordAnswered(id: string): void {
        this.queue.recordAnswered(id);
        this.startNext();
    }

    /** Records that a running request has ended. `spentTokens`, if known, corrects the charge to its account. */
    recordFinished(id: string, spentTokens?: number): void {
        this.queue.finish(id, spentTokens);
        this.startNext();
    }

    /** Starts at most this number of requests per second from now on; `undefined` for no limit. */
    setLimit(perSecond: number | undefined): void {
        this.pace.setLimit(perSecond, this.options.clock.now());
        this.startNext();
    }

    /** Starts no request before a time. */
    pauseUntil(time: Milliseconds): void {
        this.pace.pauseUntil(time);
    }

    /** Ends the limit and the pause. */
    resetPace(): void {
        this.pace = new StartPace();
        this.startNext();
    }

    private startNext(): void {
        const { clock } = this.options;
        while (this.pace.nextStartAt(clock.now()) <= clock.now()) {
            const entry = this.queue.take(clock.now());
            if (entry === undefined) {
                return;
            }
            this.pace.recordStart(clock.now());
            const request = this.requests.get(entry.id)!;
            this.requests.delete(entry.id);
            request.start();
        }
        this.scheduleStart();
    }

    /** Starts the next request once the pace allows it. */
    private scheduleStart(): void {
        if (this.cancelStart !== undefined || this.queue.queuedRequests === 0) {
            return;
        }
        const { clock } = this.options;
        const delay = this.pace.nextStartAt(clock.now()) - clock.now();
        this.cancelStart = clock.schedule(delay, () => {
            this.cancelStart = undefined;
            this.startNext();
        });
    }

    private scheduleExpiry(): void {
        if (this.cancelExpiry !== undefined || this.queue.queuedRequests === 0) {
            return;
        }
        this.cancelExpiry = this.options.clock.schedule(expiryInterval, () => {
            this.cancelExpiry = undefined;
            for (const expired of this.queue.expire(this.options.clock.now())) {
                this.decline(expired.id, DeclineReason.DeadlineExceeded);
            }
            this.scheduleExpiry();
        });
    }

    private decline(id: string, reason: DeclineReason): void {
        const request = this.requests.get(id);
        this.requests.delete(id);
        request?.decline(reason);
    }
}

function toDeclineReason(refusal: QueueRefusal): DeclineReason {
    switch (refusal) {
        case QueueRefusal.Full:
            return DeclineReason.QueueFull;
        case QueueRefusal.DeadlineExceeded:
            return DeclineReason.DeadlineExceeded;
        case QueueRefusal.Duplicate:
            return DeclineReason.Duplicate;
    }
}
