/**
 * Serves the requests of a {@link RequestQueue} in slices, one at the end of each turn of the event loop.
 *
 * @module
 */
import type { Clock, Milliseconds } from "@redwingpin/common";
import type { IncomingMessage, ServerResponse } from "node:http";
import { type Admission, RequestQueue } from "../decision/requestQueue.js";

/** Runs the queue on the event loop. */
export class RequestTurns {
    private readonly queue = new RequestQueue();
    private isScheduled = false;
    private hasAcceptedConnection = false;

    constructor(private readonly clock: Clock) {}

    /** Number of requests that wait to be served. */
    get waiting(): number {
        return this.queue.length;
    }

    /** Records that a connection was accepted: others may wait for the next turn. */
    recordConnection(): void {
        this.hasAcceptedConnection = true;
    }

    /** Resolves when the request may be served, or with the reason for which it is not. */
    wait(request: IncomingMessage, response: ServerResponse, deadline: Milliseconds): Promise<Admission> {
        return new Promise((resolve) => {
            const hasCallerLeft = () => hasLeft(request, response);
            this.queue.add({ deadline, hasCallerLeft, settle: resolve }, this.clock.now());
            this.schedule();
        });
    }

    /** Refuses all requests that wait. */
    stop(): void {
        this.queue.stop();
    }

    private schedule(): void {
        if (!this.isScheduled && this.queue.length > 0) {
            this.isScheduled = true;
            setImmediate(() => this.beginSlice());
        }
    }

    private beginSlice(): void {
        this.queue.beginSlice(this.clock.now(), this.hasAcceptedConnection);
        this.hasAcceptedConnection = false;
        this.serveNext();
    }

    private serveNext(): void {
        if (this.queue.settleNext(this.clock.now())) {
            // Continues once all microtasks have run, and with them the request up to its first input or output.
            queueMicrotask(() => process.nextTick(() => this.serveNext()));
            return;
        }
        this.isScheduled = false;
        this.schedule();
    }
}

/** True once the caller's connection has closed, or its end was read: Node.js answers no request after that. */
export function hasLeft(request: IncomingMessage, response: ServerResponse): boolean {
    const { socket } = request;
    return response.destroyed || socket.destroyed || socket.readableEnded || socket.writableEnded;
}
