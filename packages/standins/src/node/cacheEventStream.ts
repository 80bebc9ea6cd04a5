/**
 * The engine stand-in's cache events as server-sent events: numbered, late, and with gaps where so configured.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { CacheEvent } from "./prefixBlocks.js";

/** Options of {@link CacheEventStream}. */
export interface CacheEventStreamOptions {
    /** Time by which events are late, in milliseconds. */
    readonly lagMilliseconds: number;
    /** Every N-th event is lost; 0 loses none. */
    readonly loseEvery: number;
}

/** Sends each event to every listener. */
export class CacheEventStream {
    private readonly listeners = new Set<ServerResponse>();
    private readonly timers = new Set<NodeJS.Timeout>();
    private sequence = 0;

    constructor(private readonly options: CacheEventStreamOptions, private readonly incarnation: string) {}

    /** Adds a listener until it disconnects. */
    add(response: ServerResponse): void {
        response.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-store" });
        response.flushHeaders();
        this.listeners.add(response);
        response.once("close", () => this.listeners.delete(response));
    }

    /** Numbers an event and sends it later, or loses it. */
    publish(event: CacheEvent): void {
        const sequence = ++this.sequence;
        const { loseEvery, lagMilliseconds } = this.options;
        if (loseEvery > 0 && sequence % loseEvery === 0) {
            return;
        }
        const data = JSON.stringify({ sequence, incarnation: this.incarnation, ...event });
        const timer = setTimeout(() => {
            this.timers.delete(timer);
            this.listeners.forEach((listener) => listener.write(`id: ${sequence}\ndata: ${data}\n\n`));
        }, lagMilliseconds);
        this.timers.add(timer);
    }

    stop(): void {
        this.timers.forEach((timer) => clearTimeout(timer));
    }
}
