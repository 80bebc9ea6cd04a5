/**
 * Records the latest requests that a stand-in received, with all headers and bodies.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";

/** A recorded request. */
export interface RecordedRequest {
    /** Number in order of arrival, from 0. */
    readonly number: number;
    readonly method: string;
    /** Path and query. */
    readonly path: string;
    /** Names and values, alternating, as received. */
    readonly headers: readonly string[];
    /** Names and values of the trailers, alternating. */
    readonly trailers: readonly string[];
    readonly body: string;
}

/** The recorded requests, oldest first, and the number of all requests received. */
export interface RequestLogReport {
    readonly total: number;
    readonly requests: readonly RecordedRequest[];
}

const maximumRequests = 2_000;
const maximumCharacters = 64 * 1_048_576;

/** Keeps the latest requests, up to a maximum number and size. */
export class RequestLog {
    private readonly requests: RecordedRequest[] = [];
    private characterCount = 0;
    private requestCount = 0;

    /** Adds a request whose body has been read. */
    add(request: IncomingMessage, body: Buffer): RecordedRequest {
        const recorded: RecordedRequest = {
            number: this.requestCount++,
            method: request.method ?? "",
            path: request.url ?? "",
            headers: request.rawHeaders,
            trailers: request.rawTrailers,
            body: body.toString("utf8"),
        };
        this.requests.push(recorded);
        this.characterCount += recorded.body.length;
        while (this.requests.length > maximumRequests || this.characterCount > maximumCharacters) {
            this.characterCount -= this.requests.shift()!.body.length;
        }
        return recorded;
    }

    report(): RequestLogReport {
        return { total: this.requestCount, requests: this.requests };
    }
}
