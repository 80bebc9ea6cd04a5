/**
 * The agent on the machine of a replica. It polls the replica, reports its status to routers, and is the only process that
 * orders the replica to load weights.
 *
 * @module
 */
import {
    type CancelTimer,
    type Clock,
    closedConnectionRecorder,
    type Logger,
    maxSeed,
    type Milliseconds,
    seededRandom,
} from "@redwingpin/common";
import {
    CrashTracker,
    type DesiredWeights,
    emptyReport,
    FactKind,
    type FleetFact,
    FleetState,
    FleetSync,
    type KnownEndpoint,
    logFact,
    type ModelWeights,
    type PeerReport,
    type ReplicaStatus,
    type ServiceProgress,
    supersedes,
} from "@redwingpin/fleet";
import { type FleetKeys, type Hello, type InnerAddress, InnerNode, ProcessRole } from "@redwingpin/protocol";
import { randomInt, randomUUID } from "node:crypto";
import { Counter, type Registry } from "prom-client";
import { type RolloutStep, rolloutStep } from "../decision/rolloutTurn.js";
import { TurnProgress } from "../decision/turnProgress.js";
import { OrderAnswer, type ReplicaControl, type ReplicaReport } from "../replicaControl.js";

/** Settings of an agent. */
export interface ResolvedReplicaAgentConfig {
    readonly instance: string;
    readonly fleetKeys: FleetKeys;
    readonly inner: InnerAddress;
    /** `host:port` of the replica. */
    readonly replica: string;
    readonly service: string;
    /**
     * An agent without reports of the other replicas has its replica load weights once they have been the desired ones
     * for this time.
     */
    readonly loadFallbackAfter: Milliseconds;
    /** Every replica should have loaded weights within this time after they became the desired ones. */
    readonly loadAllowed: Milliseconds;
}

/** Options of {@link ReplicaAgent}. */
export interface ReplicaAgentOptions {
    readonly config: ResolvedReplicaAgentConfig;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly registry: Registry;
    readonly control: ReplicaControl;
}

/** Interval at which the replica is polled while no load is running or expected soon. */
const idleInterval: Milliseconds = 250;

/** Interval at which the replica is polled while a load is running or expected soon. */
const loadingInterval: Milliseconds = 30;

/** Time between the announcement of a load to routers and the order, so that routers stop sending requests before it. */
const announcementDelay: Milliseconds = 25;

/** An accepted order that has no effect within this time is repeated. */
const acceptedOrderTimeout: Milliseconds = 2_500;

/**
 * An unanswered order that has no effect within this time is repeated: a replica reports within some milliseconds that
 * it is busy with one. If the first order arrives late, the replica refuses one of the two, since each states the number
 * of orders that the replica has accepted before.
 */
const unansweredOrderTimeout: Milliseconds = 150;

/** Delay after an order that the replica refused: its registration may still be that of an earlier start. */
const refusedOrderDelay: Milliseconds = 400;

/** The replica counts as down after this many consecutive failed polls. */
const failuresUntilDown = 2;

/** A load that has been announced or ordered. */
interface RunningLoad {
    readonly target: DesiredWeights;
    readonly since: Milliseconds;
    /** Absent until the order was answered or its answer has timed out. */
    orderedAt: Milliseconds | undefined;
    /** Time after `orderedAt` within which the order must have an effect. */
    readonly timeout: Milliseconds;
}

/** A model whose weights are older than the desired ones. */
interface OutdatedModel {
    readonly target: DesiredWeights;
    readonly version: number;
}

/** Agent of one replica. */
export class ReplicaAgent {
    private readonly state = new FleetState();
    private readonly incarnation = randomUUID();
    private readonly innerNode: InnerNode;
    private readonly sync: FleetSync;
    /** What routers have quarantined, kept for routers that start. */
    private readonly crashTracker = new CrashTracker();
    private readonly loadCounter: Counter<"outcome">;
    private report: ReplicaReport | undefined;
    private failureCount = 0;
    private load: RunningLoad | undefined;
    private readonly turnProgress = new TurnProgress();
    private service: ServiceProgress = { replicas: [], spare: 1 };
    private serviceReceivedAt: Milliseconds = -Infinity;
    private lastSentState = "";
    /** Number of statuses created since the start. */
    private statusCount = 0;
    /** Time until the replica's turn is expected; absent unless that is soon. */
    private loadsIn: Milliseconds | undefined;
    private isPolling = false;
    /** Fencing number of the last order. */
    private fence = 0;
    /** Registered instances that the replica has stated not to be, until all are; then they are tried again. */
    private deniedInstances: readonly string[] = [];
    /** No order is sent before this time. */
    private nextOrderAt: Milliseconds = -Infinity;
    private stopped = false;
    /** The settings in force. */
    private currentConfig: ResolvedReplicaAgentConfig;
    private cancelTick: CancelTimer = () => {};

    constructor(private readonly options: ReplicaAgentOptions) {
        const { config, clock, logger, registry } = options;
        this.currentConfig = config;
        this.loadCounter = new Counter({
            name: "redwingpin_weight_loads_total",
            help: "Orders to load weights, by outcome",
            labelNames: ["outcome"],
            registers: [registry],
        });
        this.innerNode = new InnerNode({
            role: ProcessRole.Agent,
            instance: config.instance,
            incarnation: this.incarnation,
            fleetKeys: config.fleetKeys,
            clock,
            logger: logger.scope("inner"),
            revision: () => this.state.configuration?.version ?? 0,
            onRevision: () => {},
            onMessage: () => {},
            onClosed: (connection) => this.sync.handleDisconnect(connection.peer),
            onHandshakeClosed: closedConnectionRecorder(registry, "inner"),
        });
        this.sync = new FleetSync({
            clock,
            logger: logger.scope("fleet"),
            random: seededRandom(randomInt(maxSeed)),
            innerNode: this.innerNode,
            state: this.state,
            address: config.inner,
            role: ProcessRole.Agent,
            isStoreReachable: () => false,
            seeds: [],
            agents: () => [],
            report: (peer) => this.peerReport(peer),
            hasPendingReport: () => false,
            isOwnerOf: () => false,
            onReport: (peer, report) => this.onReport(peer, report),
            onReplicaStatus: () => {},
            onReportDelivered: ({ incarnation }, _address, { crashReport }) => {
                if (crashReport !== undefined) {
                    this.crashTracker.recordDelivery(incarnation, crashReport);
                }
            },
            onFacts: (facts, peer) => this.applyFacts(facts, peer.instance),
        });
    }

    /** Starts polling the replica; resolves with the port on which the agent listens for routers. */
    async start(): Promise<number> {
        const { inner } = this.options.config;
        const port = await this.innerNode.listen(inner.host, inner.port);
        this.sync.start();
        this.tick();
        return port;
    }

    /** Applies settings that can change while the agent runs; addresses and names stay until a restart. */
    reconfigure(config: ResolvedReplicaAgentConfig): void {
        this.currentConfig = config;
    }

    stop(): void {
        this.stopped = true;
        this.cancelTick();
        this.sync.stop();
        this.innerNode.stop();
    }

    private tick(): void {
        this.cancelTick();
        if (this.isPolling || this.stopped) {
            return;
        }
        this.isPolling = true;
        void this.poll().then(() => {
            this.isPolling = false;
            if (!this.stopped) {
                const isBusy = this.load !== undefined || this.loadsIn !== undefined;
                const interval = isBusy ? loadingInterval : idleInterval;
                this.cancelTick = this.options.clock.schedule(interval, () => this.tick());
            }
        });
    }

    /** Reads the replica's report, advances the load and reports changes to routers. */
    private async poll(): Promise<void> {
        const report = await this.options.control.report();
        report.match(
            (value) => this.recordReport(value),
            (error) => this.recordFailure(error),
        );
        await this.advanceLoad();
        this.notifyRouters();
    }

    private recordReport(report: ReplicaReport): void {
        if (this.report?.startedAt !== report.startedAt) {
            this.options.logger.info("replica reached", {
                startedAt: report.startedAt,
                weights: describeWeights(report.weights),
            });
            this.load = undefined;
        }
        this.failureCount = 0;
        this.report = report;
    }

    private recordFailure(error: string): void {
        this.failureCount += 1;
        if (this.failureCount === failuresUntilDown && this.report !== undefined) {
            this.options.logger.warn("replica unreachable", { error });
            this.report = undefined;
            this.load = undefined;
        }
    }

    /** Starts, continues or ends a load. */
    private async advanceLoad(): Promise<void> {
        const { report } = this;
        if (report === undefined) {
            return;
        }
        const outdated = this.findOutdatedModel(report);
        if (outdated === undefined) {
            this.loadsIn = undefined;
            if (!report.busy) {
                this.finishLoad(report);
            }
            return;
        }
        const now = this.options.clock.now();
        if (this.load === undefined) {
            await this.takeStep(outdated, report, now);
            return;
        }
        const { orderedAt, timeout } = this.load;
        if (!report.busy && orderedAt !== undefined && now - orderedAt > timeout) {
            this.options.logger.warn("load order had no effect", { version: outdated.target.version });
            this.load = undefined;
        }
        else if (!report.busy && this.load.target.version !== outdated.target.version) {
            // Newer weights are desired now; those of the announced load are obsolete.
            this.load = undefined;
        }
    }

    private async takeStep(outdated: OutdatedModel, report: ReplicaReport, now: Milliseconds): Promise<void> {
        const { config } = this.options;
        const step: RolloutStep = report.busy ? { kind: "wait" } : rolloutStep({
            address: config.replica,
            version: outdated.version,
            target: outdated.target,
            service: this.service,
            age: now - this.serviceReceivedAt,
            now,
            fallbackAfter: this.currentConfig.loadFallbackAfter,
            allowed: this.currentConfig.loadAllowed,
            progress: this.turnProgress,
        });
        this.loadsIn = step.kind === "prepare" ? step.loadsIn : undefined;
        if (step.kind === "load" && now >= this.nextOrderAt) {
            await this.orderLoad(outdated.target, now);
        }
    }

    /** Returns a model that the replica serves in an older version than the desired one. */
    private findOutdatedModel(report: ReplicaReport): OutdatedModel | undefined {
        for (const { model, version } of report.weights) {
            const target = this.state.desiredWeightsOf(model);
            if (target !== undefined && target.version > version) {
                return { target, version };
            }
        }
        return undefined;
    }

    private async orderLoad(target: DesiredWeights, now: Milliseconds): Promise<void> {
        const { clock, config, control, logger } = this.options;
        const instance = this.registeredInstance();
        const { report } = this;
        if (instance === undefined || report === undefined) {
            return;
        }
        this.loadsIn = undefined;
        this.load = { target, since: now, orderedAt: undefined, timeout: acceptedOrderTimeout };
        this.notifyRouters();
        await new Promise<void>((resolve) => void clock.schedule(announcementDelay, resolve));
        const fence = this.nextFence();
        const answer = await control.load({
            instance,
            model: target.model,
            version: target.version,
            expectedOrders: report.orders,
            holder: config.instance,
            fence,
        });
        const outcome = answer.isOk() ? answer.value : "unanswered";
        if (outcome === OrderAnswer.WrongInstance) {
            this.deniedInstances = [...this.deniedInstances, instance];
        }
        this.loadCounter.inc({ outcome });
        logger.info("ordered to load weights", {
            endpoint: instance,
            model: target.model,
            version: target.version,
            fence,
            orders: report.orders,
            running: report.running,
            spare: this.service.spare,
            age: finiteOrAbsent(now - target.desiredSince),
            outcome,
            error: answer.isErr() ? answer.error : undefined,
        });
        const mayHaveEffect = outcome === OrderAnswer.Accepted || outcome === "unanswered";
        const timeout = outcome === "unanswered" ? unansweredOrderTimeout : acceptedOrderTimeout;
        this.load = mayHaveEffect ? { target, since: now, orderedAt: clock.now(), timeout } : undefined;
        this.nextOrderAt = mayHaveEffect ? -Infinity : clock.now() + refusedOrderDelay;
    }

    /**
     * Fencing number of an order: the highest revision at which weights of any model were named, as far as known. A revision
     * of the order's own model could be lower than that of an earlier order for another model of the replica.
     */
    private nextFence(): number {
        this.fence = Math.max(this.fence, ...this.state.desiredWeights().map(({ revision }) => revision));
        return this.fence;
    }

    private finishLoad(report: ReplicaReport): void {
        if (this.load !== undefined) {
            this.options.logger.info("weights loaded", {
                weights: describeWeights(report.weights),
                took: Math.round(this.options.clock.now() - this.load.since),
            });
            this.load = undefined;
        }
    }

    /**
     * Identifier of the replica from its registration; `undefined` if it has none or is leaving. Of several at its address,
     * it is none that the replica has denied to be, and the one of the start that the replica reports, else the one of the
     * latest start.
     */
    private registeredInstance(): string | undefined {
        const { replica, service } = this.options.config;
        const registered = [...this.state.endpoints()].filter(({ endpoint, removedAt }) =>
            removedAt === undefined && endpoint.service === service
            && `${endpoint.host}:${endpoint.port}` === replica
        );
        const isDenied = ({ endpoint }: KnownEndpoint) => this.deniedInstances.includes(endpoint.instance);
        if (registered.every(isDenied)) {
            this.deniedInstances = [];
        }
        const possible = registered.filter((known) => !isDenied(known));
        const current = possible.filter(({ endpoint }) => endpoint.startedAt === this.report?.startedAt);
        const candidates = current.length > 0 ? current : possible;
        const own = candidates.sort((left, right) => supersedes(left, right) ? -1 : 1)[0];
        return own === undefined || own.endpoint.leaving ? undefined : own.endpoint.instance;
    }

    private applyFacts(facts: readonly FleetFact[], from: string): void {
        const now = this.options.clock.now();
        const { newFacts } = this.state.applyFacts(facts, now);
        // Registrations are not logged here, since routers log them.
        newFacts.filter((fact) => fact.kind !== FactKind.Endpoint)
            .forEach((fact) => logFact(this.options.logger, fact, from));
        if (newFacts.some((fact) => fact.kind === FactKind.Weights)) {
            this.tick();
        }
    }

    private onReport(peer: Hello, report: PeerReport): void {
        if (report.crashReport !== undefined) {
            this.crashTracker.observe(report.crashReport, this.options.clock.now());
        }
        if (peer.role === ProcessRole.Router && report.service !== undefined) {
            this.service = report.service;
            this.serviceReceivedAt = this.options.clock.now();
            if (this.report !== undefined && this.findOutdatedModel(this.report) !== undefined) {
                this.tick();
            }
        }
    }

    private peerReport(peer: Hello | undefined): PeerReport {
        const crashReport = this.crashTracker.reportFor(peer?.incarnation, this.options.clock.now());
        return { ...emptyReport, replica: this.status(), crashReport };
    }

    private status(): ReplicaStatus {
        const { report } = this;
        this.statusCount += 1;
        return {
            start: this.incarnation,
            number: this.statusCount,
            instance: this.registeredInstance(),
            address: this.options.config.replica,
            weights: report?.weights ?? [],
            loading: this.load !== undefined || (report?.busy ?? false),
            loadsIn: this.loadsIn,
            running: report?.running ?? 0,
            queued: report?.queued ?? 0,
            cacheUsed: report?.cacheUsed ?? 0,
            cacheTotal: report?.cacheTotal ?? 0,
        };
    }

    /** Sends the status to routers immediately if something has changed that affects their selection of endpoints. */
    private notifyRouters(): void {
        const status = this.status();
        const { instance, loading, loadsIn, weights } = status;
        const state = `${instance} ${loading} ${loadsIn} ${describeWeights(weights)}`;
        if (state !== this.lastSentState) {
            this.lastSentState = state;
            this.sync.sendReplicaStatus(status);
        }
    }
}

function describeWeights(weights: readonly ModelWeights[]): string {
    return weights.map(({ model, version }) => `${model}@${version}`).join(",");
}

function finiteOrAbsent(value: number): number | undefined {
    return Number.isFinite(value) ? Math.round(value) : undefined;
}
