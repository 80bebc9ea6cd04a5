/**
 * The attempts of one request: decides whether another attempt is made, and how the request ends for the caller.
 *
 * @module
 */
import { type Decision, RefusalReason, RetryReason } from "@redwingpin/common";
import { notRun, outcomeUnknown, type Refusal } from "./refusal.js";

/** How one attempt ended. */
export type AttemptOutcome =
    /** The caller has received the whole answer. */
    | { readonly kind: "delivered"; }
    /** The caller has disconnected. */
    | { readonly kind: "callerDisconnected"; }
    /** The request certainly did not run; another endpoint can run it. */
    | { readonly kind: "notRun"; readonly retryReason: RetryReason; readonly refusal: Refusal; }
    /** The request may have run, and the answer is incomplete. */
    | {
        readonly kind: "broken";
        readonly retryReason: RetryReason;
        readonly refusal: Refusal;
        readonly progress: AnswerProgress;
    }
    /** No further attempt is allowed. */
    | { readonly kind: "final"; readonly refusal: Refusal; };

/** How much of the answer the caller has received. */
export enum AnswerProgress {
    /** Nothing; another attempt can send the whole answer. */
    Nothing,
    /** Part of a stream that another replica of the same weights can continue. */
    Resumable,
    /** Part of an answer that can't be resumed. */
    Partial,
}

/** Effect that the loop requests. */
export type AttemptEffect =
    /** Choose an endpoint that is not excluded. */
    | { readonly kind: "choose"; readonly excluded: readonly string[]; }
    /** Spend a retry of the budget. */
    | { readonly kind: "spendRetry"; readonly reason: RetryReason; }
    /** Dispatch the request to the endpoint that was chosen last. */
    | { readonly kind: "dispatch"; readonly instance: string; readonly attempt: number; };

/** Result with which the loop is resumed, one kind for each effect. */
export type AttemptEvent =
    | { readonly kind: "chosen"; readonly instance: string | undefined; }
    | { readonly kind: "retry"; readonly allowed: boolean; }
    | { readonly kind: "ended"; readonly outcome: AttemptOutcome; };

/** How the request ended for the caller. */
export type RequestOutcome =
    | { readonly kind: "answered"; }
    | { readonly kind: "abandoned"; }
    /** The caller has received nothing and gets a refusal. */
    | { readonly kind: "refused"; readonly refusal: Refusal; }
    /** The caller has received part of the answer and gets an explicit error. */
    | { readonly kind: "truncated"; readonly refusal: Refusal; };

/** Options of {@link attemptLoop}. */
export interface AttemptLoopOptions {
    readonly idempotent: boolean;
    readonly maxAttempts: number;
    readonly pool: string;
}

/** Result of the attempts so far. */
interface RequestHistory {
    /** True if an attempt failed after its request may have reached an endpoint. */
    mayHaveRun: boolean;
    progress: AnswerProgress;
    refusal: Refusal;
}

/** Makes attempts until the caller has its answer or no further attempt is allowed. */
export function* attemptLoop(
    options: AttemptLoopOptions,
): Decision<AttemptEffect, AttemptEvent, RequestOutcome> {
    const excluded: string[] = [];
    const history: RequestHistory = {
        mayHaveRun: false,
        progress: AnswerProgress.Nothing,
        refusal: notRun(
            RefusalReason.NoEndpoint,
            `no endpoint of pool "${options.pool}" can serve the request now`,
        ),
    };
    for (let attempt = 1; attempt <= options.maxAttempts; attempt++) {
        const instance = expectChosen(yield { kind: "choose", excluded: [...excluded] });
        if (instance === undefined) {
            break;
        }
        excluded.push(instance);
        const outcome = expectOutcome(yield { kind: "dispatch", instance, attempt });
        if (outcome.kind === "delivered") {
            return { kind: "answered" };
        }
        if (outcome.kind === "callerDisconnected") {
            return { kind: "abandoned" };
        }
        recordFailure(history, outcome);
        if (!mayRetry(options, history, outcome)) {
            break;
        }
        const reason = history.progress === AnswerProgress.Resumable
            ? RetryReason.StreamResumed
            : outcome.retryReason;
        if (attempt < options.maxAttempts && !expectRetry(yield { kind: "spendRetry", reason })) {
            history.refusal = { ...history.refusal, reason: RefusalReason.RetryBudgetSpent };
            break;
        }
    }
    return failedRequestOutcome(options, history);
}

type FailedAttempt = Extract<AttemptOutcome, { refusal: Refusal; }>;

function recordFailure(history: RequestHistory, outcome: FailedAttempt): void {
    history.refusal = outcome.refusal;
    if (outcome.kind === "broken") {
        history.mayHaveRun = true;
        history.progress = outcome.progress;
    }
}

function mayRetry(
    options: AttemptLoopOptions,
    history: RequestHistory,
    outcome: FailedAttempt,
): outcome is Extract<FailedAttempt, { retryReason: RetryReason; }> {
    if (outcome.kind === "final") {
        return false;
    }
    return !history.mayHaveRun || (options.idempotent && history.progress !== AnswerProgress.Partial);
}

function failedRequestOutcome(options: AttemptLoopOptions, history: RequestHistory): RequestOutcome {
    const refusal = history.mayHaveRun ? withUnknownOutcome(options, history.refusal) : history.refusal;
    return history.progress === AnswerProgress.Nothing
        ? { kind: "refused", refusal }
        : { kind: "truncated", refusal };
}

function withUnknownOutcome(options: AttemptLoopOptions, refusal: Refusal): Refusal {
    return outcomeUnknown(
        options.idempotent ? refusal.reason : RefusalReason.OutcomeUnknown,
        refusal.message,
    );
}

function expectChosen(event: AttemptEvent): string | undefined {
    return event.kind === "chosen" ? event.instance : undefined;
}

function expectRetry(event: AttemptEvent): boolean {
    return event.kind === "retry" && event.allowed;
}

function expectOutcome(event: AttemptEvent): AttemptOutcome {
    if (event.kind !== "ended") {
        throw new Error(`expected the outcome of an attempt, received event "${event.kind}"`);
    }
    return event.outcome;
}
