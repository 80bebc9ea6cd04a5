/**
 * The router: creates the callers' server, the inner node and all subsystems, and connects them.
 *
 * @module
 */
import { type AdmissionController, createAdmission } from "@redwingpin/admission";
import {
    type Claims,
    createClaims,
    createQuarantine,
    type OrderLeader,
    type Quarantine,
} from "@redwingpin/claims";
import {
    type Clock,
    closedConnectionRecorder,
    createReasonCounters,
    listenOn,
    type Logger,
    maxSeed,
    type Milliseconds,
    type ReasonCounters,
    seededRandom,
    sleep,
} from "@redwingpin/common";
import { type Configuration, createConfiguration, createRouterPeers } from "@redwingpin/configuration";
import { createInnerTransport, createMembership, type Membership } from "@redwingpin/membership";
import {
    type KeyValueStore,
    type VirtualMachine,
    type VirtualMachineList,
    VirtualMachineRole,
} from "@redwingpin/outside";
import { defaultBlockTokens, Placement, RetryBudget } from "@redwingpin/placement";
import {
    type Connection,
    type EndpointStatus,
    type ExchangeMessage,
    InnerNode,
    MessageKind,
    type OperatorStatus,
    ProcessRole,
} from "@redwingpin/protocol";
import { randomInt, randomUUID } from "node:crypto";
import type { Server } from "node:http";
import type { Registry } from "prom-client";
import type { ResolvedRouterConfig } from "../config.js";
import {
    drainGraceMilliseconds,
    maxWaitForCompleteRosterMilliseconds,
    maxWaitForRosterMilliseconds,
} from "../constants.js";
import { AccountUsage } from "../decision/accountUsage.js";
import { ExchangeTable } from "./agentExchange.js";
import { createCallerServer } from "./callerServer.js";
import { RouterClaimPeers } from "./claimPeers.js";
import { ConnectionProbe } from "./connectionProbe.js";
import { createOperatorStatus } from "./operatorStatus.js";
import { createQuarantineBroadcast } from "./quarantineBroadcast.js";
import { createRatePeers } from "./ratePeers.js";
import { RequestPipeline } from "./requestPipeline.js";
import { RequestPlacement } from "./requestPlacement.js";
import { createRequestMetrics, registerRouterGauges } from "./routerMetrics.js";
import { createRouterOrderLeader } from "./routerOrderLeader.js";
import {
    handleClaims,
    handleConfiguration,
    handleMembership,
    handleOperators,
    handleQuarantine,
    handleRates,
} from "./routerTopics.js";

/** Options of {@link Router}. */
export interface RouterOptions {
    readonly config: ResolvedRouterConfig;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly registry: Registry;
    readonly store: KeyValueStore;
    readonly virtualMachineList: VirtualMachineList;
}

/** Ports on which a router listens. */
export interface RouterPorts {
    readonly listenPort: number;
    readonly innerPort: number;
}

/** Serves callers' requests. */
export class Router {
    private readonly counters: ReasonCounters;
    private readonly innerNode: InnerNode;
    private readonly exchanges = new ExchangeTable<Connection>();
    private readonly connectionProbe: ConnectionProbe;
    private readonly placement: RequestPlacement;
    private readonly membership: Membership;
    private readonly admission: AdmissionController;
    private readonly claimPeers: RouterClaimPeers;
    private readonly claims: Claims;
    private readonly quarantine: Quarantine;
    private readonly orderLeader: OrderLeader;
    private readonly accountUsage = new AccountUsage();
    private readonly statuses = new Map<string, EndpointStatus>();
    private readonly pipeline: RequestPipeline;
    private readonly callerServer: Server;
    private readonly configuration: Configuration;
    private readonly incarnation = randomUUID();
    private readonly startedAt: Milliseconds;
    private listedMachines: readonly VirtualMachine[] = [];
    private listedRouters: readonly VirtualMachine[] = [];
    private isStopping = false;

    constructor(private readonly options: RouterOptions) {
        const { config, clock, registry } = options;
        this.startedAt = clock.now();
        this.counters = createReasonCounters(registry);
        this.innerNode = this.createInnerNode();
        this.membership = this.createMembership();
        this.configuration = this.createConfiguration();
        handleOperators(this.innerNode, () => this.operatorStatus());
        this.connectionProbe = new ConnectionProbe(clock, () => this.exchanges.connectionsInUse());
        const { dataCentre } = config;
        this.placement = new RequestPlacement(
            new Placement({ clock, dataCentre, blockTokens: defaultBlockTokens }),
        );
        this.admission = this.createAdmission();
        this.claimPeers = new RouterClaimPeers({
            instance: config.instance,
            innerNode: this.innerNode,
            addressOf: (instance) => this.membership.find(instance),
        });
        this.claims = this.createClaims();
        this.quarantine = this.createQuarantine();
        this.orderLeader = this.createOrderLeader();
        this.pipeline = this.createPipeline();
        this.callerServer = this.createCallerServer();
        registerRouterGauges(registry, {
            revision: () => this.revision(),
            traffic: this.innerNode.traffic,
            openExchanges: () => this.exchanges.size,
            knownRouters: () => this.membership.routers().length,
            knownAgents: () => this.membership.agents().length,
        });
    }

    /** Starts all subsystems; resolves with the ports. */
    async start(): Promise<RouterPorts> {
        const { config } = this.options;
        const innerPort = await this.innerNode.listen(config.listenHost, config.innerPort);
        this.connectionProbe.start();
        this.configuration.start();
        this.orderLeader.start();
        this.membership.start(innerPort);
        void this.quarantine.start();
        const listenPort = await listenOn(
            this.callerServer,
            config.listenHost,
            config.listenPort,
            this.options,
        );
        return { listenPort, innerPort };
    }

    /**
     * Stops without interrupting a request: reports that it isn't ready, then accepts no new connections, and waits for
     * running requests.
     */
    async drain(): Promise<void> {
        this.isStopping = true;
        this.membership.leave();
        await sleep(this.options.clock, drainGraceMilliseconds);
        await new Promise<void>((resolve) => {
            this.callerServer.close(() => resolve());
            this.callerServer.closeIdleConnections();
        });
        await Promise.all([this.claims.stop(), this.admission.leave()]);
        this.stop();
    }

    /** Stops all subsystems and closes all connections immediately. */
    stop(): void {
        this.configuration.stop();
        this.orderLeader.stop();
        this.quarantine.stop();
        this.admission.stop();
        this.membership.stop();
        this.connectionProbe.stop();
        this.innerNode.stop();
        this.callerServer.closeAllConnections();
        this.callerServer.close();
    }

    private createInnerNode(): InnerNode {
        const { config, clock, logger } = this.options;
        return new InnerNode({
            role: ProcessRole.Router,
            instance: config.instance,
            incarnation: this.incarnation,
            fleetKeys: config.fleetKeys,
            clock,
            logger: logger.scope("inner"),
            revision: () => this.revision(),
            onRevision: (peer, revision) => this.configuration.observeRevision(peer.instance, revision),
            onMessage: (connection, message) => this.onMessage(connection, message),
            onClosed: (connection) => this.onClosed(connection),
            onHandshakeClosed: closedConnectionRecorder(this.options.registry, "inner"),
        });
    }

    private createPipeline(): RequestPipeline {
        const { clock, logger } = this.options;
        return new RequestPipeline({
            clock,
            logger: logger.scope("request"),
            counters: this.counters,
            placement: this.placement,
            retryBudget: new RetryBudget(),
            admission: this.admission,
            claims: this.claims,
            quarantine: this.quarantine,
            metrics: createRequestMetrics(this.options.registry),
            accountUsage: this.accountUsage,
            attempts: {
                clock,
                innerNode: this.innerNode,
                exchanges: this.exchanges,
                revision: () => this.revision(),
                observeStatus: (status) => this.observeStatus(status),
            },
        });
    }

    private createMembership(): Membership {
        const { clock, config, logger, virtualMachineList } = this.options;
        const membership = createMembership({
            clock,
            random: seededRandom(randomInt(maxSeed)),
            logger: logger.scope("membership"),
            instance: config.instance,
            dataCentre: config.dataCentre,
            host: config.listenHost,
            list: virtualMachineList,
            transport: createInnerTransport(this.innerNode),
            onListRead: (machines) => this.onListRead(machines),
        });
        membership.onChange(() => this.onMembersChanged());
        handleMembership(this.innerNode, membership);
        return membership;
    }

    private createConfiguration(): Configuration {
        const { clock, config, logger, store } = this.options;
        const configuration = createConfiguration({
            clock,
            random: seededRandom(randomInt(maxSeed)),
            logger: logger.scope("configuration"),
            instance: config.instance,
            dataCentre: config.dataCentre,
            store,
            peers: createRouterPeers(this.innerNode, this.membership),
        });
        configuration.onInstalled(() => this.admission.accountsChanged());
        handleConfiguration(this.innerNode, configuration);
        return configuration;
    }

    private createAdmission(): AdmissionController {
        const { clock, config, logger, store } = this.options;
        const admission = createAdmission({
            clock,
            instance: config.instance,
            incarnation: this.incarnation,
            store,
            rosterAgents: () => this.membership.ownedAgents().map((agent) => agent.instance),
            peers: createRatePeers(this.innerNode, (instance) => this.membership.find(instance)),
            accounts: () => this.configuration.current()?.index.manifest.accounts ?? [],
            logger: logger.scope("admission"),
        });
        handleRates(this.innerNode, admission);
        return admission;
    }

    private createOrderLeader(): OrderLeader {
        const { clock, config, logger, store } = this.options;
        return createRouterOrderLeader({
            clock,
            instance: config.instance,
            store,
            logger: logger.scope("orders"),
            innerNode: this.innerNode,
            configuration: this.configuration,
            machines: () => this.listedMachines,
            routers: () => [config.instance, ...this.membership.routers().map((router) => router.instance)],
            statuses: () => [...this.statuses.values()],
        });
    }

    private createClaims(): Claims {
        const { clock, config, logger, store } = this.options;
        const claims = createClaims({
            clock,
            instance: config.instance,
            incarnation: this.incarnation,
            store,
            logger: logger.scope("claims"),
            peers: this.claimPeers,
        });
        handleClaims(this.innerNode, claims);
        return claims;
    }

    private createQuarantine(): Quarantine {
        const { clock, logger, store } = this.options;
        const quarantine = createQuarantine({
            clock,
            store,
            logger: logger.scope("quarantine"),
            broadcast: createQuarantineBroadcast(this.innerNode, () => this.membership.routers()),
        });
        handleQuarantine(this.innerNode, quarantine);
        return quarantine;
    }

    private createCallerServer(): Server {
        const { config, clock, registry } = this.options;
        return createCallerServer({
            clock,
            registry,
            counters: this.counters,
            requestTimeout: config.requestTimeoutMilliseconds,
            logger: this.options.logger.scope("callers"),
            maxConnections: config.maxConnections,
            maxBufferedBytes: config.maxBufferedBytes,
            ready: () => this.isReady(),
            isStopping: () => this.isStopping,
            manifest: () => this.configuration.current()?.index,
            serve: (request, response) => this.pipeline.serve(request, response),
            status: () => this.status(),
        });
    }

    private onMessage(connection: Connection, message: ExchangeMessage): void {
        this.connectionProbe.recordReceived(connection);
        if (message.kind === MessageKind.Status) {
            this.observeStatus(message.status);
            return;
        }
        this.exchanges.receive(connection, message);
    }

    private onClosed(connection: Connection): void {
        this.connectionProbe.removeConnection(connection);
        this.exchanges.closeConnection(connection);
    }

    private onMembersChanged(): void {
        this.placement.replaceMachines(this.membership.machines());
        this.configuration.peersChanged();
        this.claimPeers.updateRouters(this.membership.routers().map((router) => router.instance));
        this.connectAgents();
        if (!this.admission.isRosterKnown()) {
            this.admission.updateMembers(this.listedRouters);
        }
    }

    /** Rate slots move only from routers removed from the VM list: an unresponsive router may just be paused. */
    private onListRead(machines: readonly VirtualMachine[]): void {
        this.listedMachines = machines;
        this.removeUnlistedStatuses();
        this.listedRouters = machines.filter((machine) => machine.role === VirtualMachineRole.Router);
        this.admission.updateMembers(this.listedRouters);
        this.connectAgents();
    }

    /** Connects to agents, so that they and this router exchange their revisions and status. */
    private connectAgents(): void {
        for (const agent of this.membership.connectedAgents()) {
            void this.innerNode.connect(agent);
        }
    }

    private removeUnlistedStatuses(): void {
        const listed = new Set(this.listedMachines.map((machine) => machine.instance));
        for (const instance of this.statuses.keys()) {
            if (!listed.has(instance)) {
                this.statuses.delete(instance);
            }
        }
    }

    private observeStatus(status: EndpointStatus): void {
        this.statuses.set(status.instance, status);
        this.placement.observeStatus(status);
    }

    private revision(): number {
        return this.configuration?.revision() ?? 0;
    }

    private isReady(): boolean {
        return !this.isStopping && this.configuration.current() !== undefined && this.isRosterReady();
    }

    /**
     * True if the roster of rate slots is complete or this router has waited long enough for it; it waits longer if it
     * knows an incomplete roster, as on a new site.
     */
    private isRosterReady(): boolean {
        const age = this.options.clock.now() - this.startedAt;
        const limit = this.admission.isRosterKnown()
            ? maxWaitForCompleteRosterMilliseconds
            : maxWaitForRosterMilliseconds;
        return this.admission.isRosterComplete() || age >= limit;
    }

    private operatorStatus(): Promise<OperatorStatus> {
        const { config, registry } = this.options;
        return createOperatorStatus({
            instance: config.instance,
            dataCentre: config.dataCentre,
            revision: this.revision(),
            ready: this.isReady(),
            registry,
            accounts: this.accountUsage.shares(this.configuration.current()?.index, this.options.clock.now()),
        });
    }

    private status() {
        return {
            instance: this.options.config.instance,
            dataCentre: this.options.config.dataCentre,
            incarnation: this.incarnation,
            revision: this.revision(),
            ready: this.isReady(),
            openExchanges: this.exchanges.size,
        };
    }
}
