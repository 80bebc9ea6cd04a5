/**
 * Serves one checked request: plans its attempts, records their load and outcomes, and answers the caller.
 *
 * @module
 */
import {
    type Clock,
    type Logger,
    type Milliseconds,
    RefusalReason,
    type RetryReason,
    runDecision,
} from "@redwingpin/common";
import type { CrashTracker, FleetState } from "@redwingpin/fleet";
import type { ServerResponse } from "node:http";
import type { AnswerBuffers } from "../decision/answerBuffers.js";
import {
    type AttemptEffect,
    type AttemptEvent,
    planAttempts,
    type RequestOutcome,
} from "../decision/attemptPlan.js";
import type { DemandTracker } from "../decision/demandTracker.js";
import {
    type Choice,
    chooseEndpoint,
    type PromptNeeds,
    type WeightsBounds,
} from "../decision/endpointChoice.js";
import type { EndpointState, EndpointTable } from "../decision/endpointTable.js";
import type { FleetRetryBudget } from "../decision/fleetRetryBudget.js";
import type { PrefixIndex } from "../decision/prefixIndex.js";
import { PrefixPlacement } from "../decision/prefixPlacement.js";
import type { AnswerMetadata, DispatchMetadata, HeaderCodec } from "../headerCodec.js";
import { endToEndHeaders, writeOwnAnswer, writeWholeAnswer } from "./answerWriter.js";
import { notRunStatuses, runAttempt, type StreamProgress } from "./attempt.js";
import { recordAttempt, recordExcess, recordSignals, trackLoad } from "./attemptRecord.js";
import type { DirectRequest } from "./callerRequest.js";
import type { CrashProbe } from "./crashProbe.js";
import type { EndpointConnections } from "./endpointConnections.js";
import type { EndpointPermits } from "./endpointPermits.js";
import type { GatewayMetrics } from "./gatewayMetrics.js";
import { type PromptContext, readPromptContext } from "./promptContext.js";
import { RequestCrashes } from "./requestCrashes.js";
import { detectStalls } from "./stallDetector.js";

/** Share of an engine's cache that all routers together rely on. */
const usableCacheShare = 0.6;

/** Retry delay for callers when no endpoint can take a request. */
const noEndpointRetryAfter: Milliseconds = 400;

/** Dependencies of all requests. */
export interface RequestContext {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly headerCodec: HeaderCodec;
    readonly dataCentre: string;
    readonly state: FleetState;
    readonly endpointTable: EndpointTable;
    readonly prefixIndex: PrefixIndex;
    readonly connections: EndpointConnections;
    readonly permits: EndpointPermits;
    readonly answerBuffers: AnswerBuffers;
    readonly crashProbe: CrashProbe;
    readonly retryBudget: FleetRetryBudget;
    readonly crashTracker: CrashTracker;
    readonly demandTracker: DemandTracker;
    readonly weightsBounds: () => WeightsBounds;
    readonly metrics: GatewayMetrics;
    /** Number of live routers, including this one. */
    readonly routerCount: () => number;
    /** Returns a random number that is at least 0 and less than 1. */
    readonly random: () => number;
}

/** Serves a request to its end. */
export async function serveRequest(
    context: RequestContext,
    request: DirectRequest,
    response: ServerResponse,
): Promise<RequestOutcome> {
    const task = new RequestTask(context, request, response);
    return task.run();
}

class RequestTask {
    private readonly tried = new Set<string>();
    private readonly progress: StreamProgress;
    private readonly crashes: RequestCrashes;
    private readonly prompt: PromptContext | undefined;
    private readonly placement: PrefixPlacement | undefined;
    private attempts = 0;

    constructor(
        private readonly context: RequestContext,
        private readonly request: DirectRequest,
        private readonly response: ServerResponse,
    ) {
        this.progress = { started: false, lastEvent: request.metadata.lastEvent, events: 0 };
        this.crashes = new RequestCrashes(context, request);
        this.prompt = readPromptContext(request, context.state);
        this.placement = this.prompt && new PrefixPlacement({
            prefixIndex: context.prefixIndex,
            endpointStates: () => context.endpointTable.ofService(request.service.name),
            model: this.prompt.model,
            parts: request.metadata.parts,
            scope: this.prompt.scope,
            megabitsPerSecond: request.service.engine?.linkMegabitsPerSecond,
            bytesPerToken: request.service.engine?.bytesPerToken ?? 0,
        });
    }

    async run(): Promise<RequestOutcome> {
        const { context, request } = this;
        const now = context.clock.now();
        const refusedUntil = this.crashes.refusedUntil(now);
        if (refusedUntil !== undefined) {
            const retryAfter = refusedUntil - now;
            return this.answer({ kind: "refused", reason: RefusalReason.Quarantined, retryAfter });
        }
        context.retryBudget.recordRequest(request.service.name, now);
        const { repeatable, attempts } = request.route;
        const outcome = await runDecision(
            planAttempts({ repeatable, attempts }),
            (effect) => this.perform(effect),
        );
        return this.answer(outcome);
    }

    private perform(effect: AttemptEffect): AttemptEvent | Promise<AttemptEvent> {
        switch (effect.kind) {
            case "choose":
                return this.choose();
            case "spendRetry":
                return { kind: "retry", allowed: this.spendRetry(effect.reason) };
            case "dispatch":
                return this.dispatch(effect.choice);
        }
    }

    /**
     * Selects an endpoint, and obtains a permit if it limits its requests. The time limit may have passed while the request
     * waited for other routers.
     */
    private async choose(): Promise<AttemptEvent> {
        const { clock, permits } = this.context;
        const isLate = () => clock.now() >= this.request.deadline;
        while (this.crashes.refusedUntil(clock.now()) === undefined && !isLate()) {
            const choice = this.chooseCandidate(clock.now());
            if (choice === undefined) {
                break;
            }
            if (await permits.acquire(choice) && !isLate()) {
                return { kind: "chosen", choice };
            }
        }
        return isLate()
            ? { kind: "noneAvailable", reason: RefusalReason.DeadlineExceeded, retryAfter: 0 }
            : this.noneAvailable();
    }

    private noneAvailable(): AttemptEvent {
        const { clock, endpointTable, random } = this.context;
        const now = clock.now();
        const nextRequestAt = Math.min(
            ...endpointTable.ofService(this.request.service.name).map((endpointState) =>
                endpointState.signals.nextRequestAt(now) ?? Infinity
            ),
        );
        if (!Number.isFinite(nextRequestAt)) {
            return {
                kind: "noneAvailable",
                reason: RefusalReason.NoEndpoint,
                retryAfter: noEndpointRetryAfter,
            };
        }
        const retryAfter = Math.max(noEndpointRetryAfter, nextRequestAt - now) * (1 + random());
        return { kind: "noneAvailable", reason: RefusalReason.EndpointsLimited, retryAfter };
    }

    private chooseCandidate(now: Milliseconds): Choice | undefined {
        const { endpointTable, dataCentre, weightsBounds } = this.context;
        const { service } = this.request;
        return chooseEndpoint({
            endpointStates: endpointTable.ofService(service.name),
            now,
            dataCentre,
            speed: endpointTable.speed(service.name),
            targetLatency: this.request.route.targetLatency,
            elapsed: now - this.request.arrival,
            tried: this.tried,
            prompt: this.promptNeeds(now),
            bounds: weightsBounds(),
        });
    }

    private promptNeeds(now: Milliseconds): PromptNeeds | undefined {
        const { placement, prompt } = this;
        if (prompt === undefined || placement === undefined) {
            return undefined;
        }
        return {
            model: prompt.model,
            desiredWeights: prompt.desiredWeights,
            promptTokens: this.request.metadata.promptTokens,
            outputTokens: this.request.metadata.outputTokens,
            reusable: (endpointState, version) => {
                const { cached, fetchable, ...rest } = placement.sourceFor(endpointState, version, now);
                return { tokens: cached + fetchable, ...rest };
            },
        };
    }

    private spendRetry(reason: RetryReason): boolean {
        const { clock, logger, metrics, retryBudget, routerCount } = this.context;
        const allowed = retryBudget.trySpend(this.request.service.name, routerCount(), clock.now());
        metrics.recordRetry(reason, allowed);
        logger.info("retry", { request: this.request.metadata.attempt, reason, allowed });
        return allowed;
    }

    private async dispatch(choice: Choice): Promise<AttemptEvent> {
        const { clock, headerCodec } = this.context;
        const { request } = this;
        const { endpoint } = choice.endpointState;
        const sentAt = clock.now();
        this.attempts += 1;
        this.tried.add(endpoint.instance);
        this.context.demandTracker.record(request.service.name, choice.tokensToProcess, sentAt);
        const tokensAhead = choice.endpointState.waitingTokens;
        const load = trackLoad(choice);
        let firstAnswerAt: Milliseconds | undefined;
        const metadata = this.createDispatchMetadata(choice, sentAt);
        const stopStallDetection = detectStalls(clock, this.context.logger, {
            request: request.metadata.attempt,
            endpoint: endpoint.instance,
            events: () => this.progress.events,
        });
        const outcome = await runAttempt({
            clock,
            headerCodec,
            request,
            response: this.response,
            choice,
            exchange: {
                endpoint,
                method: request.method,
                url: request.url,
                headers: this.endpointHeaders(metadata),
                body: request.body,
                agent: this.context.connections.agentOf(endpoint, request.service.maxConnections),
            },
            progress: this.progress,
            answerBuffers: this.context.answerBuffers,
            observer: {
                onHead: (status, answer) =>
                    recordSignals(this.context, request, choice.endpointState, { status, answer, sentAt }),
                onBegin: () => this.crashes.recordBegin(),
                onFirstAnswer: (answer) => {
                    load.recordAnswer();
                    firstAnswerAt = clock.now();
                    this.recordFirstAnswer(choice, metadata, answer, clock.now() - sentAt, tokensAhead === 0);
                },
                onExcess: () => recordExcess(this.context, request, choice.endpointState),
                onWeightsMismatch: (answer) => this.recordWeights(choice.endpointState, answer),
            },
        }).finally(stopStallDetection).finally(() => load.release());
        if (outcome.kind === "delivered" && firstAnswerAt !== undefined) {
            const speed = this.context.endpointTable.speed(request.service.name);
            speed.observeStream(request.metadata.outputTokens, clock.now() - firstAnswerAt);
        }
        recordAttempt(this.context, request, choice, outcome, {
            number: this.attempts,
            sentAt,
            hasCrashedEndpoint: await this.crashes.recordEnd(endpoint, outcome, sentAt),
            events: this.progress.events,
            desiredVersion: this.prompt?.desiredWeights?.version,
        });
        return { kind: "ended", outcome };
    }

    private createDispatchMetadata(choice: Choice, now: Milliseconds): DispatchMetadata {
        const { placement, prompt, request } = this;
        const resumed = this.progress.started ? this.progress.lastEvent : undefined;
        const common: DispatchMetadata = {
            instance: choice.endpointState.endpoint.instance,
            timeLeft: Math.max(1, Math.floor(request.deadline - now)),
            account: request.account?.name,
            priority: request.account?.priority ?? request.route.priority,
            lastEvent: resumed,
        };
        if (prompt === undefined || placement === undefined) {
            return common;
        }
        return {
            ...common,
            cacheScope: prompt.scope(choice.version),
            expectedVersion: choice.version,
            fetchFrom: placement.sourceFor(choice.endpointState, choice.version, now).source?.address,
            saveTo: placement.saveTo(choice.version),
        };
    }

    private endpointHeaders(metadata: DispatchMetadata): string[] {
        const { body, method, rawHeaders } = this.request;
        const fields = this.context.headerCodec.endpointHeaders(endToEndHeaders(rawHeaders), metadata);
        const kept: string[] = [];
        for (let index = 0; index < fields.length; index += 2) {
            const name = fields[index].toLowerCase();
            if (name !== "content-length" && name !== "expect") {
                kept.push(fields[index], fields[index + 1]);
            }
        }
        if (body.length > 0 || (method !== "GET" && method !== "HEAD")) {
            kept.push("content-length", String(body.length));
        }
        return kept;
    }

    private recordFirstAnswer(
        choice: Choice,
        metadata: DispatchMetadata,
        answer: AnswerMetadata,
        latency: Milliseconds,
        hadNoQueue: boolean,
    ): void {
        const { endpointTable, clock, prefixIndex, metrics, routerCount } = this.context;
        const { placement, prompt, request } = this;
        metrics.recordFirstAnswer(request.route.name, clock.now() - request.arrival);
        if (hadNoQueue && choice.likelyCachedTokens === 0) {
            const speed = endpointTable.speed(request.service.name);
            speed.observe(choice.tokensToProcess, latency, choice.fetchTime);
        }
        if (prompt === undefined || placement === undefined) {
            return;
        }
        if (answer.weightsVersion !== undefined) {
            choice.endpointState.observeWeights(prompt.model, answer.weightsVersion, clock.now());
        }
        const { parts } = request.metadata;
        const names = placement.namesOf(choice.version);
        const cacheTokens = request.service.engine?.cacheTokens ?? 0;
        prefixIndex.recordProcessed(
            choice.endpointState.endpoint.instance,
            names,
            parts,
            cacheTokens * usableCacheShare / routerCount(),
        );
        if (metadata.saveTo !== undefined) {
            prefixIndex.recordSaved(names, parts);
        }
    }

    private recordWeights(endpointState: EndpointState, answer: AnswerMetadata): void {
        if (answer.weightsVersion !== undefined && this.prompt !== undefined) {
            endpointState.observeWeights(this.prompt.model, answer.weightsVersion, this.context.clock.now());
        }
    }

    /** Sends the caller the outcome of its request. */
    private answer(outcome: RequestOutcome): RequestOutcome {
        const { clock, headerCodec, metrics } = this.context;
        const { response, request } = this;
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
                this.answerUnknownOutcome(outcome, headers);
                return outcome;
            case "failed":
                this.forwardFailure(outcome.answer, headers);
                return outcome;
        }
    }

    private answerUnknownOutcome(
        outcome: RequestOutcome & { kind: "unknown"; },
        headers: Record<string, string>,
    ): void {
        if (this.progress.started) {
            // An interrupted stream must not look complete.
            this.response.destroy();
            return;
        }
        writeOwnAnswer(this.response, {
            status: outcome.timedOut ? 504 : 502,
            code: outcome.timedOut ? RefusalReason.DeadlineExceeded : RefusalReason.OutcomeUnknown,
            message: `the request may have run: ${outcome.detail}`,
            headers,
        });
    }

    private forwardFailure(
        answer: {
            readonly status: number;
            readonly rawHeaders: readonly string[];
            readonly body: readonly Buffer[];
        },
        headers: Record<string, string>,
    ): void {
        if (this.progress.started) {
            this.response.destroy();
        }
        else if (notRunStatuses.has(answer.status)) {
            // The status means that the request has not run, which the endpoint did not state.
            writeOwnAnswer(this.response, {
                status: 502,
                code: RefusalReason.EndpointFailed,
                message:
                    `the endpoint answered status ${answer.status} without stating whether it ran the request`,
                headers,
            });
        }
        else {
            writeWholeAnswer(this.response, answer.status, answer.rawHeaders, answer.body);
        }
    }
}
