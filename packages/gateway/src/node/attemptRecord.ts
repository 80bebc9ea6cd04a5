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
const refusedPause: Milliseconds = 250;

/** An endpoint that could not be reached is left out for this long. */
const unreachablePause: Milliseconds = 1_000;

/** Where attempts are recorded. */
export interface AttemptBooks {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly board: EndpointTable;
    readonly crashes: CrashTracker;
    readonly state: FleetState;
}

/** Facts of one attempt beside its choice and outcome. */
export interface AttemptFacts {
    readonly number: number;
    readonly sentAt: Milliseconds;
    /** Events that the caller has. */
    readonly events: number;
    /** Version of the weights that should run. */
    readonly namedVersion: number | undefined;
}

/** Records how an attempt ended. */
export function recordAttempt(
    books: AttemptBooks,
    request: DirectRequest,
    choice: Choice,
    outcome: AttemptOutcome,
    facts: AttemptFacts,
): void {
    const { board, clock, crashes, logger, state } = books;
    const { view } = choice;
    const now = clock.now();
    recordHealth(view, outcome, now);
    const peers = board.ofService(request.service.name).map((peer) => peer.health);
    if (view.health.ejectIfBad(peers, now)) {
        logger.warn("endpoint left out", {
            endpoint: view.endpoint.instance,
            service: request.service.name,
            failing: view.health.failing,
        });
    }
    if (outcome.kind === "broken") {
        crashes.recordCrash(request.fingerprint, view.endpoint.instance, now);
    }
    logger.info("attempt", {
        request: request.facts.attempt,
        attempt: facts.number,
        endpoint: view.endpoint.instance,
        outcome: outcome.kind,
        detail: outcomeDetail(outcome),
        took: Math.round(now - facts.sentAt),
        predicted: Math.round(choice.latency),
        worth: Number(choice.worth.toFixed(2)),
        readTokens: choice.readTokens,
        version: choice.version,
        named: facts.namedVersion,
        configuration: state.configuration?.version,
        events: facts.events,
        statusAge: finiteOrAbsent(view.statusAge(now)),
    });
}

function recordHealth(view: EndpointState, outcome: AttemptOutcome, now: Milliseconds): void {
    switch (outcome.kind) {
        case "delivered":
            view.health.recordSuccess();
            return;
        case "failed":
            view.health.recordFailure();
            return;
        case "broken":
            view.health.recordBroken();
            return;
        case "notRun":
            view.avoid(outcome.reached ? refusedPause : unreachablePause, now);
            view.observeReach(outcome.reached);
            return;
        case "timedOut":
            view.health.recordSilence();
            return;
        case "callerGone":
            return;
    }
}

/** Counts a request at its endpoint until it is over. */
export function openBook(choice: Choice): { answered: () => void; close: () => void; } {
    const { view, readTokens } = choice;
    let waiting = true;
    view.running += 1;
    view.waitingTokens += readTokens;
    const answered = () => {
        if (waiting) {
            waiting = false;
            view.waitingTokens -= readTokens;
        }
    };
    return {
        answered,
        close: () => {
            answered();
            view.running -= 1;
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
