/**
 * Refuses requests, and answers those that failed inside the router.
 *
 * @module
 */
import {
    canDiscard,
    endAfterBody,
    endWithConnection,
    type Logger,
    type Milliseconds,
    RefusalReason,
} from "@redwingpin/common";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { HeaderCodec } from "../headerCodec.js";
import { writeOwnAnswer } from "./answerWriter.js";
import type { CheckFailure } from "./callerChecks.js";
import type { GatewayMetrics } from "./gatewayMetrics.js";

/** Where a request spent its time before it was served, in milliseconds, for its log line. */
export interface RequestTimings {
    /** From its arrival until its body was read. */
    read?: Milliseconds;
    /** In the queue of complete requests. */
    queued?: Milliseconds;
    /** Charging its account, which may wait for other routers. */
    charged?: Milliseconds;
}

/** Dependencies of {@link RequestRefusals}. */
export interface RequestRefusalsContext {
    readonly logger: Logger;
    readonly metrics: GatewayMetrics;
    readonly headerCodec: HeaderCodec;
}

/** Answers that the router gives to requests that it does not serve. */
export class RequestRefusals {
    constructor(private readonly context: RequestRefusalsContext) {}

    /** Answers a request that failed by a fault of the router: it may have run. */
    answerInternalError(
        request: IncomingMessage,
        response: ServerResponse,
        error: unknown,
        attempt: string | undefined,
    ): void {
        const { headerCodec, logger, metrics } = this.context;
        metrics.recordInternalError();
        logger.error("request failed with an internal error", { request: attempt, error: String(error) });
        if (response.headersSent) {
            // An interrupted answer must not look complete.
            response.destroy();
            return;
        }
        metrics.recordRefusal(RefusalReason.OutcomeUnknown);
        // Fields of the answer that could not be passed on.
        response.getHeaderNames().filter((name) => name !== "connection")
            .forEach((name) => response.removeHeader(name));
        if (!request.complete) {
            response.setHeader("connection", "close");
        }
        writeOwnAnswer(response, {
            status: 502,
            code: RefusalReason.OutcomeUnknown,
            message: "the request failed inside the router; it may have run",
            headers: headerCodec.ownAnswerHeaders(attempt),
        });
    }

    /** Answers a request that has not run and will not. */
    refuse(
        request: IncomingMessage,
        response: ServerResponse,
        failure: CheckFailure,
        timings: RequestTimings = {},
    ): void {
        const { headerCodec, logger, metrics } = this.context;
        metrics.recordRefusal(failure.reason);
        if (failure.hasYielded === true) {
            metrics.clientLimits.recordYieldedBody();
        }
        logger.info("refused", {
            request: failure.attempt,
            reason: failure.reason,
            status: failure.status,
            detail: failure.message,
            account: failure.account,
            tokens: failure.tokens,
            tokensLeft: failure.level,
            untold: failure.needsReport,
            retryAfter: failure.retryAfter === undefined ? undefined : Math.round(failure.retryAfter),
            ...roundedTimings(timings),
        });
        const isComplete = request.complete;
        const closes = !isComplete && failure.hasYielded === true;
        if (closes || !isComplete && !canDiscard(request)) {
            response.setHeader("connection", "close");
        }
        const endUnread = () =>
            closes ? endWithConnection(request, response) : endAfterBody(request, response);
        writeOwnAnswer(response, {
            status: failure.status,
            code: failure.reason,
            message: failure.message,
            retryAfter: failure.retryAfter,
            headers: headerCodec.ownAnswerHeaders(failure.attempt),
        }, isComplete ? undefined : endUnread);
    }
}

/** Timings as fields of a log line. */
export function roundedTimings(timings: RequestTimings): Record<string, number> {
    return Object.fromEntries(Object.entries(timings).map(([name, value]) => [name, Math.round(value)]));
}
