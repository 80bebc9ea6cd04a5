/**
 * Refusals of requests that were not admitted from the queue, and answers to requests that cannot be parsed.
 *
 * @module
 */
import { RefusalReason } from "@redwingpin/common";
import type { Socket } from "node:net";
import type { Admission } from "../decision/requestQueue.js";
import type { CheckFailure } from "./callerChecks.js";

/** Why a request that waited was not run; `random` spreads the time at which callers return. */
export function refusalOf(
    admission: Exclude<Admission, { readonly kind: "serve" | "callerGone"; }>,
    random: number,
): Pick<CheckFailure, "reason" | "message" | "retryAfter"> {
    switch (admission.kind) {
        case "expired":
            return {
                reason: RefusalReason.DeadlineExceeded,
                message: "the request was not run: its time limit passed before it could be served",
                retryAfter: 0,
            };
        case "overloaded":
            return {
                reason: RefusalReason.QueueFull,
                message:
                    "the request was not run: more requests wait than can be served within its time limit",
                retryAfter: admission.retryAfter * (1 + random),
            };
        case "stopped":
            return {
                reason: RefusalReason.Stopping,
                message: "the router is stopping; retry at another router",
                retryAfter: 0,
            };
    }
}

/** Answers a request that cannot be parsed or did not arrive in time. */
export function answerClientError(error: NodeJS.ErrnoException, socket: Socket): void {
    if (!socket.writable || error.code === "ECONNRESET") {
        socket.destroy();
        return;
    }
    const status = clientErrorStatus(error.code);
    socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
}

function clientErrorStatus(code: string | undefined): string {
    switch (code) {
        case "HPE_HEADER_OVERFLOW":
            return "431 Request Header Fields Too Large";
        case "ERR_HTTP_REQUEST_TIMEOUT":
            return "408 Request Timeout";
        default:
            return "400 Bad Request";
    }
}
