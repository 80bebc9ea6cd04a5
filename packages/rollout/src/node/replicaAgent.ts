/**
 * The agent beside a replica: watches it, tells routers of it, and is the only one that orders it to load weights.
 *
 * @module
 */
import type { CancelTimer, Clock, Logger, Milliseconds } from "@redwingpin/common";
import {
    type DesiredWeights,
    emptyReport,
    FactKind,
    type FleetFact,
    FleetState,
    FleetSync,
    logFact,
    type ModelWeights,
    type PeerReport,
    type ReplicaStatus,
    type ServiceProgress,
} from "@redwingpin/fleet";
import { type FleetKeys, type Hello, type InnerAddress, InnerNode, ProcessRole } from "@redwingpin/protocol";
import { randomUUID } from "node:crypto";
import { Counter, type Registry } from "prom-client";
import { type RolloutStep, rolloutStep } from "../decision/rolloutTurn.js";
import { OrderAnswer, type ReplicaControl, type ReplicaReport } from "../replicaControl.js";

/** Everything that an agent is told at its start. */
export interface ResolvedReplicaAgentConfig {
    readonly instance: string;
    readonly fleetKeys: FleetKeys;
    readonly inner: InnerAddress;
    /** `host:port` of the replica. */
    readonly replica: string;
    readonly service: string;
    /** Time from the naming of weights after which they are loaded whatever the other replicas do. */
    readonly loadFallbackAfter: Milliseconds;
    /** Time from the naming of weights in which every replica should have them. */
    readonly loadAllowed: Milliseconds;
}

/** What an agent is made from. */
export interface ReplicaAgentOptions {
    readonly config: ResolvedReplicaAgentConfig;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly registry: Registry;
    readonly control: ReplicaControl;
}

/** Interval of reports of an idle replica. */
const idleInterval: Milliseconds = 250;

/** Interval of reports while weights are being loaded. */
const loadingInterval: Milliseconds = 30;

/** Time for routers to hear that no more requests should come, before the order is given. */
const announcementDelay: Milliseconds = 25;

/** An accepted order that shows no effect after this time is given again. */
const acceptedOrderTimeout: Milliseconds = 2_500;

/**
 * An order without an answer that shows no effect after this time is given again: a replica states within some
 * milliseconds that it is busy with one. If the first order arrives after all, one of the two is refused, since each
 * names the number of orders that the replica has accepted before.
 */
const unansweredOrderTimeout: Milliseconds = 150;

/** Pause after an order that the replica refused: its registration may still name an earlier start. */
const refusedOrderDelay: Milliseconds = 400;

/** Reports that may fail in a row before the replica counts as down. */
const failuresUntilDown = 2;

/** A load that has been announced or ordered. */
interface RunningLoad {
    readonly target: DesiredWeights;
    readonly since: Milliseconds;
    /** Absent until the order was answered or given up. */
    orderedAt: Milliseconds | undefined;
    /** Time in which the order must show an effect. */
    readonly timeout: Milliseconds;
}

/** A model whose weights are not the newest. */
interface OutdatedModel {
    readonly target: DesiredWeights;
    readonly version: number;
}

/** Works beside one replica. */
export class ReplicaAgent {
    private readonly state = new FleetState();
    private readonly incarnation = randomUUID();
    private readonly innerNode: InnerNode;
    private readonly sync: FleetSync;
    private readonly loadCounter: Counter<"outcome">;
    private report: ReplicaReport | undefined;
    private failureCount = 0;
    private load: RunningLoad | undefined;
    private service: ServiceProgress = { replicas: [], spare: 1 };
    private serviceReceivedAt: Milliseconds = -Infinity;
    private lastSentState = "";
    /** Statuses made since the start. */
    private statusCount = 0;
    /** Time until the expected turn of the replica. */
    private loadsIn: Milliseconds | undefined;
    private isPolling = false;
    /** No order is given before this time. */
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
        });
        this.sync = new FleetSync({
            clock,
            logger: logger.scope("fleet"),
            innerNode: this.innerNode,
            state: this.state,
            address: config.inner,
            role: ProcessRole.Agent,
            isStoreReachable: () => false,
            seeds: [],
            agents: () => [],
            report: () => this.peerReport(),
            hasPendingReport: () => false,
            isOwnerOf: () => false,
            onReport: (peer, report) => this.onReport(peer, report),
            onReplicaStatus: () => {},
            onReportDelivered: () => {},
            onFacts: (facts, peer) => this.applyFacts(facts, peer.instance),
        });
    }

    /** Starts to watch the replica; resolves with the port on which routers reach the agent. */
    async start(): Promise<number> {
        const { inner } = this.options.config;
        const port = await this.innerNode.listen(inner.host, inner.port);
        this.sync.start();
        this.tick();
        return port;
    }

    /** Takes over settings that can change while it runs; addresses and names stay until a restart. */
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

    /** Reads the replica's report and acts on it. */
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
            this.options.logger.warn("replica lost", { error });
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
        const behind = this.findOutdatedModel(report);
        if (behind === undefined) {
            this.loadsIn = undefined;
            if (!report.busy) {
                this.finishLoad(report);
            }
            return;
        }
        const now = this.options.clock.now();
        if (this.load === undefined) {
            await this.takeStep(behind, report, now);
            return;
        }
        const { orderedAt, timeout: patience } = this.load;
        if (!report.busy && orderedAt !== undefined && now - orderedAt > patience) {
            this.options.logger.warn("an order showed no effect", { version: behind.target.version });
            this.load = undefined;
        }
        else if (!report.busy && this.load.target.version !== behind.target.version) {
            // Newer weights were named; those of the running load are not wanted any more.
            this.load = undefined;
        }
    }

    private async takeStep(behind: OutdatedModel, report: ReplicaReport, now: Milliseconds): Promise<void> {
        const { config } = this.options;
        const step: RolloutStep = report.busy ? { kind: "wait" } : rolloutStep({
            address: config.replica,
            version: behind.version,
            target: behind.target,
            service: this.service,
            age: now - this.serviceReceivedAt,
            now,
            fallbackAfter: this.currentConfig.loadFallbackAfter,
            allowed: this.currentConfig.loadAllowed,
        });
        this.loadsIn = step.kind === "prepare" ? step.loadsIn : undefined;
        if (step.kind === "load" && now >= this.nextOrderAt) {
            await this.orderLoad(behind.target, now);
        }
    }

    /** A model that the replica serves in an older version than the newest named one. */
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
        const answer = await control.load({
            instance,
            model: target.model,
            version: target.version,
            expectedOrders: report.orders,
            holder: config.instance,
            fence: target.revision,
        });
        const outcome = answer.isOk() ? answer.value : "unanswered";
        this.loadCounter.inc({ outcome });
        logger.info("ordered to load weights", {
            endpoint: instance,
            model: target.model,
            version: target.version,
            fence: target.revision,
            orders: report.orders,
            running: report.running,
            spare: this.service.spare,
            age: finiteOrAbsent(now - target.desiredSince),
            outcome,
            error: answer.isErr() ? answer.error : undefined,
        });
        const expected = outcome === OrderAnswer.Accepted || outcome === "unanswered";
        const patience = outcome === "unanswered" ? unansweredOrderTimeout : acceptedOrderTimeout;
        this.load = expected ? { target, since: now, orderedAt: clock.now(), timeout: patience } : undefined;
        this.nextOrderAt = expected ? -Infinity : clock.now() + refusedOrderDelay;
    }

    private finishLoad(report: ReplicaReport): void {
        if (this.load !== undefined) {
            this.options.logger.info("weights in place", {
                weights: describeWeights(report.weights),
                took: Math.round(this.options.clock.now() - this.load.since),
            });
            this.load = undefined;
        }
    }

    /** Identifier of the replica, as routers know it from its registration. */
    private registeredInstance(): string | undefined {
        const { replica, service } = this.options.config;
        const registered = [...this.state.endpoints()].filter(({ endpoint, removedAt }) =>
            removedAt === undefined && endpoint.service === service
            && `${endpoint.host}:${endpoint.port}` === replica
        );
        const newest = registered.sort((left, right) => right.revision - left.revision)[0];
        return newest === undefined || newest.endpoint.leaving ? undefined : newest.endpoint.instance;
    }

    private applyFacts(facts: readonly FleetFact[], from: string): void {
        const now = this.options.clock.now();
        const news = facts.filter((fact) => this.state.learn(fact, now));
        // Registrations of other replicas matter to routers, which log them.
        news.filter((fact) => fact.kind !== FactKind.Endpoint)
            .forEach((fact) => logFact(this.options.logger, fact, from));
        if (news.some((fact) => fact.kind === FactKind.Weights)) {
            this.tick();
        }
    }

    private onReport(peer: Hello, report: PeerReport): void {
        if (peer.role === ProcessRole.Router && report.service !== undefined) {
            this.service = report.service;
            this.serviceReceivedAt = this.options.clock.now();
            if (this.report !== undefined && this.findOutdatedModel(this.report) !== undefined) {
                this.tick();
            }
        }
    }

    private peerReport(): PeerReport {
        return { ...emptyReport, replica: this.status() };
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

    /** Tells routers at once of a change that matters to their choice. */
    private notifyRouters(): void {
        const status = this.status();
        const { instance, loading, loadsIn, weights } = status;
        const told = `${instance} ${loading} ${loadsIn} ${describeWeights(weights)}`;
        if (told !== this.lastSentState) {
            this.lastSentState = told;
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
