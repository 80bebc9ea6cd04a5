/**
 * The gateway serves the callers of direct routes, watches the store and exchanges reports with its peers.
 *
 * @module
 */
import {
    type CancelTimer,
    listenOn,
    maxSeed,
    type Milliseconds,
    RendezvousOwnerCache,
    seededRandom,
} from "@redwingpin/common";
import type { VersionDelivery } from "@redwingpin/delivery";
import {
    CrashTracker,
    type FactBatch,
    type FactBatchContext,
    FactKind,
    type FleetFact,
    FleetScope,
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
import { type InnerAddress, type InnerNode, ProcessRole } from "@redwingpin/protocol";
import { randomInt, randomUUID } from "node:crypto";
import type { Server } from "node:http";
import { AnswerBuffers } from "../decision/answerBuffers.js";
import { DemandTracker } from "../decision/demandTracker.js";
import { EndpointTable } from "../decision/endpointTable.js";
import { FleetRetryBudget } from "../decision/fleetRetryBudget.js";
import { PrefixIndex } from "../decision/prefixIndex.js";
import { RouteTable } from "../decision/routeTable.js";
import { SharedLedger } from "../decision/sharedLedger.js";
import { endsBeforeStop, type RequestTimeLimits } from "../decision/stopPolicy.js";
import type { ResolvedGatewayConfig } from "../gatewayConfig.js";
import { AccountTokens } from "./accountTokens.js";
import { CrashProbe } from "./crashProbe.js";
import { createDelivery } from "./deliverySetup.js";
import { DirectServer } from "./directServer.js";
import { drainServer } from "./drainServer.js";
import { EndpointChecks } from "./endpointChecks.js";
import { EndpointConnections } from "./endpointConnections.js";
import { EndpointPermits } from "./endpointPermits.js";
import { type BufferedBytes, GatewayMetrics } from "./gatewayMetrics.js";
import { createInnerNode } from "./gatewayNode.js";
import type { GatewayOptions } from "./gatewayOptions.js";
import { HeldRequests } from "./heldRequests.js";
import { PeerReports } from "./peerReports.js";
import { createReadinessServer } from "./readinessServer.js";
import { serveRequest } from "./requestTask.js";

/** Many registrations often change together: changes within this time are handled in one batch. */
const registrationBatchDelay: Milliseconds = 120;

const housekeepingInterval: Milliseconds = 150;

/** Time reserved for sending the last answers before the process must end. */
const stopMargin: Milliseconds = 400;

/** Source of facts that were read from the store, in log lines; other sources are instances of peers. */
const storeName = "store";

/** Source of the decisions of this router, in log lines. */
const ownDecision = "this router";

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
    private readonly held: HeldRequests;
    private readonly retryBudget: FleetRetryBudget;
    private readonly endpointTable: EndpointTable;
    private readonly endpointChecks: EndpointChecks;
    private readonly ledger: SharedLedger;
    private readonly reports: PeerReports;
    private readonly innerNode: InnerNode;
    private readonly sync: FleetSync;
    private readonly accountTokens: AccountTokens;
    /** Absent if orders for other versions are not executed. */
    private readonly delivery: VersionDelivery | undefined;
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
        this.endpointChecks = this.createEndpointChecks();
        this.ledger = new SharedLedger({
            startsFull: config.isFirstStart,
            tolerance: config.rateTolerance,
            ownName: formatAddress(config.inner),
        });
        this.watcherSelection = new WatcherSelection(formatAddress(config.inner), clock);
        this.held = new HeldRequests({ clock, settings: () => this.settings.hold });
        this.reports = new PeerReports({
            clock,
            isFirstStart: config.isFirstStart,
            ledger: this.ledger,
            endpointTable: this.endpointTable,
            crashTracker: this.crashTracker,
            demandTracker: this.demandTracker,
            accountWork: () => this.settings.hold.fairShares ? this.held.work : undefined,
            prefixIndex: this.prefixIndex,
            unheardRouterNames: () => this.sync.unheardRouterNames(),
            storeAnswerAge: () => this.endpointsWatcher.lastAnswerAge,
            watcherSelection: this.watcherSelection,
            isOwnerOf: (agent) => this.isOwnerOf(agent),
            desiredVersion: (model) => this.state.desiredWeightsOf(model)?.version,
            agentOf: options.agentOf,
            delivery: () => this.delivery,
        });
        this.innerNode = createInnerNode(options, this.incarnation, this.state);
        this.sync = this.createSync();
        this.accountTokens = new AccountTokens({ clock, ledger: this.ledger, sync: this.sync });
        this.delivery = this.createDelivery();
        this.endpointsWatcher = this.createWatcher(FleetScope.Endpoints, {
            batchDelay: registrationBatchDelay,
            isNeeded: () => this.watcherSelection.isSelected(this.sync.liveRouterNames()),
            knownRevision: () => this.state.watermark().endpoints,
        });
        this.operatorWatcher = this.createWatcher(FleetScope.Operator, { batchDelay: 0 });
        this.watchers = [this.operatorWatcher, this.endpointsWatcher];
        this.answerBuffers = new AnswerBuffers(options.config.maxBufferedAnswerBytes);
        this.server = this.createServer();
        this.readiness = createReadinessServer(config.readinessPath, options, () => this.isReady());
    }

    async start(): Promise<void> {
        const { callers, inner, readiness } = this.options.config;
        await this.innerNode.listen(inner.host, inner.port);
        await listenOn(this.readiness, readiness.host, readiness.port, this.options);
        await this.server.listen(callers.host, callers.port);
        this.watchers.forEach((watcher) => watcher.start());
        this.sync.start();
        this.housekeep();
    }

    /** True while the load balancer should send connections to this router. */
    isReady(): boolean {
        return !this.isStopping && this.table !== undefined && this.areEndpointsKnown
            && this.delivery?.hasUnread !== true;
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
        this.isStopping = true;
        await drainServer({
            ...this.options,
            server: this.server,
            stopTimeout: this.settings.stopTimeout,
            stopMargin,
            onAcceptEnd: (end) => void (this.drainDeadline = end),
        });
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
        this.held.stop();
        this.server.stop();
        this.readiness.close();
        this.connections.stop();
    }

    private createEndpointChecks(): EndpointChecks {
        return new EndpointChecks({
            ...this.options,
            state: this.state,
            endpointTable: this.endpointTable,
            logger: this.options.logger.scope("endpoints"),
            endpointModel: () => this.settings.endpointModel,
            routerCount: () => 1 + this.sync.liveRouterCount(),
            random: () => this.random.unit(),
        });
    }

    private createDelivery(): VersionDelivery | undefined {
        return createDelivery({
            ...this.options,
            random: this.random,
            incarnation: this.incarnation,
            settings: () => this.settings,
            rollouts: this.state.versionRollouts,
            endpointTable: this.endpointTable,
            liveRouterNames: () => this.liveRouterNames,
            applyFact: (fact) => this.applyFacts([fact], ownDecision),
            deliverReports: (routers) => void this.sync.deliverReports(routers),
            unresponsiveRouters: () => this.sync.unresponsiveRouterCount(),
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
        return new StoreWatcher({
            ...this.options,
            scope,
            random: this.random,
            logger: this.options.logger.scope("store"),
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
            held: this.held,
            weightsBounds: () => this.settings.weights,
            endpointModel: () => this.settings.endpointModel,
            metrics: this.metrics,
            routerCount: () => 1 + this.sync.liveRouterCount(),
            random,
            delivery: this.delivery,
        };
        this.metrics.registerBuffers(this.options.registry, () => this.bufferedBytes());
        this.metrics.observeExchanges(() => this.sync.counts);
        this.metrics.holds.observe(() => this.held);
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
            connectionLimits: config.connectionLimits,
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
        const owner = this.agentOwners.ownerOf(formatAddress(agent), this.liveRouterNames);
        return owner === formatAddress(this.options.config.inner);
    }

    /** Updates the live routers. If they have changed, immediately exchanges with the agents that this router owns now. */
    private updateLiveRouterNames(): void {
        const routers = [formatAddress(this.options.config.inner), ...this.sync.liveRouterNames()].sort();
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
            this.endpointChecks.probe();
        }
        if (isUrgent) {
            this.sync.passOn(from === storeName || from === ownDecision, (agent) => this.isOwnerOf(agent));
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
        const now = this.options.clock.now();
        if (this.state.expire(now).length > 0) {
            this.endpointTable.update(this.state);
        }
        this.endpointChecks.run();
        this.updateLiveRouterNames();
        this.reports.prepareReports(now);
        this.accountTokens.updateFleet();
        this.delivery?.run();
        this.cancelHousekeeping = this.options.clock.schedule(housekeepingInterval, () => this.housekeep());
    }
}
