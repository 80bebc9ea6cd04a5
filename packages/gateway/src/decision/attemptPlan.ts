/**
 * Decides what happens after each attempt at a request: whether it may go to another endpoint, and what the caller is
 * told at the end. A request is sent again only where it certainly has not run, or where its route says that it may
 * run more than once.
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

/** Endpoints at which a request may be refused or out of reach before the caller is told to come back. */
export const maxRefusals = 3;

/** A complete answer of an endpoint that states a failure. */
export interface FailedAnswer {
    readonly status: number;
    readonly rawHeaders: readonly string[];
    readonly body: Buffer;
}

/** How an attempt ended. */
export type AttemptOutcome =
    /** The caller has the whole answer. */
    | { readonly kind: "delivered"; }
    /** The endpoint states that it has not run the request, or was never reached. */
    | { readonly kind: "notRun"; readonly reason: RetryReason; readonly reached: boolean; }
    /** The endpoint gave a complete answer that states a failure. */
    | { readonly kind: "failed"; readonly answer: FailedAnswer; }
    /** The answer broke off or was none; the request may have run. */
    | { readonly kind: "broken"; readonly detail: string; }
    /** The time for the request is over. */
    | { readonly kind: "timedOut"; }
    /** The caller closed its connection. */
    | { readonly kind: "callerGone"; };

/** What the plan asks for. */
export type AttemptEffect =
    | { readonly kind: "choose"; }
    /** Takes a retry out of the budget of the fleet. */
    | { readonly kind: "takeRetry"; readonly reason: RetryReason; }
    | { readonly kind: "dispatch"; readonly choice: Choice; };

/** What the plan is resumed with. */
export type AttemptEvent =
    | { readonly kind: "chosen"; readonly choice: Choice | undefined; readonly retryAfter: Milliseconds; }
    | { readonly kind: "retryTaken"; readonly allowed: boolean; }
    | { readonly kind: "ended"; readonly outcome: AttemptOutcome; };

/** How a request ended. */
export type RequestOutcome =
    | { readonly kind: "delivered"; }
    | { readonly kind: "callerGone"; }
    /** Not run, and never will be. */
    | { readonly kind: "refused"; readonly reason: RefusalReason; readonly retryAfter: Milliseconds; }
    /** May have run; `timedOut` where the time was over. */
    | { readonly kind: "unknown"; readonly timedOut: boolean; readonly detail: string; }
    /** The endpoint's own failure, to be passed on. */
    | { readonly kind: "failed"; readonly answer: FailedAnswer; };

/** What a route allows. */
export interface AttemptLimits {
    readonly repeatable: boolean;
    /** Endpoints on which the request may run. */
    readonly attempts: number;
}

type Plan = Decision<AttemptEffect, AttemptEvent, RequestOutcome>;

/** Pause after which a caller may come back where the budget for retries is spent. */
const budgetRetryAfter: Milliseconds = 300;

/** Plans the attempts at one request. */
export function* planAttempts(limits: AttemptLimits): Plan {
    let runs = 0;
    let refusals = 0;
    let last: AttemptOutcome | undefined;
    for (;;) {
        const chosen = yield { kind: "choose" };
        if (chosen.kind !== "chosen" || chosen.choice === undefined) {
            const retryAfter = chosen.kind === "chosen" ? chosen.retryAfter : budgetRetryAfter;
            return concluded(last, runs, { kind: "refused", reason: RefusalReason.NoEndpoint, retryAfter });
        }
        const ended = yield { kind: "dispatch", choice: chosen.choice };
        if (ended.kind !== "ended") {
            throw new Error(`an attempt ended with the event "${ended.kind}"`);
        }
        last = ended.outcome;
        const reason = retryReason(last);
        if (reason === undefined) {
            return concluded(last, runs + 1, undefined);
        }
        if (last.kind === "notRun") {
            refusals += 1;
        }
        else {
            runs += 1;
        }
        if (refusals >= maxRefusals || runs >= limits.attempts || (runs > 0 && !limits.repeatable)) {
            return concluded(last, runs, undefined);
        }
        const needsBudget = last.kind !== "notRun" || last.reached;
        const taken = needsBudget ? yield { kind: "takeRetry", reason } : undefined;
        if (taken?.kind === "retryTaken" && !taken.allowed) {
            return concluded(last, runs, {
                kind: "refused",
                reason: RefusalReason.RetryBudgetSpent,
                retryAfter: budgetRetryAfter,
            });
        }
    }
}

/** Why another attempt would make sense; `undefined` where none does. */
function retryReason(outcome: AttemptOutcome): RetryReason | undefined {
    switch (outcome.kind) {
        case "notRun":
            return outcome.reason;
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

/** The end of a request whose last attempt was `last`; `refusal` says why no further one is made. */
function concluded(
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
            return { kind: "unknown", timedOut: true, detail: "the time for the request was over" };
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
