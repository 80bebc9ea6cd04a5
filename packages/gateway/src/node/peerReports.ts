/**
 * What a router tells its peers and agents at each exchange, and what it takes in from them.
 *
 * @module
 */
import type { Clock, Milliseconds } from "@redwingpin/common";
import {
    type AccountSpending,
    agentInterval,
    type DirectEndpoint,
    emptyReport,
    formatAddress,
    idleInterval,
    minAgentInterval,
    type PeerReport,
    type ReplicaProgress,
    type SavedPrefix,
    type ServiceProgress,
    type WatcherSelection,
} from "@redwingpin/fleet";
import { type Hello, type InnerAddress, ProcessRole } from "@redwingpin/protocol";
import type { CrashTracker } from "../decision/crashTracker.js";
import { type DemandTracker, spareReplicas } from "../decision/demandTracker.js";
import type { EndpointState, EndpointTable } from "../decision/endpointTable.js";
import type { PrefixIndex } from "../decision/prefixIndex.js";
import type { SharedLedger } from "../decision/sharedLedger.js";
import { SpendingRelay } from "../decision/spendingRelay.js";

/** A router takes over its peers' levels during this time after its start. */
const adoptFor: Milliseconds = 2_500;

/** Starts of routers for which it is remembered what they were told. */
const maxRememberedPeers = 2_000;

/** Options of {@link PeerReports}. */
export interface PeerReportsOptions {
    readonly clock: Clock;
    /** True only at the very first start of the whole fleet. */
    readonly isFirstStart: boolean;
    readonly ledger: SharedLedger;
    readonly board: EndpointTable;
    readonly crashes: CrashTracker;
    readonly demand: DemandTracker;
    readonly homes: PrefixIndex;
    /** Names of routers that this one has not heard for a while. */
    readonly missedRouters: () => string[];
    /** Time since the store last answered this router; `undefined` where it does not follow the registrations. */
    readonly followedAge: () => Milliseconds | undefined;
    readonly followDuty: WatcherSelection;
    /** True for agents that this router, of all in touch, tells of their service. */
    readonly isHomeOf: (agent: InnerAddress) => boolean;
    /** Version that a model should run. */
    readonly namedVersion: (model: string) => number | undefined;
    readonly agentOf: (endpoint: DirectEndpoint) => InnerAddress | undefined;
}

/** Makes and reads reports. */
export class PeerReports {
    private readonly startedAt: Milliseconds;
    /** Peers whose levels were taken over. */
    private readonly adoptedFrom = new Set<string>();
    private readonly relays = new SpendingRelay();
    /** What each start of a router was told, by account; those told last stand last. */
    private readonly toldSpending = new Map<string, Map<string, number>>();
    private savedLately: readonly SavedPrefix[] = [];
    private savedLatelyAt: Milliseconds = -Infinity;
    /** Endpoints whose agents look to this router. */
    private ownEndpoints: readonly EndpointState[] = [];

    constructor(private readonly options: PeerReportsOptions) {
        this.startedAt = options.clock.now();
    }

    /** What to tell a peer; agents are told of the service of their replica. */
    reportFor(peer: Hello | undefined, address: InnerAddress | undefined): PeerReport {
        const now = this.options.clock.now();
        if (peer?.role === ProcessRole.Agent) {
            const isOwn = address !== undefined && this.options.isHomeOf(address);
            return { ...emptyReport, service: isOwn ? this.serviceBeside(address, now) : undefined };
        }
        return {
            age: now - this.startedAt,
            spent: this.untold(peer),
            load: this.options.board.ownLoads(),
            crashes: this.options.crashes.report(now),
            levels: this.isSettled(now) && this.isYoung(peer, now) ? this.options.ledger.levels(now) : [],
            demand: this.options.demand.report(now),
            saved: this.savedLately,
            followedAge: this.options.followedAge(),
            missing: this.options.missedRouters(),
            relayed: this.relays.spendingFor(
                peer?.incarnation,
                (incarnation) => this.options.ledger.spentBy(incarnation),
                now,
            ),
            replicas: this.ownEndpoints.flatMap((view) => view.lastStatus(now) ?? []),
        };
    }

    /** The service of the replica whose agent listens at an address. */
    private serviceBeside(address: InnerAddress, now: Milliseconds): ServiceProgress | undefined {
        const own = [...this.options.board.all()].find(({ endpoint }) => {
            const agent = this.options.agentOf(endpoint);
            return agent?.host === address.host && agent.port === address.port;
        });
        if (own === undefined) {
            return undefined;
        }
        const { service } = own.endpoint;
        const serving = this.options.board.ofService(service).filter((view) =>
            !view.endpoint.leaving && !view.isDown(now)
        );
        const replicas = serving.map((view) => ({
            address: `${view.endpoint.host}:${view.endpoint.port}`,
            weights: view.endpoint.weights.map(({ model, version }) => ({
                model,
                version: view.weightsVersion(model, now) ?? version,
            })),
            loading: view.isLoading(now),
        }));
        if (!replicas.some((replica) => this.isBehind(replica))) {
            return undefined;
        }
        const speed = this.options.board.speed(service).tokensPerMillisecond;
        return {
            replicas,
            spare: spareReplicas(serving.length, this.options.demand.total(service, now), speed),
        };
    }

    private isBehind(replica: ReplicaProgress): boolean {
        return replica.weights.some(({ model, version }) =>
            version < (this.options.namedVersion(model) ?? 0)
        );
    }

    /** What this router has spent, as far as a peer has not been told of it. */
    private untold(peer: Hello | undefined): AccountSpending[] {
        const told = peer && this.toldSpending.get(peer.incarnation);
        return this.options.ledger.spent().filter(({ account, tokens }) => told?.get(account) !== tokens);
    }

    /** Notes that a router has a report. */
    told(peer: Hello, address: InnerAddress, report: PeerReport): void {
        if (peer.role !== ProcessRole.Router) {
            return;
        }
        const told = this.toldSpending.get(peer.incarnation) ?? new Map<string, number>();
        this.toldSpending.delete(peer.incarnation);
        this.toldSpending.set(peer.incarnation, told);
        report.spent.forEach(({ account, tokens }) => told.set(account, tokens));
        if (this.toldSpending.size > maxRememberedPeers) {
            this.toldSpending.delete(this.toldSpending.keys().next().value!);
        }
        this.options.ledger.reported(formatAddress(address), report.spent);
    }

    /** Takes in what a peer tells. */
    observe(peer: Hello, report: PeerReport, address: InnerAddress | undefined): void {
        const now = this.options.clock.now();
        if (report.replica !== undefined) {
            this.options.board.observeStatus(report.replica, now);
        }
        if (peer.role !== ProcessRole.Router) {
            return;
        }
        const isYounger = report.age < now - this.startedAt;
        if (address !== undefined) {
            const { age, missing } = report;
            this.options.followDuty.observe(formatAddress(address), report.followedAge);
            this.relays.recordReport(
                formatAddress(address),
                { incarnation: peer.incarnation, age, missing },
                now,
            );
        }
        this.options.ledger.observe({ incarnation: peer.incarnation, isYounger }, report.spent, now);
        for (const { age, incarnation, spent } of report.relayed) {
            const relayed = { incarnation, isYounger: age < now - this.startedAt };
            this.options.ledger.observeRelayed(relayed, spent, now);
        }
        this.options.board.observeLoads(peer.instance, report.load, now);
        this.options.crashes.observe(report.crashes, now);
        this.options.demand.observe(peer.instance, report.demand, now);
        this.options.homes.observeSaved(report.saved);
        report.replicas.forEach(({ age, status }) => this.options.board.observeStatus(status, now - age));
        if (report.levels.length > 0 && !this.adoptedFrom.has(peer.incarnation) && !this.isSettled(now)) {
            this.adoptedFrom.add(peer.incarnation);
            this.options.ledger.adopt(report.levels, now);
        }
    }

    /**
     * Looks up what the next reports tell. Each saved prefix is told in the reports of some exchanges, so that every
     * peer hears of it.
     */
    turn(now: Milliseconds): void {
        this.ownEndpoints = this.endpointsToRelay();
        if (now - this.savedLatelyAt >= idleInterval) {
            this.savedLately = this.options.homes.takeSaved();
            this.savedLatelyAt = now;
        }
    }

    /** Endpoints whose agents look to this router, in a fleet in which other routers seldom ask them. */
    private endpointsToRelay(): EndpointState[] {
        const { agentOf, board, isHomeOf } = this.options;
        const agents = [...board.all()].flatMap((view) => {
            const agent = agentOf(view.endpoint);
            return agent === undefined ? [] : [{ agent, view }];
        });
        return agentInterval(agents.length) > minAgentInterval
            ? agents.filter(({ agent }) => isHomeOf(agent)).map(({ view }) => view)
            : [];
    }

    /** True for a peer that may take over levels, and for one whose age is not known. */
    private isYoung(peer: Hello | undefined, now: Milliseconds): boolean {
        return peer === undefined || this.relays.ageOf(peer.incarnation, now) <= adoptFor;
    }

    /** True once this router's buckets stand for what was spent. */
    private isSettled(now: Milliseconds): boolean {
        return this.options.isFirstStart || now - this.startedAt > adoptFor;
    }
}
