/**
 * Refusals: what a caller is told when its request gets no answer from an endpoint.
 *
 * @module
 */
import { type Milliseconds, RefusalReason } from "@redwingpin/common";

/** What is certain about the request's execution. The value goes into the header `redwingpin-outcome`. */
export enum CallOutcome {
    /** No endpoint ran the request or will run it. */
    NotRun = "not-run",
    /** An endpoint may have run the request, or may still run it. */
    Unknown = "unknown",
    /** The answer is that of an earlier execution of the same call. */
    Replayed = "replayed",
}

/** A refusal with everything that its answer states. */
export interface Refusal {
    readonly reason: RefusalReason;
    readonly outcome: CallOutcome.NotRun | CallOutcome.Unknown;
    readonly message: string;
    /** Time after which the same request may succeed. */
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
export function statusOf(reason: RefusalReason): number {
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
        case RefusalReason.RetryBudgetSpent:
        case RefusalReason.ClaimStoreUnavailable:
        case RefusalReason.Stopping:
        case RefusalReason.NotConfigured:
            return 503;
    }
}
