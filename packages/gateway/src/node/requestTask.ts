/**
 * Serves one checked request: plans its attempts, keeps the books of what is sent where, and answers the caller.
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
import type { FleetState } from "@redwingpin/fleet";
import type { ServerResponse } from "node:http";
import {
    type AttemptEffect,
    type AttemptEvent,
    planAttempts,
    type RequestOutcome,
} from "../decision/attemptPlan.js";
import type { CrashTracker } from "../decision/crashTracker.js";
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
import { openBook, recordAttempt } from "./attemptRecord.js";
import type { DirectRequest } from "./callerRequest.js";
import type { EndpointConnections } from "./endpointConnections.js";
import type { GatewayMetrics } from "./gatewayMetrics.js";
import { type PromptFacts, promptFacts } from "./promptFacts.js";
import { watchForStalls } from "./stallWatch.js";

/** Time to fetch a token of a cached prefix from a cache store; its link carries 22 Gbit/s. */
const storeFetchPerToken: Milliseconds = 0.007;

/** Time to fetch a token of a cached prefix from another replica; links between replicas carry 280 Gbit/s. */
const replicaFetchPerToken: Milliseconds = 0.001;

/** Part of an engine's cache that all routers together count on. */
const countedCacheShare = 0.6;

/** When to come back where no endpoint can take a request now. */
const noEndpointRetryAfter: Milliseconds = 400;

/** What every request needs. */
export interface RequestContext {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly dialect: HeaderCodec;
    readonly dataCentre: string;
    readonly state: FleetState;
    readonly board: EndpointTable;
    readonly homes: PrefixIndex;
    readonly connections: EndpointConnections;
    readonly retries: FleetRetryBudget;
    readonly crashes: CrashTracker;
    readonly demand: DemandTracker;
    readonly weightsBounds: () => WeightsBounds;
    readonly metrics: GatewayMetrics;
    /** Routers in touch, this one included. */
    readonly routers: () => number;
    /** Random number from 0 up to, not including, 1. */
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
    private readonly prompt: PromptFacts | undefined;
    private readonly placement: PrefixPlacement | undefined;
    private attempts = 0;

    constructor(
        private readonly context: RequestContext,
        private readonly request: DirectRequest,
        private readonly response: ServerResponse,
    ) {
        this.progress = { started: false, lastEvent: request.facts.lastEvent, events: 0 };
        this.prompt = promptFacts(request, context.state);
        this.placement = this.prompt && new PrefixPlacement({
            homes: context.homes,
            views: () => context.board.ofService(request.service.name),
            model: this.prompt.model,
            parts: request.facts.parts,
            scope: this.prompt.scope,
        });
    }

    async run(): Promise<RequestOutcome> {
        const { context, request } = this;
        const now = context.clock.now();
        if (context.crashes.isRefused(request.fingerprint, now)) {
            return this.answer({
                kind: "refused",
                reason: RefusalReason.Quarantined,
                retryAfter: request.deadline - now,
            });
        }
        context.retries.recordRequest(request.service.name, now);
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
                return { kind: "chosen", choice: this.choose(), retryAfter: noEndpointRetryAfter };
            case "takeRetry":
                return { kind: "retryTaken", allowed: this.takeRetry(effect.reason) };
            case "dispatch":
                return this.dispatch(effect.choice);
        }
    }

    private choose(): Choice | undefined {
        const { board, clock, dataCentre, weightsBounds } = this.context;
        const { service } = this.request;
        const now = clock.now();
        return chooseEndpoint({
            views: board.ofService(service.name),
            now,
            dataCentre,
            speed: board.speed(service.name),
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
            named: prompt.named,
            promptTokens: this.request.facts.promptTokens,
            outputTokens: this.request.facts.outputTokens,
            ready: (view, version) => {
                const { cached, fetched, hoped, source } = placement.sourceFor(view, version, now);
                const perToken = source?.isStore === true ? storeFetchPerToken : replicaFetchPerToken;
                return { tokens: cached + fetched, hoped, fetchTime: fetched * perToken };
            },
        };
    }

    private takeRetry(reason: RetryReason): boolean {
        const { clock, logger, metrics, retries, routers } = this.context;
        const allowed = retries.tryRetry(this.request.service.name, routers(), clock.now());
        metrics.retried(reason, allowed);
        logger.info("retry", { request: this.request.facts.attempt, reason, allowed });
        return allowed;
    }

    private async dispatch(choice: Choice): Promise<AttemptEvent> {
        const { clock, dialect } = this.context;
        const { request } = this;
        const { endpoint } = choice.view;
        const sentAt = clock.now();
        this.attempts += 1;
        this.tried.add(endpoint.instance);
        this.context.demand.record(request.service.name, choice.readTokens, sentAt);
        const waitedBehind = choice.view.waitingTokens;
        const book = openBook(choice);
        let firstAt: Milliseconds | undefined;
        const facts = this.dispatchFacts(choice, sentAt);
        const endWatch = watchForStalls(clock, this.context.logger, {
            request: request.facts.attempt,
            endpoint: endpoint.instance,
            events: () => this.progress.events,
        });
        const outcome = await runAttempt({
            clock,
            dialect,
            request,
            response: this.response,
            choice,
            exchange: {
                endpoint,
                method: request.method,
                url: request.url,
                headers: this.endpointHeaders(facts),
                body: request.body,
                agent: request.route.repeatable
                    ? this.context.connections.agentOf(endpoint, request.service.maxConnections)
                    : undefined,
            },
            progress: this.progress,
            observer: {
                onFirstAnswer: (answer) => {
                    book.answered();
                    firstAt = clock.now();
                    this.firstAnswer(choice, facts, answer, clock.now() - sentAt, waitedBehind === 0);
                },
                onOtherWeights: (answer) => this.otherWeights(choice.view, answer),
            },
        });
        endWatch();
        book.close();
        if (outcome.kind === "delivered" && firstAt !== undefined) {
            const speed = this.context.board.speed(request.service.name);
            speed.observeStream(request.facts.outputTokens, clock.now() - firstAt);
        }
        recordAttempt(this.context, request, choice, outcome, {
            number: this.attempts,
            sentAt,
            events: this.progress.events,
            namedVersion: this.prompt?.named?.version,
        });
        return { kind: "ended", outcome };
    }

    private dispatchFacts(choice: Choice, now: Milliseconds): DispatchMetadata {
        const { placement, prompt, request } = this;
        const resumed = this.progress.started ? this.progress.lastEvent : undefined;
        const common: DispatchMetadata = {
            instance: choice.view.endpoint.instance,
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
            fetchFrom: placement.sourceFor(choice.view, choice.version, now).source?.address,
            saveTo: placement.saveTo(choice.version),
        };
    }

    private endpointHeaders(facts: DispatchMetadata): string[] {
        const { body, method, rawHeaders } = this.request;
        const fields = this.context.dialect.endpointHeaders(endToEndHeaders(rawHeaders), facts);
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

    private firstAnswer(
        choice: Choice,
        facts: DispatchMetadata,
        answer: AnswerMetadata,
        latency: Milliseconds,
        alone: boolean,
    ): void {
        const { board, clock, homes, metrics, routers } = this.context;
        const { placement, prompt, request } = this;
        metrics.firstAnswer(request.route.name, clock.now() - request.arrival);
        if (alone && choice.hopedTokens === 0) {
            board.speed(request.service.name).observe(choice.readTokens, latency);
        }
        if (prompt === undefined || placement === undefined) {
            return;
        }
        if (answer.weightsVersion !== undefined) {
            choice.view.observeWeights(prompt.model, answer.weightsVersion, clock.now());
        }
        const { parts } = request.facts;
        const names = placement.namesOf(choice.version);
        const cacheTokens = request.service.engine?.cacheTokens ?? 0;
        homes.recordRead(
            choice.view.endpoint.instance,
            names,
            parts,
            cacheTokens * countedCacheShare / routers(),
        );
        if (facts.saveTo !== undefined) {
            homes.recordSaved(names, parts);
        }
    }

    private otherWeights(view: EndpointState, answer: AnswerMetadata): void {
        if (answer.weightsVersion !== undefined && this.prompt !== undefined) {
            view.observeWeights(this.prompt.model, answer.weightsVersion, this.context.clock.now());
        }
    }

    /** Tells the caller how its request ended. */
    private answer(outcome: RequestOutcome): RequestOutcome {
        const { clock, dialect, metrics } = this.context;
        const { response, request } = this;
        metrics.ended(request.route.name, outcome.kind, clock.now() - request.arrival);
        const headers = dialect.ownAnswerHeaders(request.facts.attempt);
        switch (outcome.kind) {
            case "delivered":
            case "callerGone":
                return outcome;
            case "refused": {
                metrics.refused(outcome.reason);
                const message = `the request was not run: ${outcome.reason}`;
                const { retryAfter } = outcome;
                writeOwnAnswer(response, { status: 503, code: outcome.reason, message, retryAfter, headers });
                return outcome;
            }
            case "unknown":
                this.endUnknown(outcome, headers);
                return outcome;
            case "failed":
                this.passOnFailure(outcome.answer, headers);
                return outcome;
        }
    }

    private endUnknown(
        outcome: RequestOutcome & { kind: "unknown"; },
        headers: Record<string, string>,
    ): void {
        if (this.progress.started) {
            // A stream that can not go on must not look complete.
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

    private passOnFailure(
        answer: { readonly status: number; readonly rawHeaders: readonly string[]; readonly body: Buffer; },
        headers: Record<string, string>,
    ): void {
        if (this.progress.started) {
            this.response.destroy();
        }
        else if (notRunStatuses.has(answer.status)) {
            // The status would promise that the request has not run, which the endpoint does not state.
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
