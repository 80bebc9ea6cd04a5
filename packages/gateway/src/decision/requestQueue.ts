/**
 * Queue of requests that have arrived completely. The event loop accepts one connection in each of its turns, so a turn
 * must not grow with the number of connections on which requests arrive: each turn serves requests for a few
 * milliseconds. While connections are being accepted, only some turns serve a request.
 *
 * First come, first served. A request whose caller has left or whose time limit has passed is not run, and one that
 * can't be served before its time limit is refused when it arrives.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import { type CallerWait, DeparturePace, reasonNotToServe, type WaitEnd } from "@redwingpin/scheduling";

/** Maximum time for which requests are served in a turn of the event loop. */
const sliceDuration: Milliseconds = 4;

/** While connections are being accepted, one request is served in this many turns. */
const turnsWhileAccepting = 4;

/** While connections are being accepted, one request is served after this time if turns are long. */
const maxPauseWhileAccepting: Milliseconds = 16;

/**
 * The end of a caller's connection can be read one turn after the request before it, so a request is served at the end
 * of the second turn at the earliest.
 */
const minTurns = 2;

/** Interval at which all requests are checked for callers that have left and time limits that have passed. */
const sweepInterval: Milliseconds = 20;

/** Longest time for one request that is counted in the average: a process that was stopped meanwhile is not slow. */
const maxServiceTime: Milliseconds = 100;

/** What happens to a request in the queue. */
export type Admission =
    | { readonly kind: "serve"; }
    | WaitEnd
    /** The time limit will pass before the requests ahead are served, which takes `retryAfter`. */
    | { readonly kind: "overloaded"; readonly retryAfter: Milliseconds; }
    /** The process ends. */
    | { readonly kind: "stopped"; };

/** A request in the queue. */
export interface QueuedRequest extends CallerWait {
    readonly settle: (admission: Admission) => void;
}

interface QueueEntry {
    readonly request: QueuedRequest;
    /** Number of the turn in which the request arrived. */
    readonly turn: number;
}

/** The queue; the caller reports the turns of the event loop. */
export class RequestQueue {
    private entries: QueueEntry[] = [];
    /** Index of the first entry that is still in the queue. */
    private first = 0;
    private turn = 0;
    private sliceEnd: Milliseconds = -Infinity;
    private isFirstOfSlice = false;
    /** Consecutive turns that accepted a connection and served no request. */
    private turnsWithoutRequest = 0;
    private lastServedAt: Milliseconds = -Infinity;
    private nextSweepAt: Milliseconds = -Infinity;
    /** Includes all other work of the process between two requests. */
    private readonly pace = new DeparturePace(maxServiceTime);

    /** Number of requests in the queue. */
    get length(): number {
        return this.entries.length - this.first;
    }

    /** Time until the requests in the queue are served, by the pace of the latest ones. */
    get expectedWait(): Milliseconds {
        return this.length * this.pace.interval;
    }

    /** Adds a request. It is settled immediately if it can't be served before its deadline. */
    add(request: QueuedRequest, now: Milliseconds): void {
        const { expectedWait } = this;
        if (now >= request.deadline) {
            request.settle({ kind: "expired" });
            return;
        }
        if (now + expectedWait > request.deadline) {
            request.settle({ kind: "overloaded", retryAfter: expectedWait });
            return;
        }
        this.entries.push({ request, turn: this.turn });
    }

    /** Begins to serve requests at the end of a turn; `acceptsConnections` if a connection was accepted in it. */
    beginSlice(now: Milliseconds, acceptsConnections: boolean): void {
        this.turn += 1;
        this.turnsWithoutRequest = acceptsConnections ? this.turnsWithoutRequest + 1 : turnsWhileAccepting;
        this.isFirstOfSlice = this.turnsWithoutRequest >= turnsWhileAccepting
            || now - this.lastServedAt >= maxPauseWhileAccepting;
        this.sliceEnd = acceptsConnections ? now : now + sliceDuration;
        if (now >= this.nextSweepAt) {
            this.nextSweepAt = now + sweepInterval;
            this.sweep(now);
        }
    }

    /** Settles the next request; false if none may be served in this turn any more. */
    settleNext(now: Milliseconds): boolean {
        const entry = this.entries.at(this.first);
        if (entry === undefined || entry.turn + minTurns > this.turn) {
            return false;
        }
        if (!this.isFirstOfSlice && now >= this.sliceEnd) {
            return false;
        }
        this.removeFirst();
        const { request } = entry;
        const reason = reasonNotToServe(request, now);
        if (reason === undefined) {
            this.isFirstOfSlice = false;
            this.turnsWithoutRequest = 0;
            this.lastServedAt = now;
            this.pace.record(this.length > 0, now);
        }
        request.settle(reason ?? { kind: "serve" });
        return true;
    }

    /** Settles all requests as not to be served. */
    stop(): void {
        const stopped = this.entries.slice(this.first);
        this.entries = [];
        this.first = 0;
        stopped.forEach(({ request }) => request.settle({ kind: "stopped" }));
    }

    /** Settles all requests that are not to be served any more. */
    private sweep(now: Milliseconds): void {
        const kept: QueueEntry[] = [];
        for (const entry of this.entries.slice(this.first)) {
            const reason = reasonNotToServe(entry.request, now);
            if (reason === undefined) {
                kept.push(entry);
            }
            else {
                entry.request.settle(reason);
            }
        }
        this.entries = kept;
        this.first = 0;
    }

    private removeFirst(): void {
        this.first += 1;
        // Removes the processed entries in batches, since each removal moves all the others.
        if (this.first * 2 >= this.entries.length) {
            this.entries = this.entries.slice(this.first);
            this.first = 0;
        }
    }
}
