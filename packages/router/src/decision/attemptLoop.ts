/**
 * The life of one request: which attempts are made, and what the caller is told at the end.
 *
 * @module
 */
import { type Decision, RefusalReason, RetryReason } from "@redwingpin/common";
import { notRun, outcomeUnknown, type Refusal } from "./refusal.js";

/** How one attempt ended. */
export type AttemptEnd =
    /** The caller has the whole answer. */
    | { readonly kind: "complete"; }
    /** The caller has gone. */
    | { readonly kind: "callerGone"; }
    /** The request certainly did not run; another endpoint may run it. */
    | { readonly kind: "notRun"; readonly retry: RetryReason; readonly refusal: Refusal; }
    /** The request may have run and the answer is not complete. */
    | {
        readonly kind: "broken";
        readonly retry: RetryReason;
        readonly refusal: Refusal;
        readonly progress: AnswerProgress;
    }
    /** No other endpoint may be asked. */
    | { readonly kind: "final"; readonly refusal: Refusal; };

/** How much of the answer the caller has. */
export enum AnswerProgress {
    /** Nothing; another attempt can answer in full. */
    Nothing,
    /** Part of a stream that another replica of the same weights can go on with. */
    Resumable,
    /** Part of an answer that can not be taken up again. */
    Partial,
}

/** What the loop asks for. */
export type AttemptEffect =
    /** Choose an endpoint that has not been asked yet. */
    | { readonly kind: "choose"; readonly excluded: readonly string[]; }
    /** Ask the retry budget. */
    | { readonly kind: "spendRetry"; readonly reason: RetryReason; }
    /** Make an attempt at the endpoint chosen last. */
    | { readonly kind: "attempt"; readonly instance: string; readonly attempt: number; };

/** What the loop is resumed with, one kind for each effect. */
export type AttemptEvent =
    | { readonly kind: "chosen"; readonly instance: string | undefined; }
    | { readonly kind: "retry"; readonly allowed: boolean; }
    | { readonly kind: "ended"; readonly end: AttemptEnd; };

/** What became of the request. */
export type RequestOutcome =
    | { readonly kind: "answered"; }
    | { readonly kind: "abandoned"; }
    /** The caller has nothing yet and gets a refusal. */
    | { readonly kind: "refused"; readonly refusal: Refusal; }
    /** The caller has part of the answer and gets an explicit error. */
    | { readonly kind: "cut"; readonly refusal: Refusal; };

/** What the loop needs to know of the request. */
export interface AttemptPlan {
    readonly idempotent: boolean;
    readonly maxAttempts: number;
    readonly pool: string;
}

/** What has happened to a request so far. */
interface RequestHistory {
    /** True once an attempt broke off after its request may have reached an endpoint. */
    mayHaveRun: boolean;
    progress: AnswerProgress;
    refusal: Refusal;
}

/** Makes attempts until the caller is answered or no further attempt is allowed. */
export function* attemptLoop(plan: AttemptPlan): Decision<AttemptEffect, AttemptEvent, RequestOutcome> {
    const excluded: string[] = [];
    const history: RequestHistory = {
        mayHaveRun: false,
        progress: AnswerProgress.Nothing,
        refusal: notRun(
            RefusalReason.NoEndpoint,
            `pool "${plan.pool}" has no endpoint that can take the request now`,
        ),
    };
    for (let attempt = 1; attempt <= plan.maxAttempts; attempt++) {
        const instance = expectChosen(yield { kind: "choose", excluded: [...excluded] });
        if (instance === undefined) {
            break;
        }
        excluded.push(instance);
        const end = expectEnd(yield { kind: "attempt", instance, attempt });
        if (end.kind === "complete") {
            return { kind: "answered" };
        }
        if (end.kind === "callerGone") {
            return { kind: "abandoned" };
        }
        recordEnd(history, end);
        if (!mayTryAgain(plan, history, end)) {
            break;
        }
        const reason = history.progress === AnswerProgress.Resumable ? RetryReason.StreamResumed : end.retry;
        if (attempt < plan.maxAttempts && !expectRetry(yield { kind: "spendRetry", reason })) {
            history.refusal = { ...history.refusal, reason: RefusalReason.RetryBudgetSpent };
            break;
        }
    }
    return refuse(plan, history);
}

type Unanswered = Extract<AttemptEnd, { refusal: Refusal; }>;

function recordEnd(history: RequestHistory, end: Unanswered): void {
    history.refusal = end.refusal;
    if (end.kind === "broken") {
        history.mayHaveRun = true;
        history.progress = end.progress;
    }
}

function mayTryAgain(
    plan: AttemptPlan,
    history: RequestHistory,
    end: Unanswered,
): end is Extract<Unanswered, { retry: RetryReason; }> {
    if (end.kind === "final") {
        return false;
    }
    return !history.mayHaveRun || (plan.idempotent && history.progress !== AnswerProgress.Partial);
}

function refuse(plan: AttemptPlan, history: RequestHistory): RequestOutcome {
    const refusal = history.mayHaveRun ? withUnknownOutcome(plan, history.refusal) : history.refusal;
    return history.progress === AnswerProgress.Nothing
        ? { kind: "refused", refusal }
        : { kind: "cut", refusal };
}

function withUnknownOutcome(plan: AttemptPlan, refusal: Refusal): Refusal {
    return outcomeUnknown(plan.idempotent ? refusal.reason : RefusalReason.OutcomeUnknown, refusal.message);
}

function expectChosen(event: AttemptEvent): string | undefined {
    return event.kind === "chosen" ? event.instance : undefined;
}

function expectRetry(event: AttemptEvent): boolean {
    return event.kind === "retry" && event.allowed;
}

function expectEnd(event: AttemptEvent): AttemptEnd {
    if (event.kind !== "ended") {
        throw new Error(`an attempt was resumed with "${event.kind}"`);
    }
    return event.end;
}
