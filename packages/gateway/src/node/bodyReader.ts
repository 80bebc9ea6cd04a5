/**
 * Reads the bodies of callers' requests, or discards those of refused requests.
 *
 * @module
 */
import { type Milliseconds, RefusalReason } from "@redwingpin/common";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { BlockBody, BlockPool } from "./blockPool.js";
import type { CheckFailure } from "./callerChecks.js";
import { recordReceivedBytes } from "./receivedBytes.js";

/** Retry delay for callers when the buffered request bodies have their maximum total size. */
const memoryRetryAfter: Milliseconds = 500;

/** Maximum size in bytes of the rest of a refused request that is read, so that its caller receives the answer. */
const maxDiscardedBytes = 16_777_216;

/** Maximum time for which the rest of a refused request is read. */
const discardTimeout: Milliseconds = 10_000;

/** What to read, and into what. */
export interface BodyReadOptions {
    readonly request: IncomingMessage;
    readonly pool: BlockPool;
    /** Maximum size in bytes. */
    readonly limit: number;
    readonly attempt: string;
}

/**
 * Reads a body. Resolves with `undefined` if the caller closed its connection. A body that states a size for which there
 * is no memory is refused before it is read.
 */
export function readBody(
    { attempt, limit, pool, request }: BodyReadOptions,
): Promise<BlockBody | CheckFailure | undefined> {
    const stated = Number(request.headers["content-length"] ?? 0);
    const findFailure = (bytes: number): CheckFailure | undefined => {
        const largest = Math.min(limit, pool.maxBodyBytes);
        if (bytes <= largest) {
            return undefined;
        }
        const message = `the body has more than ${largest} bytes`;
        return { status: 413, reason: RefusalReason.BodyTooLarge, message, attempt };
    };
    const noMemory: CheckFailure = {
        status: 503,
        reason: RefusalReason.QueueFull,
        message: "the router buffers too many bytes of request bodies",
        attempt,
        retryAfter: memoryRetryAfter,
    };
    const tooLarge = findFailure(stated);
    const body = tooLarge === undefined ? pool.open(stated) : undefined;
    if (body === undefined) {
        return Promise.resolve(tooLarge ?? noMemory);
    }
    return new Promise((resolve) => {
        let isOver = false;
        const end = (result: BlockBody | CheckFailure | undefined) => {
            if (isOver) {
                return;
            }
            isOver = true;
            request.off("data", onData);
            if (result !== body) {
                body.release();
            }
            resolve(result);
        };
        const onData = (chunk: Buffer) => {
            recordReceivedBytes(chunk.length);
            const failure = findFailure(body.length + chunk.length);
            if (failure !== undefined) {
                end(failure);
            }
            else if (!body.append(chunk)) {
                end(noMemory);
            }
        };
        request.on("data", onData);
        request.once("end", () => end(body));
        request.once("close", () => end(request.complete ? body : undefined));
        request.once("error", () => end(undefined));
    });
}

/** Whether the connection of a refused request can be used again, since the rest of its body is short enough to read. */
export function canDiscard(request: IncomingMessage): boolean {
    return request.headers["transfer-encoding"] === undefined
        && Number(request.headers["content-length"] ?? 0) <= maxDiscardedBytes;
}

/**
 * Ends an answer that has been written before its request was complete, after reading the rest of the request: closing
 * the connection while the caller sends would reset it, and the caller would lose the answer.
 */
export function endAfterBody(request: IncomingMessage, response: ServerResponse): void {
    let bytes = 0;
    let isOver = false;
    const end = () => {
        if (isOver) {
            return;
        }
        isOver = true;
        clearTimeout(timer);
        request.off("data", onData);
        response.end();
        if (!request.complete) {
            response.once("finish", () => request.socket.destroySoon());
        }
    };
    const onData = (chunk: Buffer) => {
        recordReceivedBytes(chunk.length);
        bytes += chunk.length;
        if (bytes > maxDiscardedBytes) {
            end();
        }
    };
    const timer = setTimeout(end, discardTimeout);
    request.on("data", onData);
    request.once("end", end);
    request.once("close", end);
}
