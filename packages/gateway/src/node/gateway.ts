/**
 * The gateway serves the callers of direct routes, watches the store and exchanges reports with its peers.
 *
 * @module
 */
import {
    type CancelTimer,
    type Clock,
    listenOn,
    type Logger,
    maxSeed,
    type Milliseconds,
    RendezvousOwnerCache,
    seededRandom,
    sleep,
} from "@redwingpin/common";
import {
    CrashTracker,
    type DirectEndpoint,
    type FactBatch,
    type FactBatchContext,
    FactKind,
    type FleetFact,
    FleetScope,
    type FleetSource,
    FleetState,
    FleetSync,
    formatAddress,
    idleInterval,
    logFact,
    type ReplicaStatus,
    StoreWatcher,
    type StoreWatcherOptions,
    WatcherSelection,
} from "@redwingpin/fleet";
import { type InnerAddress, InnerNode, ProcessRole } from "@redwingpin/protocol";
import { randomInt, randomUUID } from "node:crypto";
import type { Server } from "node:http";
import type { Registry } from "prom-client";
import { AnswerBuffers } from "../decision/answerBuffers.js";
import { DemandTracker } from "../decision/demandTracker.js";
import { EndpointTable } from "../decision/endpointTable.js";
import { FleetRetryBudget } from "../decision/fleetRetryBudget.js";
import { PrefixIndex } from "../decision/prefixIndex.js";
import { RouteTable } from "../decision/routeTable.js";
import { SharedLedger } from "../decision/sharedLedger.js";
import { endsBeforeStop, type RequestTimeLimits } from "../decision/stopPolicy.js";
import type { ResolvedGatewayConfig } from "../gatewayConfig.js";
import type { HeaderCodec } from "../headerCodec.js";
import { AccountTokens } from "./accountTokens.js";
import { CrashProbe } from "./crashProbe.js";
import { DirectServer } from "./directServer.js";
import { EndpointConnections } from "./endpointConnections.js";
import { EndpointPermits } from "./endpointPermits.js";
import { EndpointProbes } from "./endpointProbes.js";
import { type BufferedBytes, GatewayMetrics } from "./gatewayMetrics.js";
import { PeerReports } from "./peerReports.js";
import { createReadinessServer } from "./readinessServer.js";
import { serveRequest } from "./requestTask.js";

/** Options of {@link Gateway}. */
export interface GatewayOptions {
    readonly config: ResolvedGatewayConfig;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly registry: Registry;
    readonly source: FleetSource;
    readonly headerCodec: HeaderCodec;
    /**
     * The latest time at which the current turn of the event loop can have begun.
     * @default now
     */
    readonly turnStartedBy?: () => Milliseconds;
    /** Address of the agent of an endpoint; `undefined` for endpoints without an agent. */
    readonly agentOf: (endpoint: DirectEndpoint) => InnerAddress | undefined;
}

/** Many registrations often change together: changes within this time are handled in one batch. */
const registrationBatchDelay: Milliseconds = 120;

const housekeepingInterval: Milliseconds = 150;

/**
 * Share of the stop timeout during which connections are still accepted: the load balancer checks readiness each second
 * and needs two answers.
 */
const acceptShare = 0.36;

/** Time for which a stopping router waits for the first request on a connection. */
const firstRequestWait: Milliseconds = 1_000;

/** Time reserved for sending the last answers before the process must end. */
const stopMargin: Milliseconds = 400;

/** Source of facts that were read from the store, in log lines; other sources are instances of peers. */
const storeName = "store";

/** Serves the callers of direct routes. */
export class Gateway {
    private readonly state = new FleetState();
    private readonly metrics: GatewayMetrics;
    private readonly prefixIndex = new PrefixIndex((count) => this.metrics.recordDroppedPrefixes(count));
    private readonly agentOwners = new RendezvousOwnerCache();
    private readonly permits: EndpointPermits;
    private readonly connections = new EndpointConnections();
    private readonly crashTracker = new CrashTracker((cause) =>
        this.options.logger.warn("quarantined", { cause: cause.kind, name: cause.name })
    );
    private readonly demandTracker = new DemandTracker();
    private readonly answerBuffers: AnswerBuffers;
    private readonly retryBudget: FleetRetryBudget;
    private readonly endpointTable: EndpointTable;
    private readonly probes: EndpointProbes;
    private readonly ledger: SharedLedger;
    private readonly reports: PeerReports;
    private readonly innerNode: InnerNode;
    private readonly sync: FleetSync;
    private readonly accountTokens: AccountTokens;
    private readonly watchers: readonly StoreWatcher[];
    private readonly operatorWatcher: StoreWatcher;
    private readonly endpointsWatcher: StoreWatcher;
    private readonly watcherSelection: WatcherSelection;
    private readonly server: DirectServer;
    private readonly readiness: Server;
    private readonly random = seededRandom(randomInt(maxSeed));
    private readonly incarnation = randomUUID();
    /** The current settings. */
    private settings: ResolvedGatewayConfig;
    private table: RouteTable | undefined;
    private areEndpointsKnown = false;
    /** Sorted names of the live routers, including this one; updated at each housekeeping. */
    private liveRouterNames: readonly string[] = [];
    private isStopping = false;
    /** Set once the gateway accepts no more connections: the latest time at which the process ends. */
    private drainDeadline: Milliseconds | undefined;
    private cancelHousekeeping: CancelTimer = () => {};

    constructor(private readonly options: GatewayOptions) {
        const { clock, config } = options;
        this.settings = config;
        this.metrics = new GatewayMetrics(options.registry);
        this.retryBudget = new FleetRetryBudget(config.retryBudget);
        this.permits = new EndpointPermits({
            clock,
            logger: options.logger.scope("permits"),
            random: this.random,
            ownName: formatAddress(config.inner),
            liveRouterNames: () => this.liveRouterNames,
            unresponsiveRouterCount: () => this.sync.unresponsiveRouterCount(),
            askRouter: (owner, request) => this.sync.requestPermit(owner, request),
        });
        this.endpointTable = new EndpointTable((instance) => this.onEndpointRemoved(instance));
        const { endpointTable, state } = this;
        this.probes = new EndpointProbes({ ...options, endpointTable, state });
        this.ledger = new SharedLedger({
            startsFull: config.isFirstStart,
            tolerance: config.rateTolerance,
            ownName: formatAddress(config.inner),
        });
        this.watcherSelection = new WatcherSelection(formatAddress(config.inner), clock);
        this.reports = new PeerReports({
            clock,
            isFirstStart: config.isFirstStart,
            ledger: this.ledger,
            endpointTable: this.endpointTable,
            crashTracker: this.crashTracker,
            demandTracker: this.demandTracker,
            prefixIndex: this.prefixIndex,
            unheardRouterNames: () => this.sync.unheardRouterNames(),
            storeAnswerAge: () => this.endpointsWatcher.lastAnswerAge,
            watcherSelection: this.watcherSelection,
            isOwnerOf: (agent) => this.isOwnerOf(agent),
            desiredVersion: (model) => this.state.desiredWeightsOf(model)?.version,
            agentOf: options.agentOf,
        });
        this.innerNode = this.createInnerNode();
        this.sync = this.createSync();
        this.metrics.observeExchanges(() => this.sync.counts);
        this.accountTokens = new AccountTokens({ clock, ledger: this.ledger, sync: this.sync });
        this.endpointsWatcher = this.createWatcher(FleetScope.Endpoints, {
            batchDelay: registrationBatchDelay,
            isNeeded: () => this.watcherSelection.isSelected(this.sync.liveRouterNames()),
            knownRevision: () => this.state.watermark().endpoints,
        });
        this.operatorWatcher = this.createWatcher(FleetScope.Operator, { batchDelay: 0 });
        this.watchers = [this.operatorWatcher, this.endpointsWatcher];
        this.answerBuffers = new AnswerBuffers(options.config.maxBufferedAnswerBytes);
        this.server = this.createServer();
        this.readiness = createReadinessServer(config.readinessPath, () => this.isReady());
    }

    async start(): Promise<void> {
        const { config } = this.options;
        await this.innerNode.listen(config.inner.host, config.inner.port);
        await listenOn(this.readiness, config.readiness.host, config.readiness.port, this.options);
        await this.server.listen(config.callers.host, config.callers.port);
        this.watchers.forEach((watcher) => watcher.start());
        this.sync.start();
        this.housekeep();
    }

    /** True while the load balancer should send connections to this router. */
    isReady(): boolean {
        return !this.isStopping && this.table !== undefined && this.areEndpointsKnown;
    }

    /** Number of requests that are being served. */
    get runningRequests(): number {
        return this.server.runningRequests;
    }

    /** Applies the settings that can change at run time; addresses and names require a restart. */
    reconfigure(config: ResolvedGatewayConfig): void {
        this.settings = config;
        this.retryBudget.setBounds(config.retryBudget);
        this.ledger.setTolerance(config.rateTolerance);
    }

    /**
     * Stops without interrupting requests: reports not ready, then accepts no more connections, then waits for the
     * running requests.
     */
    async drain(): Promise<void> {
        const { clock, logger } = this.options;
        const { stopTimeout } = this.settings;
        const end = clock.now() + stopTimeout - stopMargin;
        this.isStopping = true;
        await sleep(clock, stopTimeout * acceptShare);
        this.drainDeadline = end;
        logger.info("stopped accepting connections", { running: this.server.runningRequests });
        const pollInterval = 50;
        do {
            // Connections that were not accepted, and requests that were not read, would be reset.
            await this.server.acceptPending();
            this.server.closeIdle();
            await sleep(clock, pollInterval);
        }
        while (this.server.isInUse(firstRequestWait) && clock.now() < end);
        await this.server.answerRunning(stopMargin / 2);
        this.stop();
    }

    /** Cumulative counts of what takes processor time, by name. */
    workCounts(): Readonly<Record<string, number>> {
        return { requests: this.server.arrivedRequests, ...this.sync.counts, ...this.innerNode.traffic };
    }

    /** Sizes of what this router buffers for requests. */
    bufferedBytes(): BufferedBytes {
        return { bodies: this.server.bufferedBodyBytes, answers: this.answerBuffers.totalBytes };
    }

    /**
     * Ends after an unexpected error: accepts nothing more, and answers the running requests whose answer has not begun.
     * They may have run.
     */
    async abandon(): Promise<void> {
        this.isStopping = true;
        this.drainDeadline = this.options.clock.now();
        this.server.closeIdle();
        await this.server.answerRunning(stopMargin);
        this.stop();
    }

    /** Closes everything immediately. */
    stop(): void {
        this.cancelHousekeeping();
        this.watchers.forEach((watcher) => watcher.stop());
        this.sync.stop();
        this.innerNode.stop();
        this.server.stop();
        this.readiness.close();
        this.connections.stop();
    }

    private createInnerNode(): InnerNode {
        const { clock, config, logger } = this.options;
        return new InnerNode({
            role: ProcessRole.Router,
            instance: config.instance,
            incarnation: this.incarnation,
            fleetKeys: config.fleetKeys,
            clock,
            logger: logger.scope("inner"),
            revision: () => this.state.configuration?.version ?? 0,
            onRevision: () => {},
            onMessage: () => {},
            onClosed: () => {},
        });
    }

    private createSync(): FleetSync {
        const { clock, config, logger } = this.options;
        return new FleetSync({
            clock,
            logger: logger.scope("fleet"),
            random: this.random,
            innerNode: this.innerNode,
            state: this.state,
            address: config.inner,
            role: ProcessRole.Router,
            isStoreReachable: () => this.operatorWatcher.isReachable,
            seeds: config.seeds,
            agents: () => this.agentAddresses(),
            report: (peer, address) => this.reports.reportFor(peer, address),
            hasPendingReport: () =>
                this.ledger.hasUnreported() || this.crashTracker.hasChangedWithin(idleInterval, clock.now()),
            isOwnerOf: (agent) => this.isOwnerOf(agent),
            onReport: (peer, report, address) => this.reports.observe(peer, report, address),
            onReplicaStatus: (replica) => this.onReplicaStatus(replica),
            onPermitRequest: (request, from) => this.permits.issue(from.instance, request),
            onTokenRequest: (request) => this.accountTokens.grant(request),
            onReportDelivered: (peer, address, report) => this.reports.recordDelivery(peer, address, report),
            onFacts: (facts, peer) => this.applyFacts(facts, peer.instance),
        });
    }

    private createWatcher(
        scope: FleetScope,
        more: Pick<StoreWatcherOptions, "batchDelay" | "isNeeded" | "knownRevision">,
    ): StoreWatcher {
        const { clock, logger, source } = this.options;
        return new StoreWatcher({
            scope,
            source,
            clock,
            random: this.random,
            logger: logger.scope("store"),
            wait: () => this.watcherSelection.watchWait(this.sync.liveRouterNames()),
            ...more,
            onBatch: (batch, batchContext) => this.onBatch(scope, batch, batchContext),
        });
    }

    private createServer(): DirectServer {
        const { clock, config, headerCodec, logger } = this.options;
        const random = () => this.random.unit();
        const context = {
            clock,
            logger: logger.scope("request"),
            headerCodec,
            dataCentre: config.dataCentre,
            state: this.state,
            endpointTable: this.endpointTable,
            prefixIndex: this.prefixIndex,
            connections: this.connections,
            permits: this.permits,
            answerBuffers: this.answerBuffers,
            crashProbe: new CrashProbe(),
            retryBudget: this.retryBudget,
            crashTracker: this.crashTracker,
            demandTracker: this.demandTracker,
            weightsBounds: () => this.settings.weights,
            metrics: this.metrics,
            routerCount: () => 1 + this.sync.liveRouterCount(),
            random,
        };
        this.metrics.registerBuffers(this.options.registry, () => this.bufferedBytes());
        return new DirectServer({
            clock,
            logger: context.logger,
            metrics: this.metrics,
            headerCodec,
            checks: { headerCodec, accountTokens: this.accountTokens, table: () => this.table, random },
            turnStartedBy: this.options.turnStartedBy,
            isStopping: () => this.isStopping,
            accepts: (limits) => this.accepts(limits),
            maxBufferedBytes: config.maxBufferedBytes,
            serve: (request, response) => serveRequest(context, request, response),
            refund: (request) => {
                if (request.account !== undefined) {
                    this.ledger.refund(request.account.name, request.tokens);
                }
            },
        });
    }

    /**
     * Returns whether a request is accepted. Once no more connections are accepted, requests can still arrive on kept-alive
     * ones; such a request is accepted only if it is sure to end in time.
     */
    private accepts(limits: RequestTimeLimits): boolean {
        return this.drainDeadline === undefined
            || endsBeforeStop(limits, this.drainDeadline - this.options.clock.now());
    }

    private onBatch(scope: FleetScope, batch: FactBatch, batchContext: FactBatchContext): void {
        if (scope === FleetScope.Endpoints && batchContext.complete) {
            const instances = batch.facts.flatMap((fact) =>
                fact.kind === FactKind.Endpoint ? [fact.instance] : []
            );
            this.applyFacts([{ kind: FactKind.Listing, revision: batch.revision, instances }], storeName);
            this.areEndpointsKnown = true;
        }
        this.applyFacts(this.state.dateNewWeights(batch.facts, batchContext.changedWithin), storeName);
        if (scope === FleetScope.Endpoints) {
            this.state.recordEndpointsRevision(batch.revision);
            this.watcherSelection.recordOwnAnswer();
        }
    }

    /**
     * Applies the status that an agent sent, and immediately exchanges with the agents that this router owns, so that
     * the other agents of the service receive it.
     */
    private onReplicaStatus(replica: ReplicaStatus): void {
        this.endpointTable.observeStatus(replica, this.options.clock.now());
        this.sync.exchangeWithAgents((agent) => this.isOwnerOf(agent));
    }

    /** True if this router, of all live routers, owns an agent: it is the one that forwards facts to it. */
    private isOwnerOf(agent: InnerAddress): boolean {
        const own = formatAddress(this.options.config.inner);
        return this.agentOwners.ownerOf(formatAddress(agent), this.liveRouterNames) === own;
    }

    /** Sets the live routers. If they have changed, immediately exchanges with the agents that this router owns now. */
    private setLiveRouterNames(routers: readonly string[]): void {
        if (routers.join() !== this.liveRouterNames.join()) {
            this.liveRouterNames = routers;
            this.sync.exchangeWithAgents((agent) => this.isOwnerOf(agent));
        }
    }

    /** Applies facts; logs those that are new, and applies their effects. */
    private applyFacts(facts: readonly FleetFact[], from: string): void {
        const now = this.options.clock.now();
        const lastOutageAt = Math.max(...this.watchers.map((watcher) => watcher.lastOutageAt));
        const { isUrgent, newFacts } = this.state.applyFacts(facts, now, lastOutageAt);
        if (newFacts.length === 0) {
            return;
        }
        newFacts.forEach((fact) => logFact(this.options.logger, fact, from));
        if (newFacts.some((fact) => fact.kind === FactKind.Configuration)) {
            this.applyConfiguration(now);
        }
        if (newFacts.some((fact) => fact.kind === FactKind.Endpoint)) {
            this.areEndpointsKnown = true;
            this.endpointTable.update(this.state);
            this.probes.run();
        }
        if (isUrgent) {
            this.sync.passOn(from === storeName, (agent) => this.isOwnerOf(agent));
        }
    }

    private applyConfiguration(now: Milliseconds): void {
        const { configuration } = this.state;
        if (configuration !== undefined) {
            this.table = new RouteTable(configuration);
            this.ledger.configure(configuration.accounts, now);
            this.server.setLimits(configuration.limits);
            this.prefixIndex.setStores(this.table.cacheStores());
        }
    }

    private onEndpointRemoved(instance: string): void {
        this.connections.removeEndpoint(instance);
        this.prefixIndex.removeEndpoint(instance);
    }

    private agentAddresses(): InnerAddress[] {
        return [...this.endpointTable.all()].flatMap(({ endpoint }) => this.options.agentOf(endpoint) ?? []);
    }

    private housekeep(): void {
        const { clock } = this.options;
        const now = clock.now();
        if (this.state.expire(now).length > 0) {
            this.endpointTable.update(this.state);
        }
        this.probes.run();
        const live = this.sync.liveRouterNames();
        this.setLiveRouterNames([formatAddress(this.options.config.inner), ...live].sort());
        this.reports.prepareReports(now);
        this.accountTokens.updateFleet();
        this.cancelHousekeeping = clock.schedule(housekeepingInterval, () => this.housekeep());
    }
}
