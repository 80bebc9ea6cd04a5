/**
 * Refusals: the errors that callers receive in place of an endpoint's answer.
 *
 * @module
 */
import { CallOutcome, type Milliseconds, type RefusalOutcome, RefusalReason } from "@redwingpin/common";

/** A refusal with the contents of the answer to the caller. */
export interface Refusal {
    readonly reason: RefusalReason;
    readonly outcome: RefusalOutcome;
    readonly message: string;
    /** Delay after which the same request may succeed. */
    readonly retryAfter?: Milliseconds;
}

/** A refusal of a request that certainly did not run. */
export function notRun(reason: RefusalReason, message: string, retryAfter?: Milliseconds): Refusal {
    return { reason, outcome: CallOutcome.NotRun, message, retryAfter };
}

/** A refusal of a request that may have run. */
export function outcomeUnknown(reason: RefusalReason, message: string): Refusal {
    return { reason, outcome: CallOutcome.Unknown, message };
}

/** HTTP status of a refusal. */
export function httpStatusOf(reason: RefusalReason): number {
    switch (reason) {
        case RefusalReason.MissingKey:
        case RefusalReason.UnknownKey:
            return 401;
        case RefusalReason.RouteForbidden:
            return 403;
        case RefusalReason.RouteNotFound:
            return 404;
        case RefusalReason.MalformedRequest:
        case RefusalReason.RequestExceedsBurst:
            return 400;
        case RefusalReason.BodyTooLarge:
            return 413;
        case RefusalReason.CallInProgress:
            return 409;
        case RefusalReason.IdempotencyKeyReused:
        case RefusalReason.Quarantined:
            return 422;
        case RefusalReason.RateExceeded:
            return 429;
        case RefusalReason.DeadlineExceeded:
            return 504;
        case RefusalReason.EndpointFailed:
        case RefusalReason.OutcomeUnknown:
            return 502;
        case RefusalReason.QueueFull:
        case RefusalReason.NoEndpoint:
        case RefusalReason.EndpointsLimited:
        case RefusalReason.RetryBudgetSpent:
        case RefusalReason.ClaimStoreUnavailable:
        case RefusalReason.Stopping:
        case RefusalReason.NotConfigured:
            return 503;
    }
}
