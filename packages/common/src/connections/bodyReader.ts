/**
 * Reads the bodies of callers' requests, or discards those of refused requests.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock, Milliseconds } from "../clock.js";
import type { BlockBody, BlockPool } from "./blockPool.js";
import type { OpenBodies } from "./openBodies.js";
import { recordReceivedBytes } from "./receivedBytes.js";

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
    /** The bodies that are being read; those without progress give way if the pool has no memory. */
    readonly openBodies: OpenBodies;
    readonly clock: Clock;
}

/** Why a body was not read. */
export type UnreadBody =
    /** It has more than `limit` bytes. */
    | { readonly kind: "tooLarge"; readonly limit: number; }
    /** There is no memory for it now. */
    | { readonly kind: "noMemory"; }
    /** It made no progress, and its memory was needed. */
    | { readonly kind: "yielded"; };

/** What became of a body. */
export type BodyRead =
    | { readonly kind: "read"; readonly body: BlockBody; }
    | UnreadBody
    /** The caller closed its connection. */
    | { readonly kind: "callerGone"; };

/** Reads a body. One that states a size for which there is no memory is not read at all. */
export function readBody({ clock, limit, openBodies, pool, request }: BodyReadOptions): Promise<BodyRead> {
    const stated = Number(request.headers["content-length"] ?? 0);
    const largest = Math.min(limit, pool.maxBodyBytes);
    if (stated > largest) {
        return Promise.resolve({ kind: "tooLarge", limit: largest });
    }
    let body = pool.open(stated);
    while (body === undefined && openBodies.yieldSlowest(clock.now())) {
        body = pool.open(stated);
    }
    return body === undefined
        ? Promise.resolve({ kind: "noMemory" })
        : readInto(body, largest, { clock, openBodies, request });
}

function readInto(
    body: BlockBody,
    largest: number,
    { clock, openBodies, request }: Pick<BodyReadOptions, "request" | "openBodies" | "clock">,
): Promise<BodyRead> {
    return new Promise((resolve) => {
        let isOver = false;
        const end = (result: BodyRead) => {
            if (isOver) {
                return;
            }
            isOver = true;
            progress.close();
            request.off("data", onData);
            if (result.kind !== "read") {
                body.release();
            }
            resolve(result);
        };
        const progress = openBodies.open(clock.now(), () => end({ kind: "yielded" }));
        const onData = (chunk: Buffer) => {
            recordReceivedBytes(chunk.length);
            progress.recordProgress(chunk.length, clock.now());
            if (body.length + chunk.length > largest) {
                end({ kind: "tooLarge", limit: largest });
            }
            else if (!append(chunk)) {
                end({ kind: "noMemory" });
            }
        };
        const append = (chunk: Buffer): boolean =>
            !isOver && (body.append(chunk) || openBodies.yieldSlowest(clock.now()) && append(chunk));
        request.on("data", onData);
        request.once("end", () => end({ kind: "read", body }));
        request.once("close", () => end(request.complete ? { kind: "read", body } : { kind: "callerGone" }));
        request.once("error", () => end({ kind: "callerGone" }));
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

/** Ends an answer whose request makes no progress, and its connection: nothing arrives that could reset it. */
export function endWithConnection(request: IncomingMessage, response: ServerResponse): void {
    response.once("finish", () => request.socket.destroySoon());
    response.end();
}
