/**
 * Records attempts: the load that they put on an endpoint, their effect on its health, what the endpoint states in its
 * answers, and their log lines.
 *
 * @module
 */
import type { Clock, Logger, Milliseconds } from "@redwingpin/common";
import type { FleetState } from "@redwingpin/fleet";
import { EndpointSignal, type OwedAnswerOptions } from "@redwingpin/scheduling";
import type { AttemptOutcome } from "../decision/attemptPlan.js";
import type { Choice } from "../decision/endpointChoice.js";
import type { EndpointState, EndpointTable } from "../decision/endpointTable.js";
import type { MeasuredStream } from "../decision/streamPace.js";
import type { AnswerMetadata } from "../headerCodec.js";
import type { DirectRequest } from "./callerRequest.js";
import type { EndpointPermits } from "./endpointPermits.js";
import type { GatewayMetrics } from "./gatewayMetrics.js";

/** Time for which an endpoint is not selected after it refused a request as full or busy. */
const avoidanceAfterRefusal: Milliseconds = 250;

/** Time for which an endpoint is not selected after it could not be reached. */
const avoidanceAfterConnectFailure: Milliseconds = 1_000;

/** Status of an endpoint that cannot serve a request now. */
const unavailableStatus = 503;

/** Dependencies of {@link recordAttempt}. */
export interface AttemptRecordContext {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly endpointTable: EndpointTable;
    readonly state: FleetState;
}

/** Details of an attempt besides its choice and outcome. */
export interface AttemptDetails {
    readonly number: number;
    readonly sentAt: Milliseconds;
    /** True if the endpoint crashed before the answer was complete. */
    readonly hasCrashedEndpoint: boolean;
    /** Number of events that were sent to the caller. */
    readonly events: number;
    /** Version of the weights that is desired. */
    readonly desiredVersion: number | undefined;
}

/** Records the outcome of an attempt. */
export function recordAttempt(
    context: AttemptRecordContext,
    request: DirectRequest,
    choice: Choice,
    outcome: AttemptOutcome,
    details: AttemptDetails,
): void {
    const { endpointTable, clock, logger, state } = context;
    const { endpointState } = choice;
    const now = clock.now();
    recordHealth(endpointState, outcome, now);
    const peers = endpointTable.ofService(request.service.name).map((peer) => peer.health);
    if (endpointState.health.ejectIfOutlier(peers, now)) {
        logger.warn("endpoint left out", {
            endpoint: endpointState.endpoint.instance,
            service: request.service.name,
            failing: endpointState.health.failureRate,
        });
    }
    logger.info("attempt", {
        request: request.metadata.attempt,
        attempt: details.number,
        endpoint: endpointState.endpoint.instance,
        software: endpointState.endpoint.version,
        outcome: outcome.kind,
        detail: outcomeDetail(outcome),
        ...details.hasCrashedEndpoint && describeSuspect(request, outcome),
        took: Math.round(now - details.sentAt),
        predicted: Math.round(choice.latency),
        slowness: Number((choice.latency / Math.max(1, choice.serviceLatency)).toFixed(1)),
        worth: Number(choice.worth.toFixed(2)),
        readTokens: choice.tokensToProcess,
        version: choice.version,
        named: details.desiredVersion,
        configuration: state.configuration?.version,
        events: details.events,
        statusAge: finiteOrAbsent(endpointState.statusAge(now)),
    });
}

function recordHealth(endpointState: EndpointState, outcome: AttemptOutcome, now: Milliseconds): void {
    switch (outcome.kind) {
        case "delivered":
            endpointState.health.recordSuccess();
            return;
        case "failed":
            endpointState.health.recordErrorAnswer();
            return;
        case "broken":
            endpointState.health.recordNoAnswer();
            return;
        case "notRun":
            endpointState.avoid(outcome.reached ? avoidanceAfterRefusal : avoidanceAfterConnectFailure, now);
            endpointState.recordConnectResult(outcome.reached);
            return;
        case "timedOut":
            endpointState.health.recordTimeout();
            return;
        case "callerGone":
            return;
    }
}

/** Dependencies of {@link recordSignals}. */
export interface SignalRecordContext {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: GatewayMetrics;
    readonly permits: EndpointPermits;
}

/** The head of an answer. */
export interface ReceivedHead {
    readonly status: number;
    readonly answer: AnswerMetadata;
    /** When the request was sent. */
    readonly sentAt: Milliseconds;
}

/** Records what an endpoint states in an answer about the requests that it wants. */
export function recordSignals(
    context: SignalRecordContext,
    request: DirectRequest,
    endpointState: EndpointState,
    { answer, sentAt, status }: ReceivedHead,
): void {
    const { clock, logger, metrics, permits } = context;
    const origin = { sentAt, isRefusal: answer.notRun || status === unavailableStatus };
    for (const { signal, value } of endpointState.signals.observe(answer.signals, origin, clock.now())) {
        metrics.recordSignal(signal);
        if (signal === EndpointSignal.NoLimit) {
            permits.reportNoLimit(endpointState);
        }
        logger.info("endpoint signal", {
            endpoint: endpointState.endpoint.instance,
            service: endpointState.endpoint.service,
            signal,
            value,
            request: request.metadata.attempt,
        });
    }
}

/** Records that a connection is closed since its endpoint sent too much that is no part of a body. */
export function recordExcess(
    { logger, metrics }: SignalRecordContext,
    request: DirectRequest,
    { endpoint }: EndpointState,
): void {
    metrics.recordExcess();
    logger.warn("endpoint sent too many bytes that are no part of a body", {
        endpoint: endpoint.instance,
        request: request.metadata.attempt,
    });
}

/** What is watched while an attempt runs. */
export interface AttemptMonitoring
    extends Pick<OwedAnswerOptions, "isBlocked" | "onOverdue">, MeasuredStream
{
    /** Of the route, which may be much slower than others of its service. */
    readonly targetLatency: Milliseconds;
}

/** The load of one request on its endpoint. */
export interface TrackedLoad {
    /** Removes the waiting tokens. */
    readonly recordAnswer: () => void;
    /** Removes all of the load. */
    readonly release: () => void;
}

/** Adds a request to its endpoint's load. */
export function trackLoad(
    clock: Clock,
    choice: Choice,
    monitoring: AttemptMonitoring,
): TrackedLoad {
    const { endpointState, tokensToProcess } = choice;
    const owed = endpointState.openAnswer({
        ...monitoring,
        sentAt: clock.now(),
        expectedLatency: Math.max(choice.latency, monitoring.targetLatency),
    });
    const endMemory = endpointState.openMemory(choice.memoryTokens, clock.now());
    let isWaiting = true;
    let endStream: (endedAt: Milliseconds) => void = () => {};
    endpointState.running += 1;
    endpointState.waitingTokens += tokensToProcess;
    const recordAnswer = () => {
        if (isWaiting) {
            isWaiting = false;
            endpointState.waitingTokens -= tokensToProcess;
        }
    };
    return {
        recordAnswer: () => {
            if (isWaiting) {
                endStream = endpointState.openStream(monitoring, clock.now());
            }
            recordAnswer();
            owed.begin(clock.now());
        },
        release: () => {
            owed.close();
            endStream(clock.now());
            endMemory(clock.now(), !isWaiting);
            recordAnswer();
            endpointState.running -= 1;
        },
    };
}

/** Log fields of a request that may have crashed its endpoint. */
function describeSuspect(request: DirectRequest, outcome: AttemptOutcome): Record<string, unknown> {
    return {
        crashed: true,
        begun: outcome.kind === "broken" && outcome.hasHead,
        fingerprint: request.fingerprint,
        parts: request.metadata.parts.map((part) => part.identifier).join(","),
    };
}

function outcomeDetail(outcome: AttemptOutcome): string | undefined {
    switch (outcome.kind) {
        case "notRun":
            return outcome.retryReason;
        case "failed":
            return `status ${outcome.answer.status}`;
        case "broken":
            return outcome.detail;
        default:
            return undefined;
    }
}

function finiteOrAbsent(value: number): number | undefined {
    return Number.isFinite(value) ? Math.round(value) : undefined;
}
