/**
 * Decides what happens after each attempt at a request: whether another endpoint may be tried, and which outcome the
 * caller gets in the end. A request is retried only if it certainly has not run, or if its route allows it to run more
 * than once.
 *
 * @module
 */
import {
    assertNever,
    type Decision,
    type Milliseconds,
    RefusalReason,
    RetryReason,
} from "@redwingpin/common";
import type { Choice } from "./endpointChoice.js";

/** Number of endpoints that may refuse a request or be unreachable before the caller is asked to retry later. */
export const maxRefusals = 3;

/** A complete error answer of an endpoint. */
export interface FailedAnswer {
    readonly status: number;
    readonly rawHeaders: readonly string[];
    readonly body: readonly Buffer[];
}

/** How an attempt ended. */
export type AttemptOutcome =
    /** The caller received the whole answer. */
    | { readonly kind: "delivered"; }
    /** The endpoint states that it has not run the request, or no connection to it could be made. */
    | { readonly kind: "notRun"; readonly retryReason: RetryReason; readonly reached: boolean; }
    /** The endpoint sent a complete error answer. */
    | { readonly kind: "failed"; readonly answer: FailedAnswer; }
    /**
     * The answer is missing, incomplete or invalid; the request may have run. `hasHead` is true if the head of an answer
     * arrived, `isClosed` if the endpoint closed the connection before the answer was complete.
     */
    | {
        readonly kind: "broken";
        readonly detail: string;
        readonly hasHead: boolean;
        readonly isClosed: boolean;
    }
    /** The deadline of the request passed. */
    | { readonly kind: "timedOut"; }
    /** The caller closed its connection. */
    | { readonly kind: "callerGone"; };

/** Effects that the plan requests from its runner. */
export type AttemptEffect =
    | { readonly kind: "choose"; }
    /** Spends a retry of the fleet's retry budget. */
    | { readonly kind: "spendRetry"; readonly reason: RetryReason; }
    | { readonly kind: "dispatch"; readonly choice: Choice; };

/** Result of an effect, with which the plan resumes. */
export type AttemptEvent =
    | { readonly kind: "chosen"; readonly choice: Choice; }
    /** The caller closed its connection before the attempt began. */
    | { readonly kind: "callerGone"; }
    /** No endpoint can take the request. */
    | { readonly kind: "noneAvailable"; readonly reason: RefusalReason; readonly retryAfter: Milliseconds; }
    | { readonly kind: "retry"; readonly allowed: boolean; }
    | { readonly kind: "ended"; readonly outcome: AttemptOutcome; };

/** How a request ended. */
export type RequestOutcome =
    | { readonly kind: "delivered"; }
    | { readonly kind: "callerGone"; }
    /** The request has not run and will not run. */
    | { readonly kind: "refused"; readonly reason: RefusalReason; readonly retryAfter: Milliseconds; }
    /** The request may have run; `timedOut` is true if its deadline passed. */
    | { readonly kind: "unknown"; readonly timedOut: boolean; readonly detail: string; }
    /** The endpoint's error answer, to be forwarded. */
    | { readonly kind: "failed"; readonly answer: FailedAnswer; };

/** Limits that the route sets. */
export interface AttemptLimits {
    readonly repeatable: boolean;
    /** Maximum number of endpoints on which the request may run. */
    readonly attempts: number;
}

type Plan = Decision<AttemptEffect, AttemptEvent, RequestOutcome>;

/** Delay before the caller may retry when the retry budget is spent. */
const budgetRetryAfter: Milliseconds = 300;

/** Plans the attempts at one request. */
export function* planAttempts(limits: AttemptLimits): Plan {
    let runs = 0;
    let refusals = 0;
    let last: AttemptOutcome | undefined;
    for (;;) {
        const chosen = yield { kind: "choose" };
        if (chosen.kind === "noneAvailable") {
            const { reason, retryAfter } = chosen;
            return concludeRequest(last, runs, { kind: "refused", reason, retryAfter });
        }
        if (chosen.kind === "callerGone") {
            return { kind: "callerGone" };
        }
        if (chosen.kind !== "chosen") {
            throw new Error(`expected the choice of an endpoint, received event "${chosen.kind}"`);
        }
        const ended = yield { kind: "dispatch", choice: chosen.choice };
        if (ended.kind !== "ended") {
            throw new Error(`expected the outcome of an attempt, received event "${ended.kind}"`);
        }
        last = ended.outcome;
        const reason = retryReason(last);
        if (reason === undefined) {
            return concludeRequest(last, runs + 1, undefined);
        }
        if (last.kind === "notRun") {
            refusals += 1;
        }
        else {
            runs += 1;
        }
        if (refusals >= maxRefusals || runs >= limits.attempts || (runs > 0 && !limits.repeatable)) {
            return concludeRequest(last, runs, undefined);
        }
        const needsBudget = last.kind !== "notRun" || last.reached;
        const retry = needsBudget ? yield { kind: "spendRetry", reason } : undefined;
        if (retry?.kind === "retry" && !retry.allowed) {
            return concludeRequest(last, runs, {
                kind: "refused",
                reason: RefusalReason.RetryBudgetSpent,
                retryAfter: budgetRetryAfter,
            });
        }
    }
}

/** Reason to retry after this outcome; `undefined` if no retry is possible. */
function retryReason(outcome: AttemptOutcome): RetryReason | undefined {
    switch (outcome.kind) {
        case "notRun":
            return outcome.retryReason;
        case "failed":
            return RetryReason.EndpointError;
        case "broken":
            return RetryReason.ConnectionLost;
        case "delivered":
        case "timedOut":
        case "callerGone":
            return undefined;
        default:
            return assertNever(outcome);
    }
}

/** Outcome of a request whose last attempt ended with `last`; `refusal` is the reason for making no further attempt. */
function concludeRequest(
    last: AttemptOutcome | undefined,
    runs: number,
    refusal: (RequestOutcome & { kind: "refused"; }) | undefined,
): RequestOutcome {
    switch (last?.kind) {
        case "delivered":
        case "callerGone":
            return { kind: last.kind };
        case "failed":
            return { kind: "failed", answer: last.answer };
        case "broken":
            return { kind: "unknown", timedOut: false, detail: last.detail };
        case "timedOut":
            return { kind: "unknown", timedOut: true, detail: "the request timed out" };
        case "notRun":
        case undefined: {
            if (runs > 0) {
                return { kind: "unknown", timedOut: false, detail: "an earlier attempt may have run" };
            }
            return refusal ?? {
                kind: "refused",
                reason: RefusalReason.QueueFull,
                retryAfter: budgetRetryAfter,
            };
        }
        default:
            return assertNever(last);
    }
}
