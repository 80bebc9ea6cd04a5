/**
 * Serves one checked request: tokens, claim, attempts, the caller's answer, and the settlement of both.
 *
 * @module
 */
import type { AdmissionController, Reservation } from "@redwingpin/admission";
import { type Claim, type Claims, type Quarantine, Treatment } from "@redwingpin/claims";
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
    type AttemptEnd,
    type AttemptEvent,
    attemptLoop,
    type RequestOutcome,
} from "../decision/attemptLoop.js";
import { notRun, type Refusal } from "../decision/refusal.js";
import { spentTokens } from "../decision/spentTokens.js";
import { AnswerRelay } from "./answerRelay.js";
import { type AttemptContext, AttemptRunner } from "./attemptRunner.js";
import type { CallerRequest } from "./callerRequest.js";
import { answerRefusal, answerReplay } from "./errorAnswer.js";
import type { ChosenAgent, RequestPlacement } from "./requestPlacement.js";
import { RequestEnd, type RequestMetrics } from "./routerMetrics.js";

/** What the pipeline needs from its router. */
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

const quarantinedMessage = "requests with this body have crashed endpoints; it is not run for a time";

/** A reservation for callers that no rate applies to: routes open to all, without a key. */
const freeReservation: Reservation = { tokens: 0, settle: () => {} };

/** Serves requests that passed their checks. */
export class RequestPipeline {
    constructor(private readonly context: PipelineContext) {}

    /** Runs a request to its end and answers the caller. */
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
            return ok(freeReservation);
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
                this.context.metrics.ended(RequestEnd.Replayed);
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
            onFirstByte: () => this.context.metrics.firstByte(this.context.clock.now() - request.arrival),
        });
        const outcome = await this.attempt(request, relay, claim);
        const spent = spentTokens(request, outcome, relay.deliveredTokens, relay.heldAnswer()?.body);
        reservation.settle(spent);
        if (request.account !== undefined) {
            this.context.accountUsage.record(request.account.name, spent, this.context.clock.now());
        }
        if (claim !== undefined) {
            this.concludeClaim(claim, outcome, relay);
        }
        this.conclude(request, outcome, relay, response);
    }

    private attempt(
        request: CallerRequest,
        relay: AnswerRelay,
        claim: Claim | undefined,
    ): Promise<RequestOutcome> {
        const { placement, retryBudget, claims } = this.context;
        let chosen: ChosenAgent | undefined;
        const onHead = (head: Head) => {
            placement.observeHead(chosen!, head);
            this.context.metrics.placed(request.prefix.blocks.length, head.hitBlocks);
        };
        const runner = new AttemptRunner(this.context.attempts, request, relay, onHead);
        retryBudget.recordRequest();
        const perform = async (effect: AttemptEffect): Promise<AttemptEvent> => {
            switch (effect.kind) {
                case "choose":
                    chosen = this.isApart(request)
                        ? placement.chooseApart(request, effect.excluded)
                        : placement.choose(request, effect.excluded);
                    return { kind: "chosen", instance: chosen?.machine.instance };
                case "spendRetry": {
                    const allowed = this.needsNoBudget(request, effect.reason) || retryBudget.trySpend();
                    if (allowed) {
                        this.context.counters.retried(effect.reason);
                    }
                    return { kind: "retry", allowed };
                }
                case "attempt": {
                    const mayDispatch = () => claim === undefined || claims.mayDispatch(claim);
                    const end = await this.attemptOnce(runner, request, chosen!, effect.attempt, mayDispatch);
                    placement.observeEnd(chosen!, end);
                    return { kind: "ended", end };
                }
            }
        };
        const plan = { idempotent: request.route.idempotent, maxAttempts, pool: request.route.pool };
        return runDecision(attemptLoop(plan), perform);
    }

    private isApart(request: CallerRequest): boolean {
        return this.context.quarantine.treatment(request.fingerprint) === Treatment.Apart;
    }

    private async attemptOnce(
        runner: AttemptRunner,
        request: CallerRequest,
        chosen: ChosenAgent,
        attempt: number,
        mayDispatch: () => boolean,
    ): Promise<AttemptEnd> {
        const { quarantine } = this.context;
        const treatment = quarantine.treatment(request.fingerprint);
        if (treatment === Treatment.Quarantined) {
            return { kind: "final", refusal: notRun(RefusalReason.Quarantined, quarantinedMessage) };
        }
        const apart = treatment === Treatment.Apart;
        const end = await runner.run(chosen.machine, attempt, mayDispatch, apart);
        if (apart && end.kind === "complete") {
            quarantine.completedApart(request.fingerprint);
        }
        return end;
    }

    /**
     * Retries that can not multiply load: a stream that goes on repeats no work that its caller already has, and a
     * crash gives each request that ran there one attempt apart.
     */
    private needsNoBudget(request: CallerRequest, reason: RetryReason): boolean {
        return reason === RetryReason.StreamResumed || this.isApart(request);
    }

    private concludeClaim(claim: Claim, outcome: RequestOutcome, relay: AnswerRelay): void {
        const answer = outcome.kind === "answered" ? relay.heldAnswer() : undefined;
        if (answer !== undefined) {
            this.context.claims.finish(claim, answer);
            return;
        }
        const certainlyNotRun = outcome.kind === "refused" && outcome.refusal.outcome === CallOutcome.NotRun;
        this.context.claims.abandon(claim, certainlyNotRun);
    }

    private conclude(
        request: CallerRequest,
        outcome: RequestOutcome,
        relay: AnswerRelay,
        response: ServerResponse,
    ): void {
        switch (outcome.kind) {
            case "answered":
                this.context.metrics.ended(RequestEnd.Answered);
                this.context.logger.debug("answered", logFields(request));
                return;
            case "abandoned":
                this.context.metrics.ended(RequestEnd.Abandoned);
                this.context.logger.debug("the caller has gone", logFields(request));
                return;
            case "refused":
                this.refuse(request, outcome.refusal, response);
                return;
            case "cut":
                this.context.metrics.ended(RequestEnd.Cut);
                this.context.counters.refused(outcome.refusal.reason);
                this.context.logger.warn("cut", { ...logFields(request), reason: outcome.refusal.reason });
                relay.cut(outcome.refusal);
                return;
        }
    }

    private refuse(request: CallerRequest, refusal: Refusal, response: ServerResponse): void {
        this.context.metrics.ended(RequestEnd.Refused);
        this.context.counters.refused(refusal.reason);
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
            return "the store did not record the call in time; send it again with the same idempotency key";
        case RefusalReason.IdempotencyKeyReused:
            return "the idempotency key was used before with another method, path or body";
        case RefusalReason.CallInProgress:
            return "a call with this idempotency key is running";
        default:
            return "a call with this idempotency key was begun before; what became of it is not known";
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
