/**
 * Requests of one service for which no endpoint has room now. The order is: urgency, then the work that the account
 * has received, then the time limit. A request that needs more room than there is doesn't block those behind it.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { AccountWork } from "./accountWork.js";
import { type CallerWait, DeparturePace, reasonNotToServe, type WaitEnd } from "./requestWait.js";

/** Maximum number of requests that are tried without success each time that room may have become free. */
const maxFailedTries = 4;

/** Longest interval between departures that is counted in the pace. */
const maxDepartureInterval: Milliseconds = 1_000;

/** Bounds of {@link WaitingRequests}. */
export interface WaitingBounds {
    readonly requests: number;
    /** Total size of the requests' bodies. */
    readonly bytes: number;
}

/** Why a request has left the queue. */
export type HoldEnd =
    | WaitEnd
    /** An endpoint has room. */
    | { readonly kind: "start"; }
    /** The request has waited as long as it may. */
    | { readonly kind: "waited"; }
    /** The queue is full, and the request is last in the order. */
    | { readonly kind: "displaced"; }
    /** The time limit would pass before an answer could be complete. */
    | { readonly kind: "unreachable"; }
    /** The process ends. */
    | { readonly kind: "stopped"; };

/** A request that waits for room. */
export interface WaitingRequest extends CallerWait {
    /** Account; empty for callers without a key, who share one. */
    readonly account: string;
    readonly weight: number;
    /** 0 is the most urgent. */
    readonly urgency: number;
    /** Size of the body. */
    readonly bytes: number;
    /** Time until which the request waits. */
    readonly waitUntil: Milliseconds;
    /** Shortest time from the start to the end of the answer. */
    readonly minDuration: Milliseconds;
    /** Returns whether an endpoint has room for the request, and reserves the room. */
    readonly tryStart: (now: Milliseconds) => boolean;
    readonly settle: (end: HoldEnd) => void;
}

interface AccountLine {
    readonly account: string;
    /** By time limit. */
    readonly requests: WaitingRequest[];
}

/** The queue of one service. */
export class WaitingRequests {
    /** Lines of the accounts by urgency. */
    private readonly lines = new Map<number, Map<string, AccountLine>>();
    private readonly pace = new DeparturePace(maxDepartureInterval);
    private count = 0;
    private totalBytes = 0;

    constructor(private readonly work: AccountWork, private readonly bounds: () => WaitingBounds) {}

    /** Number of requests that wait. */
    get length(): number {
        return this.count;
    }

    /** Total size of the bodies of the requests that wait. */
    get bytes(): number {
        return this.totalBytes;
    }

    /** Time until all requests that wait now have left, by the pace of the latest ones. */
    get expectedWait(): Milliseconds {
        return this.count * this.pace.interval;
    }

    /** Adds a request. If the queue is full, the last in the order leaves, which may be the new one. */
    add(request: WaitingRequest, now: Milliseconds): void {
        const end = endOfWait(request, now);
        if (end !== undefined) {
            request.settle(end);
            return;
        }
        if (!this.hasAccount(request.account)) {
            this.work.lift(request.account, this.lowestOrder(now), now, request.weight);
        }
        this.insert(request);
        const { bytes, requests } = this.bounds();
        while (this.count > requests || this.totalBytes > bytes) {
            const last = this.last(now)!;
            this.remove(last);
            last.settle({ kind: "displaced" });
        }
    }

    /** Starts the requests for which there is room, in their order, and ends those that may not wait any longer. */
    advance(now: Milliseconds): void {
        this.sweep(now);
        const failed = new Set<WaitingRequest>();
        while (failed.size < maxFailedTries) {
            const request = this.next(failed, now);
            if (request === undefined) {
                return;
            }
            if (request.tryStart(now)) {
                this.remove(request);
                this.pace.record(this.count > 0, now);
                request.settle({ kind: "start" });
            }
            else {
                failed.add(request);
            }
        }
    }

    /** The next time at which a request may not wait any longer; `undefined` if none waits. */
    nextEndAt(): Milliseconds | undefined {
        let next: Milliseconds | undefined;
        for (const request of this.all()) {
            const end = Math.min(request.waitUntil, latestStart(request));
            next = next === undefined ? end : Math.min(next, end);
        }
        return next;
    }

    /** Removes all requests. */
    stop(): void {
        for (const request of [...this.all()]) {
            this.remove(request);
            request.settle({ kind: "stopped" });
        }
    }

    private sweep(now: Milliseconds): void {
        for (const request of [...this.all()]) {
            const end = endOfWait(request, now);
            if (end !== undefined) {
                this.remove(request);
                request.settle(end);
            }
        }
    }

    /** The first request in the order that is not in `except`. */
    private next(except: ReadonlySet<WaitingRequest>, now: Milliseconds): WaitingRequest | undefined {
        const urgencies = [...this.lines.keys()].sort((left, right) => left - right);
        for (const urgency of urgencies) {
            let best: WaitingRequest | undefined;
            let bestOrder = Infinity;
            for (const { account, requests } of this.lines.get(urgency)!.values()) {
                const first = requests.find((request) => !except.has(request));
                const order = this.work.order(account, now);
                if (
                    first !== undefined && (best === undefined || order < bestOrder
                        || (order === bestOrder && first.deadline < best.deadline))
                ) {
                    best = first;
                    bestOrder = order;
                }
            }
            if (best !== undefined) {
                return best;
            }
        }
        return undefined;
    }

    /** The last request in the order. */
    private last(now: Milliseconds): WaitingRequest | undefined {
        const lines = this.lines.get(Math.max(...this.lines.keys()));
        let last: WaitingRequest | undefined;
        let lastOrder = -Infinity;
        for (const { account, requests } of lines?.values() ?? []) {
            const order = this.work.order(account, now);
            if (order >= lastOrder) {
                last = requests.at(-1);
                lastOrder = order;
            }
        }
        return last;
    }

    private lowestOrder(now: Milliseconds): number {
        let lowest = Infinity;
        for (const lines of this.lines.values()) {
            for (const account of lines.keys()) {
                lowest = Math.min(lowest, this.work.order(account, now));
            }
        }
        return Number.isFinite(lowest) ? lowest : 0;
    }

    private hasAccount(account: string): boolean {
        return [...this.lines.values()].some((lines) => lines.has(account));
    }

    private insert(request: WaitingRequest): void {
        const { account, urgency } = request;
        const lines = this.lines.get(urgency) ?? new Map<string, AccountLine>();
        this.lines.set(urgency, lines);
        const line = lines.get(account) ?? { account, requests: [] };
        lines.set(account, line);
        const index = line.requests.findIndex((other) => other.deadline > request.deadline);
        line.requests.splice(index < 0 ? line.requests.length : index, 0, request);
        this.count += 1;
        this.totalBytes += request.bytes;
    }

    private remove(request: WaitingRequest): void {
        const { account, urgency } = request;
        const lines = this.lines.get(urgency)!;
        const { requests } = lines.get(account)!;
        requests.splice(requests.indexOf(request), 1);
        if (requests.length === 0) {
            lines.delete(account);
        }
        if (lines.size === 0) {
            this.lines.delete(urgency);
        }
        this.count -= 1;
        this.totalBytes -= request.bytes;
    }

    private *all(): Iterable<WaitingRequest> {
        for (const lines of this.lines.values()) {
            for (const { requests } of lines.values()) {
                yield* requests;
            }
        }
    }
}

/** The latest time at which a request can start and still be answered before its deadline. */
function latestStart({ deadline, minDuration }: WaitingRequest): Milliseconds {
    return deadline - minDuration;
}

function endOfWait(request: WaitingRequest, now: Milliseconds): HoldEnd | undefined {
    const end = reasonNotToServe(request, now);
    if (end !== undefined) {
        return end;
    }
    if (now >= latestStart(request)) {
        return { kind: "unreachable" };
    }
    return now >= request.waitUntil ? { kind: "waited" } : undefined;
}
