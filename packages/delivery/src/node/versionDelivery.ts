/**
 * Runs the version rollouts of a router: counts outcomes, reports them to the routers that decide, decides if this router is
 * one of these, and keeps the store's record of the state.
 *
 * @module
 */
import {
    type Clock,
    type Logger,
    type Milliseconds,
    type RandomSource,
    RendezvousOwnerCache,
} from "@redwingpin/common";
import {
    isDecided,
    phaseRank,
    revisionOf,
    VersionPhase,
    type VersionReport,
    type VersionRollout,
    type VersionRolloutNews,
    type VersionRollouts,
    type VersionStatusStore,
} from "@redwingpin/fleet";
import { RequestVersions } from "../decision/requestVersions.js";
import type { ExposureBounds } from "../decision/rolloutPlan.js";
import { deciderCount } from "../decision/rolloutState.js";
import { ServiceDelivery } from "../decision/serviceDelivery.js";

/** Interval of reports to the deciders, and its growth with the number of routers, which bounds the deciders' work. */
const minReportInterval: Milliseconds = 300;
const reportIntervalPerRouter: Milliseconds = 15;

/** Number of deciders to which reports are sent at this interval; the next ones receive them in the usual exchanges. */
const promptDeciders = 2;

/** A router that cannot read a state counts as not ready for at most this time. */
const maxUnreadTime: Milliseconds = 3_000;

/** A process that ran nothing for this time was paused, or is about to end: it may have missed a verdict. */
const maxPause: Milliseconds = 1_000;

/** Time after a pause in which facts from peers arrive. */
const recoveryTime: Milliseconds = 1_000;

/** Part of the time for a rollback after which a router without contact with peers sends nothing to a new version. */
const silenceShare = 0.4;

/** Slots of the endpoints of a service that take requests. */
export interface ServiceSlots {
    readonly newSlots: number;
    readonly oldSlots: number;
}

/** Options of {@link VersionDelivery}. */
export interface VersionDeliveryOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    /** Name of this router among the live ones. */
    readonly ownName: string;
    readonly incarnation: string;
    readonly bounds: () => ExposureBounds;
    readonly rollouts: VersionRollouts;
    readonly store: VersionStatusStore;
    /** Names of the live routers, including this one. */
    readonly liveRouterNames: () => readonly string[];
    /**
     * Number of routers that answered before and are unresponsive now.
     * @default 0
     */
    readonly unresponsiveRouters?: () => number;
    /**
     * Requests of this router that run on endpoints of versions other than `to`, whenever they began.
     * @default those that the reports count
     */
    readonly runningOld?: (service: string, to: string) => number;
    readonly slots: (service: string, to: string) => ServiceSlots;
    /** Applies a decision and passes it on. */
    readonly announce: (news: VersionRolloutNews) => void;
    /** Starts exchanges with routers, whose reports contain {@link VersionDelivery.reportsFor}. */
    readonly deliverReports: (routers: readonly string[]) => void;
}

/** State of one rollout for operators. */
export interface DeliveryStatus {
    readonly rollout: VersionRollout;
    readonly requests: number;
    readonly exposed: number;
    readonly evidence: number;
}

/** The version rollouts of one router. */
export class VersionDelivery {
    private readonly services = new Map<string, ServiceDelivery>();
    private readonly owners = new RendezvousOwnerCache(deciderCount);
    private readonly startedAt: Milliseconds;
    private reportedAt: Milliseconds = -Infinity;
    private ranAt: Milliseconds;
    private recoversUntil: Milliseconds = -Infinity;
    private contactAt: Milliseconds;
    /** True once this router has had contact with another one. */
    private hasPeers = false;

    constructor(private readonly options: VersionDeliveryOptions) {
        this.startedAt = options.clock.now();
        this.ranAt = this.startedAt;
        this.contactAt = this.startedAt;
    }

    /** The versions for a request to a service; `undefined` if the service has no order. */
    open(service: string): RequestVersions | undefined {
        const rollout = this.options.rollouts.of(service);
        if (rollout === undefined) {
            return undefined;
        }
        const delivery = this.serviceDelivery(rollout);
        return new RequestVersions({
            rollout: () => this.options.rollouts.of(service) ?? rollout,
            counts: delivery.counts,
            mayHaveMissedVerdict: () => this.mayHaveMissedVerdict(),
            exposure: (requestDraw) => delivery.exposure(this.rolloutOf(rollout), requestDraw),
        }, this.options.random.unit());
    }

    /** True while this router does not know whether an order was decided; it should not get requests yet. */
    get hasUnread(): boolean {
        return this.options.clock.now() - this.startedAt < maxUnreadTime
            && this.options.rollouts.all().some(({ phase }) => phase === VersionPhase.Unknown);
    }

    /** Reports for a router: those of the services on which it decides. */
    reportsFor(router: string | undefined): VersionReport[] | undefined {
        const reports = this.running().flatMap((rollout) =>
            router !== undefined && this.deciders(rollout).includes(router)
                ? [this.serviceDelivery(rollout).ownReport(rollout)]
                : []
        );
        return reports.length === 0 ? undefined : reports;
    }

    /** True after a pause, and while there is no contact with peers, through which verdicts arrive. */
    private mayHaveMissedVerdict(): boolean {
        const now = this.options.clock.now();
        const maxSilence = silenceShare * this.options.bounds().rollback;
        return now < this.recoversUntil || now - this.ranAt > maxPause
            || (this.hasPeers && now - this.contactAt > maxSilence);
    }

    /** Records contact with another router, and applies its reports. */
    observe(incarnation: string, reports: readonly VersionReport[]): void {
        const now = this.options.clock.now();
        this.contactAt = now;
        this.hasPeers = true;
        for (const report of reports) {
            const rollout = this.options.rollouts.of(report.service);
            if (rollout !== undefined && revisionOf(rollout.revision) === revisionOf(report.order)) {
                this.serviceDelivery(rollout).totals.observe(incarnation, report, now);
            }
        }
    }

    /** Reports, decides and writes what is due. */
    run(): void {
        const now = this.options.clock.now();
        if (now - this.ranAt > maxPause) {
            this.recoversUntil = now + recoveryTime;
        }
        this.ranAt = now;
        this.reportIfDue();
        for (const rollout of this.options.rollouts.all()) {
            const rank = this.deciders(rollout).indexOf(this.options.ownName);
            if (rank >= 0) {
                this.decide(rollout, rank);
            }
            this.callStore(this.rolloutOf(rollout), rank);
        }
    }

    statuses(): DeliveryStatus[] {
        return this.options.rollouts.all().map((rollout) => {
            const { counts, totals, verdict } = this.serviceDelivery(rollout);
            return {
                rollout,
                requests: Math.max(counts.requests, totals.requests),
                exposed: Math.max(counts.exposed, totals.exposed),
                evidence: verdict?.evidence ?? 0,
            };
        });
    }

    private rolloutOf(rollout: VersionRollout): VersionRollout {
        return this.options.rollouts.of(rollout.service) ?? rollout;
    }

    private running(): VersionRollout[] {
        return this.options.rollouts.all().filter(({ phase }) => !isDecided(phase));
    }

    private deciders({ service }: VersionRollout): readonly string[] {
        return this.owners.ownersOf(`version ${service}`, this.options.liveRouterNames());
    }

    private serviceDelivery(rollout: VersionRollout): ServiceDelivery {
        const known = this.services.get(rollout.service);
        if (known?.isFor(rollout)) {
            return known;
        }
        const created = new ServiceDelivery(rollout, {
            bounds: this.options.bounds,
            routerDraw: this.options.random.unit(),
            routerStartedAt: this.startedAt,
            liveRouters: () => this.options.liveRouterNames().length,
            unresponsiveRouters: () => this.options.unresponsiveRouters?.() ?? 0,
            runningOld: () => this.options.runningOld?.(rollout.service, rollout.to),
            slots: () => this.options.slots(rollout.service, rollout.to),
            now: () => this.options.clock.now(),
        });
        this.services.set(rollout.service, created);
        return created;
    }

    private get reportInterval(): Milliseconds {
        return Math.max(minReportInterval, reportIntervalPerRouter * this.options.liveRouterNames().length);
    }

    private reportIfDue(): void {
        const { clock, deliverReports, ownName } = this.options;
        const now = clock.now();
        if (now - this.reportedAt < this.reportInterval) {
            return;
        }
        const receivers = new Set(
            this.running().flatMap((rollout) => this.deciders(rollout).slice(0, promptDeciders)),
        );
        receivers.delete(ownName);
        if (receivers.size > 0) {
            this.reportedAt = now;
            receivers.forEach((receiver) => deliverReports([receiver]));
        }
    }

    private decide(rollout: VersionRollout, rank: number): void {
        const { incarnation, ownName } = this.options;
        const delivery = this.serviceDelivery(rollout);
        const decision = delivery.decide(rollout, rank, incarnation, this.reportInterval);
        if (decision === undefined) {
            return;
        }
        if (decision.phase === VersionPhase.Completed) {
            // Completion is announced once the store has accepted it: the old replicas stop then.
            delivery.completion ??= decision.reason;
            return;
        }
        this.announce(rollout, decision.phase, {
            decidedBy: ownName,
            reason: decision.reason,
            isStored: false,
        });
    }

    private announce(
        { startedAt, phaseAt: _, ...content }: VersionRollout,
        phase: VersionPhase,
        more: Pick<VersionRolloutNews, "decidedBy" | "reason" | "isStored"> & {
            readonly age?: Milliseconds;
        },
    ): void {
        const { announce, clock, logger } = this.options;
        const age = startedAt === undefined ? more.age : clock.now() - startedAt;
        logger.info("version rollout decided", {
            service: content.service,
            to: content.to,
            phase,
            age: age === undefined ? undefined : Math.round(age),
            ...more,
            ...this.logTotals(content.service),
        });
        announce({ ...content, phase, phaseAge: 0, ...more, age });
    }

    private logTotals(service: string): Record<string, unknown> {
        const delivery = this.services.get(service);
        return delivery === undefined ? {} : {
            requests: delivery.totals.requests,
            exposed: delivery.totals.exposed,
            evidence: delivery.verdict?.evidence,
            reportAge: delivery.totals.oldestAge(this.options.clock.now()),
        };
    }

    private callStore(rollout: VersionRollout, rank: number): void {
        const { clock, logger, ownName, store } = this.options;
        const now = clock.now();
        const { service } = rollout;
        const delivery = this.serviceDelivery(rollout);
        const target = rank < 0 ? undefined : delivery.targetStatus(rollout, rank, ownName, clock.wallTime());
        const call = delivery.record.nextCall(target, rollout.phase === VersionPhase.Unknown, now);
        if (call === undefined) {
            return;
        }
        const fail = ({ message }: { readonly message: string; }) => {
            logger.warn("state of a version rollout could not be read or written", {
                service,
                call: call.kind,
                state: call.kind === "write" ? call.status.state : undefined,
                error: message,
            });
            delivery.record.recordFailure(clock.now());
        };
        if (call.kind === "read") {
            void store.read(service).match((stored) => {
                delivery.record.recordStored(stored);
                this.adoptStored(service, delivery);
            }, fail);
            return;
        }
        void store.write(service, call.status, call.expectedRevision).match((outcome) => {
            if (outcome.kind === "written") {
                delivery.record.recordStored({ status: call.status, revision: outcome.revision });
            }
            else {
                delivery.record.recordConflict(outcome.stored, clock.now());
            }
            logger.info("state of a version rollout", {
                service,
                to: call.status.to,
                state: call.status.state,
                outcome: outcome.kind,
            });
            this.adoptStored(service, delivery);
        }, fail);
    }

    /** Applies what the store holds, unless a newer order has replaced the one that was asked for. */
    private adoptStored(service: string, delivery: ServiceDelivery): void {
        const { clock, ownName, rollouts } = this.options;
        const rollout = rollouts.of(service);
        if (rollout === undefined || !delivery.isFor(rollout)) {
            return;
        }
        const stored = delivery.record.storedPhase(rollout);
        if (stored === undefined) {
            if (rollout.phase === VersionPhase.Unknown) {
                // No router has begun to execute the order.
                const more = {
                    decidedBy: ownName,
                    reason: "the order has no state",
                    isStored: false,
                    age: 0,
                };
                this.announce(rollout, VersionPhase.Canary, more);
            }
            return;
        }
        const isNew = phaseRank(stored.phase) > phaseRank(rollout.phase);
        if (isNew || (isDecided(stored.phase) && stored.phase === rollout.phase && !rollout.isStored)) {
            const age = Math.max(0, clock.wallTime() - stored.startedAt);
            const reason = stored.phase === VersionPhase.Completed ? delivery.completion : rollout.reason;
            this.announce(rollout, stored.phase, {
                decidedBy: stored.decidedBy,
                reason: reason ?? "read from the store",
                isStored: isDecided(stored.phase),
                age,
            });
        }
    }
}
