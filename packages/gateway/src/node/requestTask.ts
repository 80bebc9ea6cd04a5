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
import type { RequestVersions, VersionDelivery } from "@redwingpin/delivery";
import type { CrashTracker, FleetState } from "@redwingpin/fleet";
import type { ServerResponse } from "node:http";
import type { AnswerBuffers } from "../decision/answerBuffers.js";
import {
    type AttemptEffect,
    type AttemptEvent,
    type AttemptOutcome,
    planAttempts,
    type RequestOutcome,
} from "../decision/attemptPlan.js";
import type { DemandTracker } from "../decision/demandTracker.js";
import type { Choice, WeightsBounds } from "../decision/endpointChoice.js";
import type { EndpointModelSettings } from "../decision/endpointModelSettings.js";
import { addressOf, type EndpointState, type EndpointTable } from "../decision/endpointTable.js";
import type { FleetRetryBudget } from "../decision/fleetRetryBudget.js";
import type { PrefixIndex } from "../decision/prefixIndex.js";
import { PrefixPlacement } from "../decision/prefixPlacement.js";
import type { AnswerMetadata, DispatchMetadata, HeaderCodec } from "../headerCodec.js";
import { runAttempt, type StreamProgress } from "./attempt.js";
import { recordAttempt, recordExcess, recordSignals, type TrackedLoad, trackLoad } from "./attemptRecord.js";
import type { DirectRequest } from "./callerRequest.js";
import type { CrashProbe } from "./crashProbe.js";
import type { EndpointConnections } from "./endpointConnections.js";
import { endpointHeaders } from "./endpointHeaders.js";
import type { EndpointPermits } from "./endpointPermits.js";
import { EndpointSelection } from "./endpointSelection.js";
import type { GatewayMetrics } from "./gatewayMetrics.js";
import type { HeldRequests } from "./heldRequests.js";
import { type PromptContext, readPromptContext } from "./promptContext.js";
import { answerRequest } from "./requestAnswer.js";
import { RequestCrashes } from "./requestCrashes.js";
import { RoomSearch } from "./roomSearch.js";
import { detectStalls } from "./stallDetector.js";
import { trackVersion } from "./versionOutcome.js";

/** Share of an engine's cache that all routers together rely on. */
const usableCacheShare = 0.6;

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
    /** Requests for which no endpoint has room. */
    readonly held: HeldRequests;
    readonly weightsBounds: () => WeightsBounds;
    readonly endpointModel: () => EndpointModelSettings;
    readonly metrics: GatewayMetrics;
    /** Number of live routers, including this one. */
    readonly routerCount: () => number;
    /** Returns a random number that is at least 0 and less than 1. */
    readonly random: () => number;
    /** The version rollouts; absent if orders for other versions are not executed. */
    readonly delivery?: VersionDelivery;
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

interface TrackedAttempt {
    readonly abandonment: AbortSignal;
    /** True if no other prompt waited at the endpoint, as far as this router knows. */
    readonly hadNoQueue: boolean;
    readonly load: TrackedLoad;
}

class RequestTask {
    private readonly tried = new Set<string>();
    private readonly progress: StreamProgress;
    private readonly crashes: RequestCrashes;
    private readonly prompt: PromptContext | undefined;
    private readonly placement: PrefixPlacement | undefined;
    private readonly selection: EndpointSelection;
    private readonly roomSearch: RoomSearch;
    /** Present while the service has an order for another version. */
    private readonly versions: RequestVersions | undefined;
    private attempts = 0;
    /** Number of attempts that may have run. */
    private runs = 0;
    /** True if the retry after the present attempt has been spent already. */
    private hasReservedRetry = false;

    constructor(
        private readonly context: RequestContext,
        private readonly request: DirectRequest,
        private readonly response: ServerResponse,
    ) {
        this.progress = { started: false, lastEvent: request.metadata.lastEvent, events: 0 };
        this.crashes = new RequestCrashes(context, request);
        this.versions = context.delivery?.open(request.service.name);
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
        const { placement, prompt, tried, versions } = this;
        this.selection = new EndpointSelection(context, { request, tried, prompt, placement, versions });
        this.roomSearch = new RoomSearch(context, request, response, this.selection);
    }

    async run(): Promise<RequestOutcome> {
        const { context, request } = this;
        const now = context.clock.now();
        const refusedUntil = this.crashes.refusedUntil(now);
        if (refusedUntil !== undefined) {
            const retryAfter = refusedUntil - now;
            const outcome = { kind: "refused", reason: RefusalReason.Quarantined, retryAfter } as const;
            return answerRequest(context, request, this.response, this.progress, outcome);
        }
        context.retryBudget.recordRequest(request.service.name, now);
        const { repeatable, attempts } = request.route;
        const outcome = await runDecision(
            planAttempts({ repeatable, attempts }),
            (effect) => this.perform(effect),
        ).finally(() => this.roomSearch.cancel());
        return answerRequest(this.context, request, this.response, this.progress, outcome);
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
            const found = await this.roomSearch.find(this.runs > 0);
            if (found.kind === "none") {
                break;
            }
            if (found.kind === "callerGone") {
                return found;
            }
            if (found.kind === "refused") {
                return { ...found, kind: "noneAvailable" };
            }
            const { choice } = found;
            if (await permits.acquire(choice) && !isLate()) {
                return { kind: "chosen", choice };
            }
            this.roomSearch.cancel();
        }
        return isLate()
            ? { kind: "noneAvailable", reason: RefusalReason.DeadlineExceeded, retryAfter: 0 }
            : { kind: "noneAvailable", ...this.selection.reasonForNone(clock.now()) };
    }

    private spendRetry(reason: RetryReason): boolean {
        const { clock, logger, metrics, retryBudget, routerCount } = this.context;
        const allowed = this.hasReservedRetry
            || retryBudget.trySpend(this.request.service.name, routerCount(), clock.now());
        this.hasReservedRetry = false;
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
        const { abandonment, hadNoQueue, load } = this.trackAttempt(choice);
        const recordVersion = trackVersion(this.versions, this.context, request, choice);
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
                headers: endpointHeaders(headerCodec, request, metadata),
                body: request.body,
                agent: this.context.connections.agentOf(endpoint, request.service.maxConnections),
            },
            progress: this.progress,
            answerBuffers: this.context.answerBuffers,
            observer: {
                onHead: (status, answer) =>
                    recordSignals(this.context, request, choice.endpointState, { status, answer, sentAt }),
                onBegin: () => this.recordBegin(load),
                onFirstAnswer: (answer) => {
                    load.recordAnswer();
                    firstAnswerAt = clock.now();
                    this.recordFirstAnswer(choice, metadata, answer, clock.now() - sentAt, hadNoQueue);
                },
                onExcess: () => recordExcess(this.context, request, choice.endpointState),
                onWeightsMismatch: (answer) => this.recordMismatch(choice.endpointState, answer),
            },
            abandonment,
        }).finally(stopStallDetection).finally(() => load.release());
        this.runs += outcome.kind === "notRun" ? 0 : 1;
        recordVersion(outcome, firstAnswerAt);
        this.recordStreamSpeed(outcome, firstAnswerAt);
        recordAttempt(this.context, request, choice, outcome, {
            number: this.attempts,
            sentAt,
            hasCrashedEndpoint: await this.crashes.recordEnd(endpoint, outcome, sentAt),
            events: this.progress.events,
            desiredVersion: this.prompt?.desiredWeights?.version,
        });
        return { kind: "ended", outcome };
    }

    /** Records the first event of an attempt, also if the caller has received it from an earlier one. */
    private recordBegin(load: TrackedLoad): void {
        this.crashes.recordBegin();
        load.recordAnswer();
    }

    /** Tracks an attempt that starts now; `abandonment` ends it if its answer is overdue and it may run elsewhere. */
    private trackAttempt(choice: Choice): TrackedAttempt {
        this.roomSearch.beginAttempt();
        const hadNoQueue = choice.endpointState.waitingTokens === 0;
        const abandonment = new AbortController();
        const load = trackLoad(this.context.clock, choice, {
            events: () => this.progress.events,
            isBlocked: () => this.response.writableNeedDrain,
            targetLatency: this.request.route.targetLatency,
            onOverdue: () => {
                if (!abandonment.signal.aborted && this.canContinueElsewhere() && this.reserveRetry()) {
                    abandonment.abort();
                }
            },
        });
        // Both give room to requests that are held.
        const recordRoom = () => this.context.held.recordRoom(this.request.service.name);
        return {
            abandonment: abandonment.signal,
            hadNoQueue,
            load: {
                recordAnswer: () => {
                    load.recordAnswer();
                    recordRoom();
                },
                release: () => {
                    load.release();
                    recordRoom();
                },
            },
        };
    }

    /** True if the running attempt may be ended because another endpoint can be expected to answer in time. */
    private canContinueElsewhere(): boolean {
        const { clock, retryBudget, routerCount } = this.context;
        const { deadline, route, service } = this.request;
        const now = clock.now();
        if (
            !route.repeatable || this.runs + 1 >= route.attempts
            || !retryBudget.canSpend(service.name, routerCount(), now)
        ) {
            return false;
        }
        const next = this.selection.best(now);
        return next !== undefined && !next.endpointState.responses.isUnresponsive(now)
            && now + next.latency < deadline;
    }

    /** Spends the retry of an attempt that is ended: many may be ended at once, before any of them is tried again. */
    private reserveRetry(): boolean {
        const { clock, retryBudget, routerCount } = this.context;
        this.hasReservedRetry = retryBudget.trySpend(
            this.request.service.name,
            routerCount(),
            clock.now(),
        );
        return this.hasReservedRetry;
    }

    private recordStreamSpeed(outcome: AttemptOutcome, firstAnswerAt: Milliseconds | undefined): void {
        if (outcome.kind === "delivered" && firstAnswerAt !== undefined) {
            const { clock, endpointTable } = this.context;
            const speed = endpointTable.speed(this.request.service.name);
            speed.observeStream(this.selection.outputTokens, clock.now() - firstAnswerAt);
        }
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

    private recordFirstAnswer(
        choice: Choice,
        metadata: DispatchMetadata,
        answer: AnswerMetadata,
        latency: Milliseconds,
        hadNoQueue: boolean,
    ): void {
        const { endpointModel, endpointTable, clock, prefixIndex, metrics, routerCount } = this.context;
        const { placement, prompt, request } = this;
        metrics.recordFirstAnswer(request.route.name, clock.now() - request.arrival);
        const { endpointState, fetchTime, serviceLatency } = choice;
        if (hadNoQueue && choice.likelyCachedTokens === 0) {
            const speed = endpointTable.speed(request.service.name);
            const slowness = endpointModel().speed ? endpointState.estimate.slowness : 1;
            speed.observe(choice.tokensToProcess, (latency - fetchTime) / slowness, 0);
        }
        if (endpointModel().speed && choice.likelyCachedTokens === 0) {
            const { name } = request.route;
            endpointState.observeAnswerTime(
                name,
                latency - fetchTime,
                serviceLatency - fetchTime,
                clock.now(),
            );
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

    private recordMismatch(endpointState: EndpointState, answer: AnswerMetadata): void {
        const { instance } = answer;
        this.recordWeights(endpointState, answer);
        if (instance !== undefined) {
            const address = addressOf(endpointState.endpoint);
            // This attempt has to end first: requests at other endpoints at the address are lost, but this one has not run.
            queueMicrotask(() => this.context.endpointTable.recordIdentity(address, instance));
        }
    }

    private recordWeights(endpointState: EndpointState, answer: AnswerMetadata): void {
        if (answer.weightsVersion !== undefined && this.prompt !== undefined) {
            endpointState.observeWeights(this.prompt.model, answer.weightsVersion, this.context.clock.now());
        }
    }
}
