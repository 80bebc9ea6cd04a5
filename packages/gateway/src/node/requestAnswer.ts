/**
 * Sends a caller the outcome of its request.
 *
 * @module
 */
import { type Clock, RefusalReason } from "@redwingpin/common";
import type { ServerResponse } from "node:http";
import type { FailedAnswer, RequestOutcome } from "../decision/attemptPlan.js";
import type { HeaderCodec } from "../headerCodec.js";
import { writeOwnAnswer, writeWholeAnswer } from "./answerWriter.js";
import { notRunStatuses, type StreamProgress } from "./attempt.js";
import type { DirectRequest } from "./callerRequest.js";
import type { GatewayMetrics } from "./gatewayMetrics.js";

/** Dependencies of {@link answerRequest}. */
export interface RequestAnswerContext {
    readonly clock: Clock;
    readonly headerCodec: HeaderCodec;
    readonly metrics: GatewayMetrics;
}

/** Sends the caller the outcome of its request, unless it has the answer already; returns the outcome. */
export function answerRequest(
    context: RequestAnswerContext,
    request: DirectRequest,
    response: ServerResponse,
    progress: StreamProgress,
    outcome: RequestOutcome,
): RequestOutcome {
    const { clock, headerCodec, metrics } = context;
    metrics.recordEnd(request.route.name, outcome.kind, clock.now() - request.arrival);
    const headers = headerCodec.ownAnswerHeaders(request.metadata.attempt);
    switch (outcome.kind) {
        case "delivered":
        case "callerGone":
            return outcome;
        case "refused": {
            metrics.recordRefusal(outcome.reason);
            const message = `the request was not run: ${outcome.reason}`;
            const { retryAfter } = outcome;
            writeOwnAnswer(response, { status: 503, code: outcome.reason, message, retryAfter, headers });
            return outcome;
        }
        case "unknown":
            answerUnknownOutcome(response, progress, outcome, headers);
            return outcome;
        case "failed":
            forwardFailure(response, progress, outcome.answer, headers);
            return outcome;
    }
}

function answerUnknownOutcome(
    response: ServerResponse,
    progress: StreamProgress,
    outcome: RequestOutcome & { kind: "unknown"; },
    headers: Record<string, string>,
): void {
    if (progress.started) {
        // An interrupted stream must not look complete.
        response.destroy();
        return;
    }
    writeOwnAnswer(response, {
        status: outcome.timedOut ? 504 : 502,
        code: outcome.timedOut ? RefusalReason.DeadlineExceeded : RefusalReason.OutcomeUnknown,
        message: `the request may have run: ${outcome.detail}`,
        headers,
    });
}

function forwardFailure(
    response: ServerResponse,
    progress: StreamProgress,
    answer: FailedAnswer,
    headers: Record<string, string>,
): void {
    if (progress.started) {
        response.destroy();
    }
    else if (notRunStatuses.has(answer.status)) {
        // The status means that the request has not run, which the endpoint did not state.
        writeOwnAnswer(response, {
            status: 502,
            code: RefusalReason.EndpointFailed,
            message:
                `the endpoint answered status ${answer.status} without stating whether it ran the request`,
            headers,
        });
    }
    else {
        writeWholeAnswer(response, answer.status, answer.rawHeaders, answer.body);
    }
}
