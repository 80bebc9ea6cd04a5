/**
 * A bounded record of the requests that a stand-in received, with every header and body.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";

/** One request as received. */
export interface SeenRequest {
    readonly number: number;
    readonly method: string;
    /** Path and query. */
    readonly path: string;
    /** Names and values in turn, as they came. */
    readonly headers: readonly string[];
    /** Names and values in turn of the trailer. */
    readonly trailers: readonly string[];
    readonly body: string;
}

/** Keeps the latest requests. */
export class SeenRequests {
    private readonly requests: SeenRequest[] = [];
    private count = 0;

    constructor(private readonly capacity: number) {}

    /** Adds a request whose body has been read. */
    add(request: IncomingMessage, body: Buffer): SeenRequest {
        const seen: SeenRequest = {
            number: this.count++,
            method: request.method ?? "",
            path: request.url ?? "",
            headers: request.rawHeaders,
            trailers: request.rawTrailers,
            body: body.toString("utf8"),
        };
        this.requests.push(seen);
        if (this.requests.length > this.capacity) {
            this.requests.shift();
        }
        return seen;
    }

    /** What is kept, oldest first, and how many there were in all. */
    report(): { total: number; requests: readonly SeenRequest[]; } {
        return { total: this.count, requests: this.requests };
    }
}
