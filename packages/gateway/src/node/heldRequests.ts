/**
 * Holds requests for which no endpoint has room, one queue for each service, and starts them when room may have become free.
 *
 * @module
 */
import type { CancelTimer, Clock, Milliseconds } from "@redwingpin/common";
import {
    AccountWork,
    type HoldEnd,
    type HoldSettings,
    type WaitingRequest,
    WaitingRequests,
} from "@redwingpin/scheduling";

/** Interval at which room is looked for that other routers or the agents of endpoints have reported. */
const pollInterval: Milliseconds = 10;

/**
 * Minimum time between two searches, since each evaluates the endpoints for some requests. A wait that is over ends with
 * the next search.
 */
const minSearchInterval: Milliseconds = 5;

/** Share of the process's time that the searches for one service take at most. */
const maxSearchShare = 0.1;

/** Options of {@link HeldRequests}. */
export interface HeldRequestsOptions {
    readonly clock: Clock;
    readonly settings: () => HoldSettings;
}

interface ServiceQueue {
    readonly requests: WaitingRequests;
    /** The next search is not made before this time. */
    searchAt: Milliseconds;
    cancelTimer: CancelTimer | undefined;
}

/** The queues of one router. */
export class HeldRequests {
    /** Work that the accounts have received of the fleet. */
    readonly work = new AccountWork();
    private readonly queues = new Map<string, ServiceQueue>();

    constructor(private readonly options: HeldRequestsOptions) {}

    /** The current settings. */
    get settings(): HoldSettings {
        return this.options.settings();
    }

    /** Number of requests that wait. */
    get length(): number {
        return [...this.queues.values()].reduce((sum, { requests }) => sum + requests.length, 0);
    }

    /** Total size of the bodies of the requests that wait. */
    get bytes(): number {
        return [...this.queues.values()].reduce((sum, { requests }) => sum + requests.bytes, 0);
    }

    /** True if a request waits for the service, so that others have to join the queue. */
    isWaiting(service: string): boolean {
        return (this.queues.get(service)?.requests.length ?? 0) > 0;
    }

    /** Time until the requests that wait for the service have left. */
    expectedWait(service: string): Milliseconds {
        return this.queues.get(service)?.requests.expectedWait ?? 0;
    }

    /** Resolves when the request has left the queue. */
    hold(service: string, request: Omit<WaitingRequest, "settle">): Promise<HoldEnd> {
        const queue = this.queueOf(service);
        return new Promise((resolve) => {
            queue.requests.add({ ...request, settle: resolve }, this.options.clock.now());
            // There was no room for it just now, unless others wait before it.
            this.recordRoom(service);
        });
    }

    /** Records that an endpoint of the service may have room. */
    recordRoom(service: string): void {
        const queue = this.queues.get(service);
        if (queue === undefined || queue.requests.length === 0) {
            return;
        }
        const wait = queue.searchAt - this.options.clock.now();
        if (wait <= 0) {
            this.search(queue);
        }
        else {
            this.schedule(queue, wait);
        }
    }

    /** Ends all waits. */
    stop(): void {
        for (const queue of this.queues.values()) {
            queue.cancelTimer?.();
            queue.requests.stop();
        }
    }

    private queueOf(service: string): ServiceQueue {
        const known = this.queues.get(service);
        if (known !== undefined) {
            return known;
        }
        const queue = {
            requests: new WaitingRequests(this.work, () => this.settings.bounds),
            searchAt: -Infinity,
            cancelTimer: undefined,
        };
        this.queues.set(service, queue);
        return queue;
    }

    private search(queue: ServiceQueue): void {
        const { clock } = this.options;
        const start = clock.now();
        queue.requests.advance(start);
        const now = clock.now();
        queue.searchAt = now + Math.max(minSearchInterval, (now - start) / maxSearchShare);
        const endAt = queue.requests.nextEndAt();
        if (endAt === undefined) {
            queue.cancelTimer?.();
            queue.cancelTimer = undefined;
        }
        else {
            this.schedule(queue, Math.max(queue.searchAt - now, Math.min(pollInterval, endAt - now)));
        }
    }

    private schedule(queue: ServiceQueue, delay: Milliseconds): void {
        queue.cancelTimer?.();
        queue.cancelTimer = this.options.clock.schedule(delay, () => this.search(queue));
    }
}
