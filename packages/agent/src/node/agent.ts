/**
 * The agent, through which all requests reach one endpoint: creates the inner listener, the endpoint's client and
 * monitor, and the exchanges.
 *
 * @module
 */
import { RosterCache } from "@redwingpin/admission";
import { createOrderExecutor, type OrderExecutor, OrderProgress } from "@redwingpin/claims";
import type { CrashReport } from "@redwingpin/claims";
import {
    type Clock,
    closedConnectionRecorder,
    type Logger,
    maxSeed,
    seededRandom,
    sleep,
} from "@redwingpin/common";
import { type Configuration, createAgentPeers, createConfiguration } from "@redwingpin/configuration";
import { EndpointKind } from "@redwingpin/manifest";
import { MembershipResponder } from "@redwingpin/membership";
import type { KeyValueStore } from "@redwingpin/outside";
import { defaultBlockTokens } from "@redwingpin/placement";
import {
    type Connection,
    type EndpointStatus,
    type ExchangeMessage,
    InnerNode,
    isRateMessage,
    MessageKind,
    type Open,
    type OperatorStatus,
    ProcessRole,
    Topic,
} from "@redwingpin/protocol";
import { randomInt, randomUUID } from "node:crypto";
import type { Registry } from "prom-client";
import type { ResolvedAgentConfig } from "../config.js";
import { drainGraceMilliseconds, maxBodyBytes } from "../constants.js";
import { declineReason } from "../decision/acceptance.js";
import { RequestDeduplicator } from "../decision/requestDeduplicator.js";
import { servableWeights } from "../decision/servableWeights.js";
import { createAgentMetrics, type DeclineCounter } from "./agentMetrics.js";
import { EndpointClient } from "./endpointClient.js";
import { type EndpointHealth, EndpointMonitor } from "./endpointMonitor.js";
import { EndpointSignalHandler } from "./endpointSignalHandler.js";
import { EngineCacheTracker } from "./engineCacheTracker.js";
import { ExchangeTask } from "./exchangeTask.js";
import { createOrderTarget } from "./orderTarget.js";
import { RequestScheduler } from "./requestScheduler.js";
import { SuspectIsolation } from "./suspectIsolation.js";

/** Options of {@link Agent}. */
export interface AgentOptions {
    readonly config: ResolvedAgentConfig;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly registry: Registry;
    readonly store: KeyValueStore;
}

const crashReportTimeoutMilliseconds = 1_000;

/** Serves one endpoint to the routers. */
export class Agent {
    readonly innerNode: InnerNode;
    private readonly endpoint: EndpointClient;
    private readonly monitor: EndpointMonitor;
    private readonly scheduler: RequestScheduler;
    private readonly signals: EndpointSignalHandler;
    private readonly suspectIsolation: SuspectIsolation;
    private readonly exchanges = new Map<Connection, Map<number, ExchangeTask>>();
    private readonly deduplicator = new RequestDeduplicator();
    private readonly configuration: Configuration;
    private readonly cache: EngineCacheTracker;
    private readonly rosterCache = new RosterCache();
    private readonly membership: MembershipResponder;
    private readonly declines: DeclineCounter;
    private isDraining = false;
    /** True while an order waits for running requests or is executed. */
    private hasActiveOrder = false;
    private resolveIdle: (() => void) | undefined;

    constructor(private readonly options: AgentOptions) {
        const { config, clock, logger } = options;
        this.endpoint = new EndpointClient(config.endpointAddress, config.concurrency);
        this.scheduler = this.createScheduler();
        this.signals = new EndpointSignalHandler({
            clock,
            logger: logger.scope("endpoint"),
            scheduler: this.scheduler,
            onLeaving: () => this.broadcastStatus(),
        });
        this.cache = new EngineCacheTracker({
            address: config.endpointAddress,
            clock,
            logger: logger.scope("cache"),
        });
        this.monitor = new EndpointMonitor({
            address: config.endpointAddress,
            kind: config.endpointKind,
            clock,
            interval: config.healthIntervalMilliseconds,
            onChange: (health, before) => this.onHealthChange(health, before),
        });
        this.suspectIsolation = this.createSuspectIsolation();
        this.innerNode = new InnerNode({
            role: ProcessRole.Agent,
            instance: config.instance,
            incarnation: randomUUID(),
            fleetKeys: config.fleetKeys,
            clock,
            logger: logger.scope("inner"),
            revision: () => this.configuration?.revision() ?? 0,
            onRevision: (peer, revision) => this.configuration.observeRevision(peer.instance, revision),
            onMessage: (connection, message) => this.onMessage(connection, message),
            onClosed: (connection) => this.onClosed(connection),
            onConnected: (connection) => this.sendStatus(connection),
            onHandshakeClosed: closedConnectionRecorder(options.registry, "inner"),
        });
        this.configuration = createConfiguration({
            clock,
            random: seededRandom(randomInt(maxSeed)),
            logger: logger.scope("configuration"),
            instance: config.instance,
            dataCentre: config.dataCentre,
            peers: createAgentPeers(this.innerNode),
        });
        this.configuration.onInstalled(() => this.broadcastStatus());
        this.membership = this.createMembership();
        this.declines = createAgentMetrics(options.registry, {
            revision: () => this.configuration.revision(),
            traffic: this.innerNode.traffic,
            pendingTokens: () => this.scheduler.pendingTokens,
            running: () => this.scheduler.running,
            isEndpointUp: () => this.monitor.current.incarnation !== undefined,
        });
        this.handleTopics();
    }

    /** Starts the agent; resolves with the port of the inner protocol. */
    async start(): Promise<number> {
        await this.monitor.start();
        this.configuration.start();
        const { config } = this.options;
        const port = await this.innerNode.listen(config.listenHost, config.innerPort);
        this.membership.setPort(port);
        return port;
    }

    /** Declines new requests, waits for running ones, and closes everything. */
    async drain(): Promise<void> {
        this.isDraining = true;
        this.membership.leave();
        this.broadcastStatus();
        await this.waitUntilIdle();
        // Requests that routers sent before they received the drain status are declined, not interrupted.
        await sleep(this.options.clock, drainGraceMilliseconds);
        await this.waitUntilIdle();
        this.stop();
    }

    private async waitUntilIdle(): Promise<void> {
        if (this.exchangeCount() > 0) {
            await new Promise<void>((resolve) => {
                this.resolveIdle = resolve;
            });
        }
    }

    /** Stops everything and closes all connections immediately. */
    stop(): void {
        this.configuration.stop();
        this.monitor.stop();
        this.cache.stop();
        this.innerNode.stop();
        this.endpoint.stop();
    }

    /** Current status of the endpoint. */
    status(): EndpointStatus {
        const { config } = this.options;
        const health = this.monitor.current;
        return {
            instance: config.instance,
            pool: config.pool,
            incarnation: health.incarnation,
            draining: this.isDraining || this.hasActiveOrder || this.signals.isLeaving,
            weights: servableWeights(this.configuration.current()?.index, health),
            queuedTokens: this.scheduler.pendingTokens,
            running: this.scheduler.running,
            tokensPerSecond: 0,
            heldPrefixes: this.cache.heldPrefixes(),
        };
    }

    private createScheduler(): RequestScheduler {
        const { clock, config } = this.options;
        return new RequestScheduler({
            clock,
            concurrency: config.concurrency,
            maxUnanswered: config.endpointKind === EndpointKind.Engine
                ? config.maxUnanswered
                : config.concurrency,
            maxQueuedRequests: config.maxQueuedRequests,
            maxQueuedTokens: config.maxQueuedTokens,
        });
    }

    private handleTopics(): void {
        this.innerNode.handle(Topic.Configuration, (body, from) => {
            this.configuration.handle(body, from.instance);
            return Promise.resolve(undefined);
        });
        this.innerNode.handle(Topic.Rates, (body) => Promise.resolve(this.answerRates(body)));
        this.innerNode.handle(
            Topic.Membership,
            (body) => Promise.resolve(this.membership.handle(body) ?? { kind: "pong" }),
        );
        this.innerNode.handle(Topic.Operator, () => Promise.resolve(this.operatorStatus()));
        const orders = this.createOrderExecutor();
        this.innerNode.handle(
            Topic.Orders,
            (body, from) =>
                Promise.resolve(
                    from.role === ProcessRole.Router ? orders.handle(body) : OrderProgress.Refused,
                ),
        );
    }

    private createSuspectIsolation(): SuspectIsolation {
        return new SuspectIsolation({
            clock: this.options.clock,
            instance: this.options.config.instance,
            incarnation: () => this.monitor.current.incarnation,
            checkHealth: () => this.monitor.checkHealth(),
            report: (report) => this.reportCrash(report),
        });
    }

    private createOrderExecutor(): OrderExecutor {
        const { config, logger, store } = this.options;
        return createOrderExecutor({
            instance: config.instance,
            store,
            logger: logger.scope("orders"),
            endpoint: createOrderTarget({
                address: config.endpointAddress,
                monitor: this.monitor,
                logger: logger.scope("orders"),
                setOrderActive: (isActive) => this.setOrderActive(isActive),
                waitUntilIdle: () => this.waitUntilIdle(),
            }),
        });
    }

    private setOrderActive(isActive: boolean): void {
        this.hasActiveOrder = isActive;
        this.broadcastStatus();
    }

    private createMembership(): MembershipResponder {
        const { clock, config } = this.options;
        return new MembershipResponder({
            instance: config.instance,
            role: ProcessRole.Agent,
            host: config.listenHost,
            port: config.innerPort,
            dataCentre: config.dataCentre,
            pool: config.pool,
            epoch: Math.max(1, Math.round(clock.wallTime())),
        });
    }

    private operatorStatus(): OperatorStatus {
        const { config } = this.options;
        return {
            instance: config.instance,
            role: ProcessRole.Agent,
            dataCentre: config.dataCentre,
            revision: this.configuration.revision(),
            ready: !this.isDraining,
            refusals: [],
            accounts: [],
            endpoint: this.status(),
        };
    }

    private onMessage(connection: Connection, message: ExchangeMessage): void {
        switch (message.kind) {
            case MessageKind.Open:
                this.openExchange(connection, message);
                return;
            case MessageKind.Body:
                this.findExchange(connection, message.exchange)?.receive(message.data);
                return;
            case MessageKind.Cancel:
                this.findExchange(connection, message.exchange)?.cancel();
                return;
            case MessageKind.Credit:
                this.findExchange(connection, message.exchange)?.addCredit(message.bytes);
                return;
            default:
                return;
        }
    }

    private openExchange(connection: Connection, open: Open): void {
        const exchange = new ExchangeTask(connection, open, {
            clock: this.options.clock,
            endpoint: this.endpoint,
            scheduler: this.scheduler,
            suspectIsolation: this.suspectIsolation,
            status: () => this.status(),
            cache: this.cache,
            blockTokens: defaultBlockTokens,
            onAnswer: (answer, sentAt) => this.signals.observe(answer, sentAt),
            onDeclined: (reason) => this.declines.recordDecline(reason),
            onEnded: (ended) => this.removeExchange(connection, ended),
        });
        this.addExchange(connection, exchange);
        const reason = declineReason(open, {
            status: this.status(),
            isDuplicate: !open.idempotent && !this.deduplicator.add(open.request),
            maxBodyBytes,
        });
        if (reason !== undefined) {
            exchange.decline(reason);
        }
        else if (open.bodyBytes === 0) {
            exchange.receive(undefined);
        }
    }

    private answerRates(body: unknown): unknown {
        return isRateMessage(body)
            ? this.rosterCache.handle(body)
            : { error: "the body is not a rate message" };
    }

    private onHealthChange(health: EndpointHealth, before: EndpointHealth): void {
        if (this.options.config.endpointKind === EndpointKind.Engine) {
            void this.cache.onIncarnation(health.incarnation);
        }
        if (health.incarnation !== before.incarnation) {
            this.signals.reset();
        }
        this.options.logger.info("endpoint health changed", {
            incarnation: health.incarnation,
            before: before.incarnation,
            weights: health.weights,
        });
        this.broadcastStatus();
    }

    /** Reports a crash on the connections of the exchanges, so that routers receive it before the exchanges fail. */
    private reportCrash(report: CrashReport): void {
        this.options.logger.warn("endpoint crashed", {
            crash: report.crash.id,
            running: report.fingerprints.length,
        });
        for (const connection of this.innerNode.openConnections()) {
            void connection.call(Topic.Quarantine, report, crashReportTimeoutMilliseconds);
        }
    }

    private broadcastStatus(): void {
        for (const connection of this.innerNode.openConnections()) {
            this.sendStatus(connection);
        }
    }

    private sendStatus(connection: Connection): void {
        connection.send({
            kind: MessageKind.Status,
            revision: this.configuration.revision(),
            status: this.status(),
        });
    }

    private onClosed(connection: Connection): void {
        const exchanges = this.exchanges.get(connection);
        this.exchanges.delete(connection);
        for (const exchange of exchanges?.values() ?? []) {
            exchange.cancel();
        }
    }

    private findExchange(connection: Connection, exchange: number): ExchangeTask | undefined {
        return this.exchanges.get(connection)?.get(exchange);
    }

    private addExchange(connection: Connection, exchange: ExchangeTask): void {
        const exchanges = this.exchanges.get(connection) ?? new Map<number, ExchangeTask>();
        exchanges.set(exchange.open.exchange, exchange);
        this.exchanges.set(connection, exchanges);
    }

    private removeExchange(connection: Connection, exchange: ExchangeTask): void {
        this.exchanges.get(connection)?.delete(exchange.open.exchange);
        if (this.exchangeCount() === 0) {
            this.resolveIdle?.();
        }
    }

    private exchangeCount(): number {
        return [...this.exchanges.values()].reduce((sum, exchanges) => sum + exchanges.size, 0);
    }
}
