/**
 * Refusals of requests that were not admitted from the queue.
 *
 * @module
 */
import { RefusalReason } from "@redwingpin/common";
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
