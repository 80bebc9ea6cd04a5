/**
 * Serves a checked request: reserves tokens, claims the call, makes attempts, answers the caller, and settles the claim
 * and the reservation.
 *
 * @module
 */
import type { AdmissionController, Reservation } from "@redwingpin/admission";
import { type Claim, type Claims, IsolationLevel, type Quarantine } from "@redwingpin/claims";
import {
    CallOutcome,
    type Clock,
    type Logger,
    type ReasonCounters,
    RefusalReason,
    RetryReason,
    runDecision,
} from "@redwingpin/common";
import type { RetryBudget } from "@redwingpin/placement";
import type { Head } from "@redwingpin/protocol";
import { ok, type Result } from "neverthrow";
import type { ServerResponse } from "node:http";
import { maxAttempts } from "../constants.js";
import type { AccountUsage } from "../decision/accountUsage.js";
import {
    type AttemptEffect,
    type AttemptEvent,
    attemptLoop,
    type AttemptOutcome,
    type RequestOutcome,
} from "../decision/attemptLoop.js";
import { notRun, type Refusal } from "../decision/refusal.js";
import { spentTokens } from "../decision/spentTokens.js";
import { AnswerRelay } from "./answerRelay.js";
import { type AttemptContext, AttemptRunner } from "./attemptRunner.js";
import { answerRefusal, answerReplay } from "./callerAnswer.js";
import type { CallerRequest } from "./callerRequest.js";
import type { ChosenAgent, RequestPlacement } from "./requestPlacement.js";
import { RequestEnd, type RequestMetrics } from "./routerMetrics.js";

/** Dependencies of the pipeline in its router. */
export interface PipelineContext {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly counters: ReasonCounters;
    readonly attempts: AttemptContext;
    readonly placement: RequestPlacement;
    readonly retryBudget: RetryBudget;
    readonly admission: AdmissionController;
    readonly claims: Claims;
    readonly quarantine: Quarantine;
    readonly metrics: RequestMetrics;
    readonly accountUsage: AccountUsage;
}

const quarantinedMessage = "requests with this body have crashed endpoints and are quarantined for some time";

/** Reservation for callers without a key on open routes, to whom no rate applies. */
const emptyReservation: Reservation = { tokens: 0, settle: () => {} };

/** Serves requests that have passed their checks. */
export class RequestPipeline {
    constructor(private readonly context: PipelineContext) {}

    /** Serves a request and answers the caller. */
    async serve(request: CallerRequest, response: ServerResponse): Promise<void> {
        const reservation = await this.admit(request);
        if (reservation.isErr()) {
            this.refuse(request, reservation.error, response);
            return;
        }
        if (request.route.idempotent || request.idempotencyKey === undefined) {
            await this.run(request, response, reservation.value, undefined);
            return;
        }
        await this.runClaimed(request, request.idempotencyKey, response, reservation.value);
    }

    private async admit(request: CallerRequest): Promise<Result<Reservation, Refusal>> {
        if (request.account === undefined) {
            return ok(emptyReservation);
        }
        const admitted = await this.context.admission.admit(request.account, request.tokens);
        return admitted.mapErr((refusal) =>
            notRun(refusal.reason, refusal.message, refusal.retryAfterMilliseconds)
        );
    }

    private async runClaimed(
        request: CallerRequest,
        idempotencyKey: string,
        response: ServerResponse,
        reservation: Reservation,
    ): Promise<void> {
        const decision = await this.context.claims.begin({
            account: request.account?.name,
            route: request.route.name,
            idempotencyKey,
            method: request.method,
            path: request.path,
            body: request.body,
        });
        switch (decision.kind) {
            case "run":
                return this.run(request, response, reservation, decision.claim);
            case "replay":
                reservation.settle(0);
                this.context.metrics.recordEnd(RequestEnd.Replayed);
                answerReplay(response, decision.answer);
                return;
            case "refuse": {
                reservation.settle(0);
                const { outcome } = decision;
                this.refuse(
                    request,
                    { reason: decision.reason, outcome, message: claimRefusalMessage(decision.reason) },
                    response,
                );
            }
        }
    }

    private async run(
        request: CallerRequest,
        response: ServerResponse,
        reservation: Reservation,
        claim: Claim | undefined,
    ): Promise<void> {
        const relay = new AnswerRelay(response, {
            isCompletionStream: request.completion?.stream === true,
            onFirstByte: () =>
                this.context.metrics.recordFirstByte(this.context.clock.now() - request.arrival),
        });
        const outcome = await this.runAttempts(request, relay, claim);
        const spent = spentTokens(request, outcome, relay.deliveredTokens, relay.bufferedAnswer()?.body);
        reservation.settle(spent);
        if (request.account !== undefined) {
            this.context.accountUsage.record(request.account.name, spent, this.context.clock.now());
        }
        if (claim !== undefined) {
            this.settleClaim(claim, outcome, relay);
        }
        this.recordOutcome(request, outcome, relay, response);
    }

    private runAttempts(
        request: CallerRequest,
        relay: AnswerRelay,
        claim: Claim | undefined,
    ): Promise<RequestOutcome> {
        const { placement, retryBudget, claims } = this.context;
        let chosen: ChosenAgent | undefined;
        const onHead = (head: Head) => {
            placement.observeHead(chosen!, head);
            this.context.metrics.recordBlocks(request.prefix.blocks.length, head.hitBlocks);
        };
        const runner = new AttemptRunner(this.context.attempts, request, relay, onHead);
        retryBudget.recordRequest();
        const perform = async (effect: AttemptEffect): Promise<AttemptEvent> => {
            switch (effect.kind) {
                case "choose":
                    chosen = this.needsIsolation(request)
                        ? placement.chooseIsolated(request, effect.excluded)
                        : placement.choose(request, effect.excluded);
                    return { kind: "chosen", instance: chosen?.machine.instance };
                case "spendRetry": {
                    const allowed = this.isExemptFromBudget(request, effect.reason) || retryBudget.trySpend();
                    if (allowed) {
                        this.context.counters.countRetry(effect.reason);
                    }
                    return { kind: "retry", allowed };
                }
                case "dispatch": {
                    const mayDispatch = () => claim === undefined || claims.mayDispatch(claim);
                    const outcome = await this.runAttempt(
                        runner,
                        request,
                        chosen!,
                        effect.attempt,
                        mayDispatch,
                    );
                    placement.observeOutcome(chosen!, outcome);
                    return { kind: "ended", outcome };
                }
            }
        };
        const options = { idempotent: request.route.idempotent, maxAttempts, pool: request.route.pool };
        return runDecision(attemptLoop(options), perform);
    }

    private needsIsolation(request: CallerRequest): boolean {
        return this.context.quarantine.isolationLevel(request.fingerprint) === IsolationLevel.Isolated;
    }

    private async runAttempt(
        runner: AttemptRunner,
        request: CallerRequest,
        chosen: ChosenAgent,
        attempt: number,
        mayDispatch: () => boolean,
    ): Promise<AttemptOutcome> {
        const { quarantine } = this.context;
        const level = quarantine.isolationLevel(request.fingerprint);
        if (level === IsolationLevel.Quarantined) {
            return { kind: "final", refusal: notRun(RefusalReason.Quarantined, quarantinedMessage) };
        }
        const isIsolated = level === IsolationLevel.Isolated;
        const outcome = await runner.run(chosen.machine, attempt, mayDispatch, isIsolated);
        if (isIsolated && outcome.kind === "delivered") {
            quarantine.recordIsolatedCompletion(request.fingerprint);
        }
        return outcome;
    }

    /**
     * Whether a retry can't multiply the load: a resumed stream doesn't repeat work whose result the caller has, and
     * after a crash each request that was running gets one attempt in isolation.
     */
    private isExemptFromBudget(request: CallerRequest, reason: RetryReason): boolean {
        return reason === RetryReason.StreamResumed || this.needsIsolation(request);
    }

    private settleClaim(claim: Claim, outcome: RequestOutcome, relay: AnswerRelay): void {
        const answer = outcome.kind === "answered" ? relay.bufferedAnswer() : undefined;
        if (answer !== undefined) {
            this.context.claims.finish(claim, answer);
            return;
        }
        const hasNotRun = outcome.kind === "refused" && outcome.refusal.outcome === CallOutcome.NotRun;
        this.context.claims.abandon(claim, hasNotRun);
    }

    private recordOutcome(
        request: CallerRequest,
        outcome: RequestOutcome,
        relay: AnswerRelay,
        response: ServerResponse,
    ): void {
        switch (outcome.kind) {
            case "answered":
                this.context.metrics.recordEnd(RequestEnd.Answered);
                this.context.logger.debug("answered", logFields(request));
                return;
            case "abandoned":
                this.context.metrics.recordEnd(RequestEnd.Abandoned);
                this.context.logger.debug("caller disconnected", logFields(request));
                return;
            case "refused":
                this.refuse(request, outcome.refusal, response);
                return;
            case "truncated":
                this.context.metrics.recordEnd(RequestEnd.Truncated);
                this.context.counters.countRefusal(outcome.refusal.reason);
                this.context.logger.warn("answer truncated", {
                    ...logFields(request),
                    reason: outcome.refusal.reason,
                });
                relay.truncate(outcome.refusal);
                return;
        }
    }

    private refuse(request: CallerRequest, refusal: Refusal, response: ServerResponse): void {
        this.context.metrics.recordEnd(RequestEnd.Refused);
        this.context.counters.countRefusal(refusal.reason);
        this.context.logger.info("refused", {
            ...logFields(request),
            reason: refusal.reason,
            outcome: refusal.outcome,
            detail: refusal.message,
        });
        answerRefusal(response, refusal);
    }
}

function claimRefusalMessage(reason: RefusalReason): string {
    switch (reason) {
        case RefusalReason.ClaimStoreUnavailable:
            return "the store did not record the claim in time; retry with the same idempotency key";
        case RefusalReason.IdempotencyKeyReused:
            return "the idempotency key was already used with another method, path or body";
        case RefusalReason.CallInProgress:
            return "a call with this idempotency key is in progress";
        default:
            return "the outcome of an earlier call with this idempotency key is unknown";
    }
}

function logFields(request: CallerRequest) {
    return {
        request: request.identifier,
        traceparent: request.traceparent,
        route: request.route.name,
        account: request.account?.name,
    };
}
