/**
 * The books of attempts: what runs where, how each attempt ended, and its line in the log.
 *
 * @module
 */
import type { Clock, Logger, Milliseconds } from "@redwingpin/common";
import type { FleetState } from "@redwingpin/fleet";
import type { AttemptOutcome } from "../decision/attemptPlan.js";
import type { CrashTracker } from "../decision/crashTracker.js";
import type { Choice } from "../decision/endpointChoice.js";
import type { EndpointState, EndpointTable } from "../decision/endpointTable.js";
import type { DirectRequest } from "./callerRequest.js";

/** An endpoint that refused a request as full or busy is left out for this long. */
const avoidanceAfterRefusal: Milliseconds = 250;

/** An endpoint that could not be reached is left out for this long. */
const avoidanceAfterConnectFailure: Milliseconds = 1_000;

/** Where attempts are recorded. */
export interface AttemptRecordContext {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly endpointTable: EndpointTable;
    readonly crashTracker: CrashTracker;
    readonly state: FleetState;
}

/** Facts of one attempt beside its choice and outcome. */
export interface AttemptDetails {
    readonly number: number;
    readonly sentAt: Milliseconds;
    /** Events that the caller has. */
    readonly events: number;
    /** Version of the weights that should run. */
    readonly desiredVersion: number | undefined;
}

/** Records how an attempt ended. */
export function recordAttempt(
    context: AttemptRecordContext,
    request: DirectRequest,
    choice: Choice,
    outcome: AttemptOutcome,
    details: AttemptDetails,
): void {
    const { endpointTable, clock, crashTracker, logger, state } = context;
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
    if (outcome.kind === "broken") {
        crashTracker.recordCrash(request.fingerprint, endpointState.endpoint.instance, now);
    }
    logger.info("attempt", {
        request: request.metadata.attempt,
        attempt: details.number,
        endpoint: endpointState.endpoint.instance,
        outcome: outcome.kind,
        detail: outcomeDetail(outcome),
        took: Math.round(now - details.sentAt),
        predicted: Math.round(choice.latency),
        worth: Number(choice.worth.toFixed(2)),
        readTokens: choice.readTokens,
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

/** Counts a request at its endpoint until it is over. */
export function trackLoad(choice: Choice): { recordAnswer: () => void; release: () => void; } {
    const { endpointState, readTokens } = choice;
    let isWaiting = true;
    endpointState.running += 1;
    endpointState.waitingTokens += readTokens;
    const recordAnswer = () => {
        if (isWaiting) {
            isWaiting = false;
            endpointState.waitingTokens -= readTokens;
        }
    };
    return {
        recordAnswer,
        release: () => {
            recordAnswer();
            endpointState.running -= 1;
        },
    };
}

function outcomeDetail(outcome: AttemptOutcome): string | undefined {
    switch (outcome.kind) {
        case "notRun":
            return outcome.reason;
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
