/**
 * Creates the reports that a router sends to its peers and agents at each exchange, and applies the reports that it
 * receives.
 *
 * @module
 */
import type { Clock, Milliseconds } from "@redwingpin/common";
import type { VersionDelivery } from "@redwingpin/delivery";
import {
    type AccountSpending,
    agentInterval,
    type CrashReport,
    type CrashTracker,
    type DirectEndpoint,
    emptyReport,
    formatAddress,
    idleInterval,
    minAgentInterval,
    type PeerReport,
    type ReplicaProgress,
    type SavedPrefix,
    type ServiceProgress,
    type WatcherAnswer,
    type WatcherSelection,
} from "@redwingpin/fleet";
import { type Hello, type InnerAddress, ProcessRole } from "@redwingpin/protocol";
import type { AccountWork } from "@redwingpin/scheduling";
import { type DemandTracker, spareReplicas } from "../decision/demandTracker.js";
import type { EndpointState, EndpointTable } from "../decision/endpointTable.js";
import type { PrefixIndex } from "../decision/prefixIndex.js";
import type { SharedLedger } from "../decision/sharedLedger.js";
import { SpendingRelay } from "../decision/spendingRelay.js";

/** A router adopts the levels of its peers during this time after its start. */
const adoptionPeriod: Milliseconds = 2_500;

/** Minimum interval of reports with the latest answer of the store, so that their cost does not grow with the fleet. */
const minAnswerInterval: Milliseconds = 100;

/**
 * Time without a status of its agent after which an endpoint counts as one without an agent. Agents report at least every
 * 3 s.
 */
const maxStatusAge: Milliseconds = 3_500;

/** Maximum number of router incarnations whose delivered reports are remembered. */
const maxRememberedPeers = 2_000;

/** Options of {@link PeerReports}. */
export interface PeerReportsOptions {
    readonly clock: Clock;
    /** True only on the very first start of the whole fleet. */
    readonly isFirstStart: boolean;
    readonly ledger: SharedLedger;
    readonly endpointTable: EndpointTable;
    readonly crashTracker: CrashTracker;
    readonly demandTracker: DemandTracker;
    /** Work that accounts have received; `undefined` unless it is shared with other routers. */
    readonly accountWork?: () => AccountWork | undefined;
    readonly prefixIndex: PrefixIndex;
    /** Names of known routers with which this one has had no contact for some time. */
    readonly unheardRouterNames: () => string[];
    /** Time since the store last answered this router; `undefined` if it does not watch the registrations. */
    readonly storeAnswerAge: () => Milliseconds | undefined;
    readonly watcherSelection: WatcherSelection;
    /** True for agents that this router owns: of all live routers, it is the one that reports their service to them. */
    readonly isOwnerOf: (agent: InnerAddress) => boolean;
    /** Desired version of a model's weights. */
    readonly desiredVersion: (model: string) => number | undefined;
    readonly agentOf: (endpoint: DirectEndpoint) => InnerAddress | undefined;
    /** The version rollouts, if they are executed. */
    readonly delivery?: () => VersionDelivery | undefined;
}

/** Creates and applies reports. */
export class PeerReports {
    private readonly startedAt: Milliseconds;
    /** Peers whose levels were adopted. */
    private readonly adoptedFrom = new Set<string>();
    private readonly spendingRelay = new SpendingRelay();
    /** Spending that was delivered to each router incarnation, by account; the latest deliveries come last. */
    private readonly deliveredSpending = new Map<string, Map<string, number>>();
    private savedToReport: readonly SavedPrefix[] = [];
    private savedTakenAt: Milliseconds = -Infinity;
    /** Work of the accounts as of the last preparation; absent unless it is shared. */
    private workToReport: readonly AccountSpending[] | undefined;
    private answerReportedAt: Milliseconds = -Infinity;
    /** When each endpoint became known. */
    private readonly knownSince = new WeakMap<EndpointState, Milliseconds>();
    /** Endpoints whose agents this router owns. */
    private ownedEndpoints: readonly EndpointState[] = [];

    constructor(private readonly options: PeerReportsOptions) {
        this.startedAt = options.clock.now();
    }

    /** The report for a peer. The report for an agent contains only the service of its replica. */
    reportFor(peer: Hello | undefined, address: InnerAddress | undefined): PeerReport {
        const now = this.options.clock.now();
        if (peer?.role === ProcessRole.Agent) {
            const isOwned = address !== undefined && this.options.isOwnerOf(address);
            return {
                ...emptyReport,
                service: isOwned ? this.serviceOfAgent(address, now) : undefined,
                crashReport: this.crashReportForAgent(peer, now),
            };
        }
        return {
            age: now - this.startedAt,
            spent: this.unreportedSpending(peer),
            load: this.options.endpointTable.ownLoads(now),
            crashes: [],
            crashReport: this.options.crashTracker.reportFor(peer?.incarnation, now),
            levels: this.hasReliableLevels(now) && this.mayAdoptLevels(peer, now)
                ? this.options.ledger.levels(now)
                : [],
            demand: this.options.demandTracker.report(now),
            work: this.workToReport,
            saved: this.savedToReport,
            followedAge: this.options.storeAnswerAge(),
            latestAnswer: this.takeLatestAnswer(now),
            missing: this.options.unheardRouterNames(),
            relayed: this.spendingRelay.spendingFor(
                peer?.incarnation,
                (incarnation) => this.options.ledger.spentBy(incarnation),
                now,
            ),
            replicas: this.ownedEndpoints.flatMap((endpointState) => endpointState.lastStatus(now) ?? []),
            versions: this.options.delivery?.()?.reportsFor(address && formatAddress(address)),
        };
    }

    private takeLatestAnswer(now: Milliseconds): WatcherAnswer | undefined {
        if (now - this.answerReportedAt < minAnswerInterval) {
            return undefined;
        }
        this.answerReportedAt = now;
        return this.options.watcherSelection.latestAnswer();
    }

    /**
     * Progress of the service whose replica has its agent at the given address; `undefined` if no replica is behind. Replicas
     * whose agents are not heard are left out, since nothing makes them load weights in their turn.
     */
    private serviceOfAgent(address: InnerAddress, now: Milliseconds): ServiceProgress | undefined {
        const ownEndpoint = [...this.options.endpointTable.all()].find(({ endpoint }) => {
            const agent = this.options.agentOf(endpoint);
            return agent?.host === address.host && agent.port === address.port;
        });
        if (ownEndpoint === undefined) {
            return undefined;
        }
        const { service } = ownEndpoint.endpoint;
        const serving = this.options.endpointTable.ofService(service).filter((endpointState) =>
            !endpointState.isLeaving && !endpointState.isDown(now)
        );
        const heard = serving.filter((endpointState) => !this.lacksAgent(endpointState, now));
        const replicas = heard.map((endpointState) => ({
            address: `${endpointState.endpoint.host}:${endpointState.endpoint.port}`,
            weights: endpointState.endpoint.weights.map(({ model, version }) => ({
                model,
                version: endpointState.weightsVersion(model, now) ?? version,
            })),
            loading: endpointState.isLoading(now),
        }));
        if (!replicas.some((replica) => this.isBehind(replica))) {
            return undefined;
        }
        const speed = this.options.endpointTable.speed(service).tokensPerMillisecond;
        return {
            replicas,
            spare: spareReplicas(serving.length, this.options.demandTracker.total(service, now), speed),
        };
    }

    /** True if no status of an endpoint's agent has arrived for some time, although the endpoint is known. */
    private lacksAgent(endpointState: EndpointState, now: Milliseconds): boolean {
        const knownFor = now - (this.knownSince.get(endpointState) ?? now);
        return knownFor > maxStatusAge && endpointState.statusAge(now) > maxStatusAge;
    }

    private isBehind(replica: ReplicaProgress): boolean {
        return replica.weights.some(({ model, version }) =>
            version < (this.options.desiredVersion(model) ?? 0)
        );
    }

    /** Spending of this router that was not delivered to the peer. */
    private unreportedSpending(peer: Hello | undefined): AccountSpending[] {
        const delivered = peer && this.deliveredSpending.get(peer.incarnation);
        return this.options.ledger.spent().filter(({ account, tokens }) =>
            delivered?.get(account) !== tokens
        );
    }

    /** Records that a report was delivered to a router or an agent. */
    recordDelivery(peer: Hello, address: InnerAddress, report: PeerReport): void {
        if (report.crashReport !== undefined) {
            this.options.crashTracker.recordDelivery(peer.incarnation, report.crashReport);
        }
        if (peer.role !== ProcessRole.Router) {
            return;
        }
        const delivered = this.deliveredSpending.get(peer.incarnation) ?? new Map<string, number>();
        this.deliveredSpending.delete(peer.incarnation);
        this.deliveredSpending.set(peer.incarnation, delivered);
        report.spent.forEach(({ account, tokens }) => delivered.set(account, tokens));
        if (this.deliveredSpending.size > maxRememberedPeers) {
            this.deliveredSpending.delete(this.deliveredSpending.keys().next().value!);
        }
        this.options.ledger.recordDelivery(formatAddress(address), report.spent);
    }

    /** Agents keep what is quarantined for routers that start while no other router is left that knows it. */
    private crashReportForAgent(agent: Hello, now: Milliseconds): CrashReport | undefined {
        const report = this.options.crashTracker.reportFor(agent.incarnation, now);
        return report === undefined || report.quarantined.length + report.answered.length === 0
            ? undefined
            : { ...report, suspects: [] };
    }

    /** Applies a report of a peer. */
    observe(peer: Hello, report: PeerReport, address: InnerAddress | undefined): void {
        const now = this.options.clock.now();
        if (report.replica !== undefined) {
            this.options.endpointTable.observeStatus(report.replica, now);
        }
        if (report.crashReport !== undefined) {
            this.options.crashTracker.observe(report.crashReport, now);
        }
        if (peer.role !== ProcessRole.Router) {
            return;
        }
        this.options.delivery?.()?.observe(peer.incarnation, report.versions ?? []);
        const isYounger = report.age < now - this.startedAt;
        if (address !== undefined) {
            const { age, missing } = report;
            this.options.watcherSelection.observe(formatAddress(address), report.followedAge);
            if (report.latestAnswer !== undefined) {
                this.options.watcherSelection.observeAnswer(report.latestAnswer, formatAddress(address));
            }
            this.spendingRelay.recordReport(
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
        this.options.endpointTable.observeLoads(peer.instance, report.load, now);
        this.options.demandTracker.observe(peer.instance, report.demand, now);
        this.options.accountWork?.()?.observe(peer.instance, report.work ?? [], now);
        this.options.prefixIndex.observeSaved(report.saved);
        report.replicas.forEach(({ age, status }) =>
            this.options.endpointTable.observeStatus(status, now - age)
        );
        if (
            report.levels.length > 0 && !this.adoptedFrom.has(peer.incarnation)
            && !this.hasReliableLevels(now)
        ) {
            this.adoptedFrom.add(peer.incarnation);
            this.options.ledger.adopt(report.levels, now);
        }
    }

    /**
     * Prepares the data that is the same in all reports until the next call. Saved prefixes are included for at least
     * the idle interval, so that every peer receives them.
     */
    prepareReports(now: Milliseconds): void {
        this.ownedEndpoints = this.endpointsToRelay();
        this.workToReport = this.options.accountWork?.()?.report(now);
        for (const endpointState of this.options.endpointTable.all()) {
            if (!this.knownSince.has(endpointState)) {
                this.knownSince.set(endpointState, now);
            }
        }
        if (now - this.savedTakenAt >= idleInterval) {
            this.savedToReport = this.options.prefixIndex.takeUnreported();
            this.savedTakenAt = now;
        }
    }

    /** Endpoints whose agents this router owns, if the fleet is so large that the other routers seldom poll agents. */
    private endpointsToRelay(): EndpointState[] {
        const { agentOf, endpointTable, isOwnerOf } = this.options;
        const agents = [...endpointTable.all()].flatMap((endpointState) => {
            const agent = agentOf(endpointState.endpoint);
            return agent === undefined ? [] : [{ agent, endpointState }];
        });
        return agentInterval(agents.length) > minAgentInterval
            ? agents.filter(({ agent }) => isOwnerOf(agent)).map(({ endpointState }) => endpointState)
            : [];
    }

    /** True for a peer that may still adopt levels, and for one of unknown age. */
    private mayAdoptLevels(peer: Hello | undefined, now: Milliseconds): boolean {
        return peer === undefined || this.spendingRelay.ageOf(peer.incarnation, now) <= adoptionPeriod;
    }

    /** True once this router's levels include the spending of the whole fleet. */
    private hasReliableLevels(now: Milliseconds): boolean {
        return this.options.isFirstStart || now - this.startedAt > adoptionPeriod;
    }
}
