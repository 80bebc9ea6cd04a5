/**
 * Enumerations of the reasons for which a request is refused or retried. Metrics, logs and error answers use only
 * these values.
 *
 * @module
 */

/** Why a request was refused. The value is the label in metrics and the `code` in error answers. */
export enum RefusalReason {
    MissingKey = "missing_key",
    UnknownKey = "unknown_key",
    RouteNotFound = "route_not_found",
    RouteForbidden = "route_forbidden",
    MalformedRequest = "malformed_request",
    BodyTooLarge = "body_too_large",
    RateExceeded = "rate_exceeded",
    RequestExceedsBurst = "request_exceeds_burst",
    QueueFull = "queue_full",
    DeadlineExceeded = "deadline_exceeded",
    NoEndpoint = "no_endpoint",
    /** Every endpoint that could take the request wants none now, or limits its requests. */
    EndpointsLimited = "endpoints_limited",
    RetryBudgetSpent = "retry_budget_spent",
    EndpointFailed = "endpoint_failed",
    OutcomeUnknown = "outcome_unknown",
    Quarantined = "quarantined",
    ClaimStoreUnavailable = "claim_store_unavailable",
    IdempotencyKeyReused = "idempotency_key_reused",
    CallInProgress = "call_in_progress",
    Stopping = "stopping",
    NotConfigured = "not_configured",
}

/** Why a request was retried at another endpoint. The value is the label in metrics. */
export enum RetryReason {
    ConnectFailed = "connect_failed",
    AgentDeclinedDraining = "agent_declined_draining",
    AgentDeclinedQueueFull = "agent_declined_queue_full",
    AgentDeclinedVersion = "agent_declined_version",
    AgentDeclinedEndpointDown = "agent_declined_endpoint_down",
    ConnectionLost = "connection_lost",
    EndpointError = "endpoint_error",
    StreamResumed = "stream_resumed",
}

/** Whether a call was executed, as far as is known. The value is sent in the answer's header `redwingpin-outcome`. */
export enum CallOutcome {
    /** No endpoint ran the request or will run it. */
    NotRun = "not-run",
    /** An endpoint may have run the request, may be running it or may yet run it. */
    Unknown = "unknown",
    /** The answer is that of an earlier execution of the same call. */
    Replayed = "replayed",
}

/** Outcomes that a refusal can state. */
export type RefusalOutcome = CallOutcome.NotRun | CallOutcome.Unknown;
