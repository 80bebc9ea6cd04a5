/**
 * Refusals of requests whose body was not read.
 *
 * @module
 */
import { type Milliseconds, RefusalReason, type UnreadBody } from "@redwingpin/common";
import type { CheckFailure } from "./callerChecks.js";

/** Retry delay for callers when the buffered request bodies have their maximum total size. */
const memoryRetryAfter: Milliseconds = 500;

/** Refusal of a request whose body was not read. */
export function refusalOfBody(unread: UnreadBody, attempt: string): CheckFailure {
    const noMemory = {
        status: 503,
        reason: RefusalReason.QueueFull,
        message: "the router buffers too many bytes of request bodies",
        attempt,
        retryAfter: memoryRetryAfter,
    };
    switch (unread.kind) {
        case "tooLarge": {
            const message = `the body has more than ${unread.limit} bytes`;
            return { status: 413, reason: RefusalReason.BodyTooLarge, message, attempt };
        }
        case "noMemory":
            return noMemory;
        case "yielded": {
            const message = "the body made no progress, and the router needs its memory";
            return { ...noMemory, message, hasYielded: true };
        }
    }
}
