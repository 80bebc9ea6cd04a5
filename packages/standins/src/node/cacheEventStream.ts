/**
 * Sends the engine stand-in's cache events as numbered server-sent events. They can be delayed and dropped.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { CacheEvent } from "./prefixBlockCache.js";

/** Options of {@link CacheEventStream}. */
export interface CacheEventStreamOptions {
    /** Delay of each event, in milliseconds. */
    readonly delayMilliseconds: number;
    /** Every N-th event is dropped; 0 drops none. */
    readonly dropEvery: number;
}

/** Sends each event to every subscriber. */
export class CacheEventStream {
    private readonly subscribers = new Set<ServerResponse>();
    private readonly pendingTimers = new Set<NodeJS.Timeout>();
    private sequence = 0;

    constructor(private readonly options: CacheEventStreamOptions, private readonly incarnation: string) {}

    /** Sends events to a client until it disconnects. */
    addSubscriber(response: ServerResponse): void {
        response.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-store" });
        response.flushHeaders();
        this.subscribers.add(response);
        response.once("close", () => this.subscribers.delete(response));
    }

    /** Numbers an event and sends it after the delay, or drops it. A dropped event leaves a gap in the numbers. */
    publish(event: CacheEvent): void {
        const sequence = ++this.sequence;
        const { dropEvery, delayMilliseconds } = this.options;
        if (dropEvery > 0 && sequence % dropEvery === 0) {
            return;
        }
        const data = JSON.stringify({ sequence, incarnation: this.incarnation, ...event });
        const timer = setTimeout(() => {
            this.pendingTimers.delete(timer);
            this.subscribers.forEach((subscriber) => subscriber.write(`id: ${sequence}\ndata: ${data}\n\n`));
        }, delayMilliseconds);
        this.pendingTimers.add(timer);
    }

    stop(): void {
        this.pendingTimers.forEach((timer) => clearTimeout(timer));
    }
}
