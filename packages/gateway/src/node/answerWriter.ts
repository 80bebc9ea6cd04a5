/**
 * Writes answers to a caller: whole answers and streams of endpoints, and the gateway's own refusals.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import {
    type IncomingMessage,
    type ServerResponse,
    validateHeaderName,
    validateHeaderValue,
} from "node:http";
import type { RawHeaders } from "../headerCodec.js";

/** Hop-by-hop header fields. */
const hopByHopHeaders: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

const lengthHeader = "content-length";
const noContentStatus = 204;

const millisecondsPerSecond = 1_000;

/** Removes hop-by-hop fields, including those that the `Connection` field lists. */
export function endToEndHeaders(raw: RawHeaders): string[] {
    const dropped = new Set(hopByHopHeaders);
    for (let index = 0; index < raw.length; index += 2) {
        if (raw[index].toLowerCase() === "connection") {
            raw[index + 1].split(",").forEach((name) => dropped.add(name.trim().toLowerCase()));
        }
    }
    const kept: string[] = [];
    for (let index = 0; index < raw.length; index += 2) {
        if (!dropped.has(raw[index].toLowerCase())) {
            kept.push(raw[index], raw[index + 1]);
        }
    }
    return kept;
}

/** Value of a header field, or `undefined`. */
export function headerValue(raw: RawHeaders, name: string): string | undefined {
    for (let index = 0; index < raw.length; index += 2) {
        if (raw[index].toLowerCase() === name) {
            return raw[index + 1];
        }
    }
    return undefined;
}

/**
 * Name of the first field that HTTP does not allow, quoted; `undefined` if there is none. The HTTP parser accepts fields
 * that `appendHeader` throws for.
 */
export function findInvalidField(raw: RawHeaders): string | undefined {
    for (let index = 0; index < raw.length; index += 2) {
        try {
            validateHeaderName(raw[index]);
            validateHeaderValue(raw[index], raw[index + 1]);
        }
        catch {
            return JSON.stringify(raw[index]);
        }
    }
    return undefined;
}

/** Formats a duration as seconds with at most two decimals, rounded up. */
export function retryAfterSeconds(duration: Milliseconds): string {
    const hundredths = Math.ceil(Math.max(0, duration) * 100 / millisecondsPerSecond);
    return String(hundredths / 100);
}

/** An answer that the gateway creates itself. */
export interface OwnAnswer {
    readonly status: number;
    readonly code: string;
    readonly message: string;
    readonly retryAfter?: Milliseconds;
    readonly headers: Readonly<Record<string, string>>;
}

/**
 * Sends an answer of the gateway itself, unless the caller disconnected or already received the head of an answer.
 * `end` is called instead of ending the answer immediately.
 */
export function writeOwnAnswer(response: ServerResponse, answer: OwnAnswer, end?: () => void): void {
    if (response.headersSent || response.destroyed) {
        return;
    }
    const body = JSON.stringify({ error: { code: answer.code, message: answer.message } });
    const retryAfter = answer.retryAfter === undefined
        ? {}
        : { "retry-after": retryAfterSeconds(answer.retryAfter) };
    response.writeHead(answer.status, {
        ...answer.headers,
        ...retryAfter,
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
    });
    if (end === undefined) {
        response.end(body);
    }
    else {
        response.write(body);
        end();
    }
}

/** Sends an endpoint's complete answer, whose body is given in parts. */
export function writeWholeAnswer(
    response: ServerResponse,
    status: number,
    rawHeaders: RawHeaders,
    body: readonly Buffer[],
): void {
    if (response.destroyed || response.headersSent) {
        return;
    }
    writeHead(response, status, rawHeaders);
    response.cork();
    body.slice(0, -1).forEach((part) => response.write(part));
    response.end(body.at(-1));
    response.uncork();
}

/**
 * Sends the head of an endpoint's stream, without its length: another endpoint may continue the stream with a different
 * number of bytes.
 */
export function writeStreamHead(response: ServerResponse, status: number, rawHeaders: RawHeaders): void {
    writeHead(response, status, rawHeaders, false);
    response.flushHeaders();
}

/**
 * Sets the fields one by one, since `writeHead` with a list drops the fields that `setHeader` set before. An answer without
 * content states no length (RFC 9110, section 8.6).
 */
function writeHead(response: ServerResponse, status: number, rawHeaders: RawHeaders, hasLength = true): void {
    const fields = endToEndHeaders(rawHeaders);
    const omitsLength = !hasLength || status === noContentStatus;
    for (let index = 0; index < fields.length; index += 2) {
        if (!omitsLength || fields[index].toLowerCase() !== lengthHeader) {
            response.appendHeader(fields[index], fields[index + 1]);
        }
    }
    response.writeHead(status);
}

/** Resolves when an answer has been sent, or its connection has closed. */
export function untilSent({ socket }: IncomingMessage, response: ServerResponse): Promise<void> {
    if (response.writableFinished || response.destroyed || socket.destroyed) {
        return Promise.resolve();
    }
    return new Promise((resolve) => {
        const end = () => {
            response.off("close", end);
            socket.off("close", end);
            resolve();
        };
        response.on("close", end);
        socket.on("close", end);
    });
}
