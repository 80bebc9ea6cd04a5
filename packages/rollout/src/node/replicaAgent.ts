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
    readonly loadLatestAfter: Milliseconds;
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
const calmInterval: Milliseconds = 250;

/** Interval of reports while weights are being loaded. */
const loadingInterval: Milliseconds = 30;

/** Time for routers to hear that no more requests should come, before the order is given. */
const announceTime: Milliseconds = 25;

/** An accepted order that shows no effect after this time is given again. */
const acceptedPatience: Milliseconds = 2_500;

/**
 * An order without an answer that shows no effect after this time is given again: a replica states within some
 * milliseconds that it is busy with one. If the first order arrives after all, one of the two is refused, since each
 * names the number of orders that the replica has accepted before.
 */
const unansweredPatience: Milliseconds = 150;

/** Pause after an order that the replica refused: its registration may still name an earlier start. */
const refusedOrderPause: Milliseconds = 400;

/** Reports that may fail in a row before the replica counts as down. */
const failuresUntilDown = 2;

/** A load that has been announced or ordered. */
interface RunningLoad {
    readonly target: DesiredWeights;
    readonly since: Milliseconds;
    /** Absent until the order was answered or given up. */
    orderedAt: Milliseconds | undefined;
    /** Time in which the order must show an effect. */
    readonly patience: Milliseconds;
}

/** A model whose weights are not the newest. */
interface Behind {
    readonly target: DesiredWeights;
    readonly version: number;
}

/** Works beside one replica. */
export class ReplicaAgent {
    private readonly state = new FleetState();
    private readonly incarnation = randomUUID();
    private readonly innerNode: InnerNode;
    private readonly sync: FleetSync;
    private readonly loads: Counter<"outcome">;
    private report: ReplicaReport | undefined;
    private failures = 0;
    private load: RunningLoad | undefined;
    private service: ServiceProgress = { replicas: [], spare: 1 };
    private serviceAt: Milliseconds = -Infinity;
    private told = "";
    /** Statuses made since the start. */
    private statuses = 0;
    /** Time until the expected turn of the replica. */
    private loadsIn: Milliseconds | undefined;
    private looking = false;
    /** No order is given before this time. */
    private orderAfter: Milliseconds = -Infinity;
    private stopped = false;
    /** The settings in force. */
    private bounds: ResolvedReplicaAgentConfig;
    private cancelTick: CancelTimer = () => {};

    constructor(private readonly options: ReplicaAgentOptions) {
        const { config, clock, logger, registry } = options;
        this.bounds = config;
        this.loads = new Counter({
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
            onClosed: (connection) => this.sync.connectionClosed(connection.peer),
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
            onFacts: (facts, peer) => this.learn(facts, peer.instance),
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
        this.bounds = config;
    }

    stop(): void {
        this.stopped = true;
        this.cancelTick();
        this.sync.stop();
        this.innerNode.stop();
    }

    private tick(): void {
        this.cancelTick();
        if (this.looking || this.stopped) {
            return;
        }
        this.looking = true;
        void this.look().then(() => {
            this.looking = false;
            if (!this.stopped) {
                const isBusy = this.load !== undefined || this.loadsIn !== undefined;
                const interval = isBusy ? loadingInterval : calmInterval;
                this.cancelTick = this.options.clock.schedule(interval, () => this.tick());
            }
        });
    }

    /** Reads the replica's report and acts on it. */
    private async look(): Promise<void> {
        const report = await this.options.control.report();
        report.match(
            (value) => this.reported(value),
            (error) => this.failed(error),
        );
        await this.advance();
        this.tellRouters();
    }

    private reported(report: ReplicaReport): void {
        if (this.report?.startedAt !== report.startedAt) {
            this.options.logger.info("replica reached", {
                startedAt: report.startedAt,
                weights: describeWeights(report.weights),
            });
            this.load = undefined;
        }
        this.failures = 0;
        this.report = report;
    }

    private failed(error: string): void {
        this.failures += 1;
        if (this.failures === failuresUntilDown && this.report !== undefined) {
            this.options.logger.warn("replica lost", { error });
            this.report = undefined;
            this.load = undefined;
        }
    }

    /** Starts, continues or ends a load. */
    private async advance(): Promise<void> {
        const { report } = this;
        if (report === undefined) {
            return;
        }
        const behind = this.behind(report);
        if (behind === undefined) {
            this.loadsIn = undefined;
            if (!report.busy) {
                this.endLoad(report);
            }
            return;
        }
        const now = this.options.clock.now();
        if (this.load === undefined) {
            await this.takeStep(behind, report, now);
            return;
        }
        const { orderedAt, patience } = this.load;
        if (!report.busy && orderedAt !== undefined && now - orderedAt > patience) {
            this.options.logger.warn("an order showed no effect", { version: behind.target.version });
            this.load = undefined;
        }
        else if (!report.busy && this.load.target.version !== behind.target.version) {
            // Newer weights were named; those of the running load are not wanted any more.
            this.load = undefined;
        }
    }

    private async takeStep(behind: Behind, report: ReplicaReport, now: Milliseconds): Promise<void> {
        const { config } = this.options;
        const step: RolloutStep = report.busy ? { kind: "wait" } : rolloutStep({
            address: config.replica,
            version: behind.version,
            target: behind.target,
            service: this.service,
            age: now - this.serviceAt,
            now,
            latestAfter: this.bounds.loadLatestAfter,
            allowed: this.bounds.loadAllowed,
        });
        this.loadsIn = step.kind === "prepare" ? step.loadsIn : undefined;
        if (step.kind === "load" && now >= this.orderAfter) {
            await this.begin(behind.target, now);
        }
    }

    /** A model that the replica serves in an older version than the newest named one. */
    private behind(report: ReplicaReport): Behind | undefined {
        for (const { model, version } of report.weights) {
            const target = this.state.desiredWeightsOf(model);
            if (target !== undefined && target.version > version) {
                return { target, version };
            }
        }
        return undefined;
    }

    private async begin(target: DesiredWeights, now: Milliseconds): Promise<void> {
        const { clock, config, control, logger } = this.options;
        const instance = this.instance();
        const { report } = this;
        if (instance === undefined || report === undefined) {
            return;
        }
        this.loadsIn = undefined;
        this.load = { target, since: now, orderedAt: undefined, patience: acceptedPatience };
        this.tellRouters();
        await new Promise<void>((resolve) => void clock.schedule(announceTime, resolve));
        const answer = await control.load({
            instance,
            model: target.model,
            version: target.version,
            expectedOrders: report.orders,
            holder: config.instance,
            fence: target.revision,
        });
        const outcome = answer.isOk() ? answer.value : "unanswered";
        this.loads.inc({ outcome });
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
        const patience = outcome === "unanswered" ? unansweredPatience : acceptedPatience;
        this.load = expected ? { target, since: now, orderedAt: clock.now(), patience } : undefined;
        this.orderAfter = expected ? -Infinity : clock.now() + refusedOrderPause;
    }

    private endLoad(report: ReplicaReport): void {
        if (this.load !== undefined) {
            this.options.logger.info("weights in place", {
                weights: describeWeights(report.weights),
                took: Math.round(this.options.clock.now() - this.load.since),
            });
            this.load = undefined;
        }
    }

    /** Identifier of the replica, as routers know it from its registration. */
    private instance(): string | undefined {
        const { replica, service } = this.options.config;
        const registered = [...this.state.endpoints()].filter(({ endpoint, removedAt }) =>
            removedAt === undefined && endpoint.service === service
            && `${endpoint.host}:${endpoint.port}` === replica
        );
        const newest = registered.sort((left, right) => right.revision - left.revision)[0];
        return newest === undefined || newest.endpoint.leaving ? undefined : newest.endpoint.instance;
    }

    private learn(facts: readonly FleetFact[], from: string): void {
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
            this.serviceAt = this.options.clock.now();
            if (this.report !== undefined && this.behind(this.report) !== undefined) {
                this.tick();
            }
        }
    }

    private peerReport(): PeerReport {
        return { ...emptyReport, replica: this.status() };
    }

    private status(): ReplicaStatus {
        const { report } = this;
        this.statuses += 1;
        return {
            start: this.incarnation,
            number: this.statuses,
            instance: this.instance(),
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
    private tellRouters(): void {
        const status = this.status();
        const { instance, loading, loadsIn, weights } = status;
        const told = `${instance} ${loading} ${loadsIn} ${describeWeights(weights)}`;
        if (told !== this.told) {
            this.told = told;
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
