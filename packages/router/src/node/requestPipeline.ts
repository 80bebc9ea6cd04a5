/**
 * Serves one checked request: attempts, the caller's answer and the counters.
 *
 * @module
 */
import { type Clock, type Logger, type ReasonCounters, runDecision } from "@redwingpin/common";
import type { RetryBudget } from "@redwingpin/placement";
import type { Head } from "@redwingpin/protocol";
import type { ServerResponse } from "node:http";
import { maxAttempts } from "../constants.js";
import {
    type AttemptEffect,
    type AttemptEvent,
    attemptLoop,
    type RequestOutcome,
} from "../decision/attemptLoop.js";
import { AnswerRelay } from "./answerRelay.js";
import { type AttemptContext, AttemptRunner } from "./attemptRunner.js";
import type { CallerRequest } from "./callerRequest.js";
import { answerRefusal } from "./errorAnswer.js";
import type { ChosenAgent, RequestPlacement } from "./requestPlacement.js";

/** What the pipeline needs from its router. */
export interface PipelineContext {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly counters: ReasonCounters;
    readonly attempts: AttemptContext;
    readonly placement: RequestPlacement;
    readonly retryBudget: RetryBudget;
}

/** Serves requests that passed their checks. */
export class RequestPipeline {
    constructor(private readonly context: PipelineContext) {}

    /** Makes attempts and answers the caller. */
    async serve(request: CallerRequest, response: ServerResponse): Promise<void> {
        const relay = new AnswerRelay(response, request.completion?.stream === true);
        const outcome = await this.attempt(request, relay);
        this.conclude(request, outcome, relay, response);
    }

    private attempt(request: CallerRequest, relay: AnswerRelay): Promise<RequestOutcome> {
        const { placement, retryBudget } = this.context;
        let chosen: ChosenAgent | undefined;
        const onHead = (head: Head) => placement.observeHead(chosen!, head);
        const runner = new AttemptRunner(this.context.attempts, request, relay, onHead);
        retryBudget.recordRequest();
        const perform = async (effect: AttemptEffect): Promise<AttemptEvent> => {
            switch (effect.kind) {
                case "choose":
                    chosen = placement.choose(request, effect.excluded);
                    return { kind: "chosen", instance: chosen?.machine.instance };
                case "spendRetry": {
                    const allowed = retryBudget.trySpend();
                    if (allowed) {
                        this.context.counters.retried(effect.reason);
                    }
                    return { kind: "retry", allowed };
                }
                case "attempt": {
                    const end = await runner.run(chosen!.machine, effect.attempt);
                    placement.observeEnd(chosen!, end);
                    return { kind: "ended", end };
                }
            }
        };
        const plan = { idempotent: request.route.idempotent, maxAttempts, pool: request.route.pool };
        return runDecision(attemptLoop(plan), perform);
    }

    private conclude(
        request: CallerRequest,
        outcome: RequestOutcome,
        relay: AnswerRelay,
        response: ServerResponse,
    ): void {
        const fields = {
            request: request.identifier,
            route: request.route.name,
            account: request.account?.name,
        };
        switch (outcome.kind) {
            case "answered":
                this.context.logger.debug("answered", fields);
                return;
            case "abandoned":
                this.context.logger.debug("the caller has gone", fields);
                return;
            case "refused":
                this.context.counters.refused(outcome.refusal.reason);
                this.context.logger.info("refused", {
                    ...fields,
                    reason: outcome.refusal.reason,
                    outcome: outcome.refusal.outcome,
                });
                answerRefusal(response, outcome.refusal);
                return;
            case "cut":
                this.context.counters.refused(outcome.refusal.reason);
                this.context.logger.warn("cut", { ...fields, reason: outcome.refusal.reason });
                relay.cut(outcome.refusal);
                return;
        }
    }
}
