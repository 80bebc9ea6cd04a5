/**
 * Reads the bodies of callers' requests, or discards those of refused requests.
 *
 * @module
 */
import { type Clock, type Milliseconds, RefusalReason } from "@redwingpin/common";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { OpenBodies } from "../decision/openBodies.js";
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
    /** The bodies that are being read; those without progress give way if the pool has no memory. */
    readonly openBodies: OpenBodies;
    readonly clock: Clock;
}

/**
 * Reads a body. Resolves with `undefined` if the caller closed its connection. A body that states a size for which there
 * is no memory is refused before it is read.
 */
export function readBody(
    { attempt, clock, limit, openBodies, pool, request }: BodyReadOptions,
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
    const tooLarge = findFailure(stated);
    let body = tooLarge === undefined ? pool.open(stated) : undefined;
    while (body === undefined && tooLarge === undefined && openBodies.yieldSlowest(clock.now())) {
        body = pool.open(stated);
    }
    if (body === undefined) {
        return Promise.resolve(tooLarge ?? noMemoryFailure(attempt));
    }
    return new Promise((resolve) => {
        let isOver = false;
        const end = (result: BlockBody | CheckFailure | undefined) => {
            if (isOver) {
                return;
            }
            isOver = true;
            progress.close();
            request.off("data", onData);
            if (result !== body) {
                body.release();
            }
            resolve(result);
        };
        const progress = openBodies.open(clock.now(), () => end(yieldedFailure(attempt)));
        const onData = (chunk: Buffer) => {
            recordReceivedBytes(chunk.length);
            progress.recordProgress(chunk.length, clock.now());
            const failure = findFailure(body.length + chunk.length);
            if (failure !== undefined) {
                end(failure);
            }
            else if (!append(chunk)) {
                end(noMemoryFailure(attempt));
            }
        };
        const append = (chunk: Buffer): boolean =>
            !isOver && (body.append(chunk) || openBodies.yieldSlowest(clock.now()) && append(chunk));
        request.on("data", onData);
        request.once("end", () => end(body));
        request.once("close", () => end(request.complete ? body : undefined));
        request.once("error", () => end(undefined));
    });
}

function noMemoryFailure(attempt: string): CheckFailure {
    return {
        status: 503,
        reason: RefusalReason.QueueFull,
        message: "the router buffers too many bytes of request bodies",
        attempt,
        retryAfter: memoryRetryAfter,
    };
}

function yieldedFailure(attempt: string): CheckFailure {
    const message = "the body made no progress, and the router needs its memory";
    return { ...noMemoryFailure(attempt), message, hasYielded: true };
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

/** Ends an answer whose request makes no progress, and its connection: nothing arrives that could reset it. */
export function endWithConnection(request: IncomingMessage, response: ServerResponse): void {
    response.once("finish", () => request.socket.destroySoon());
    response.end();
}
