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

/** What is kept, oldest first, and how many requests there were in all. */
export interface SeenReport {
    readonly total: number;
    readonly requests: readonly SeenRequest[];
}

const maximumKeptRequests = 2_000;
const maximumKeptCharacters = 64 * 1_048_576;

/** Keeps the latest requests. */
export class SeenRequests {
    private readonly requests: SeenRequest[] = [];
    private characters = 0;
    private count = 0;

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
        this.characters += seen.body.length;
        while (this.requests.length > maximumKeptRequests || this.characters > maximumKeptCharacters) {
            this.characters -= this.requests.shift()!.body.length;
        }
        return seen;
    }

    report(): SeenReport {
        return { total: this.count, requests: this.requests };
    }
}
