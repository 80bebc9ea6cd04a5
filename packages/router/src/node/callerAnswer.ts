/**
 * Sends refusals, JSON values and replayed answers to callers; refusals in the format that OpenAI clients parse.
 *
 * @module
 */
import type { CallAnswer } from "@redwingpin/claims";
import { CallOutcome } from "@redwingpin/common";
import type { ServerResponse } from "node:http";
import { httpStatusOf, type Refusal } from "../decision/refusal.js";

const millisecondsPerSecond = 1_000;

/** Response header that states whether the call has run. */
export const outcomeHeader = "redwingpin-outcome";

/** Answers a request with a refusal. `end` is called instead of ending the response immediately. */
export function answerRefusal(response: ServerResponse, refusal: Refusal, end?: () => void): void {
    if (response.headersSent || response.destroyed) {
        response.destroy();
        return;
    }
    const status = httpStatusOf(refusal.reason);
    const body = JSON.stringify({
        error: {
            message: refusal.message,
            type: status >= 500 ? "server_error" : "invalid_request_error",
            code: refusal.reason,
        },
    });
    const headers: Record<string, string> = {
        "content-type": "application/json",
        [outcomeHeader]: refusal.outcome,
    };
    if (refusal.retryAfter !== undefined) {
        headers["retry-after"] = String(Math.max(1, Math.ceil(refusal.retryAfter / millisecondsPerSecond)));
    }
    if (status === 401) {
        headers["www-authenticate"] = "Bearer";
    }
    headers["content-length"] = String(Buffer.byteLength(body));
    response.writeHead(status, headers);
    if (end === undefined) {
        response.end(body);
        return;
    }
    response.write(body);
    end();
}

/** Answers with a JSON value. */
export function answerJson(response: ServerResponse, status: number, value: unknown): void {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(value));
}

/** Replays the answer of an earlier execution of the same call. */
export function answerReplay(response: ServerResponse, answer: CallAnswer): void {
    const headers = answer.headers.flatMap((header) => [header.name, header.value]);
    response.writeHead(answer.status, [
        ...headers,
        outcomeHeader,
        CallOutcome.Replayed,
        "content-length",
        String(answer.body.length),
    ]);
    response.end(answer.body);
}
