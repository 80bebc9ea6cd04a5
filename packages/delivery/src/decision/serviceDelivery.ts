/**
 * What a router keeps for one order: its own counts, the totals of all routers, the test of the new version, and the
 * store's record.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import {
    eraOf,
    isDecided,
    phaseRank,
    revisionOf,
    VersionPhase,
    type VersionReport,
    type VersionRollout,
    VersionState,
    type VersionStatus,
} from "@redwingpin/fleet";
import { durationQuantile, histogramSteps, OutcomeCounts, OutcomeTotals } from "./outcomeCounts.js";
import {
    capacityShareOf,
    type ExposureBounds,
    type ExposureInput,
    type ServiceTraffic,
} from "./rolloutPlan.js";
import { answeredByNew, decidePhase, deciderCount, type PhaseDecision } from "./rolloutState.js";
import { StatusRecord } from "./statusRecord.js";
import { type Verdict, VersionTest } from "./versionVerdict.js";

/** Reports older than this, or than a few intervals of reports, are no evidence for the next phase. */
const minReportAge: Milliseconds = 1_500;
const reportAgeIntervals = 2.5;

/** Share of old requests that the expected time to finish covers, and that time while nothing is known. */
const drainQuantile = 0.99;
const unknownDrainTime: Milliseconds = 1_500;

/** Delay of each further decider before it writes a state that another one has announced. */
const writeDelay: Milliseconds = 1_000;

/** What a service's rollout needs of its router. */
export interface ServiceDeliveryOptions {
    readonly bounds: () => ExposureBounds;
    readonly routerDraw: number;
    readonly routerStartedAt: Milliseconds;
    readonly liveRouters: () => number;
    /** Number of routers that answered before and are unresponsive now. */
    readonly unresponsiveRouters: () => number;
    /** Requests of this router that run on endpoints of the old version; `undefined` if only the counts tell. */
    readonly runningOld: () => number | undefined;
    readonly slots: () => Pick<ServiceTraffic, "newSlots" | "oldSlots">;
    readonly now: () => Milliseconds;
}

/** State of one order at one router. */
export class ServiceDelivery {
    readonly counts = new OutcomeCounts();
    readonly totals = new OutcomeTotals();
    readonly record = new StatusRecord();
    verdict: Verdict | undefined;
    /** Reason for completion, once it is due. */
    completion: string | undefined;
    private readonly test = new VersionTest();
    private readonly order: number;
    private readonly to: string;
    private era: number;
    /** The most routers that were live at the same time: each has a part of the slack. */
    private maxRouters = 1;
    private phase: VersionPhase | undefined;
    private answeredBefore = 0;

    constructor(rollout: VersionRollout, private readonly options: ServiceDeliveryOptions) {
        this.order = revisionOf(rollout.revision);
        this.to = rollout.to;
        this.era = eraOf(rollout.revision);
    }

    isFor({ revision, to }: VersionRollout): boolean {
        return revisionOf(revision) === this.order && to === this.to;
    }

    exposure(rollout: VersionRollout, requestDraw: number): ExposureInput {
        const { bounds, liveRouters, now, routerDraw, routerStartedAt, slots } = this.options;
        this.maxRouters = Math.max(this.maxRouters, liveRouters());
        const startedAt = rollout.startedAt ?? now();
        return {
            phase: rollout.phase,
            bounds: bounds(),
            duration: rollout.duration,
            elapsed: Math.max(0, now() - startedAt),
            capacityShare: capacityShareOf(slots()),
            requests: this.counts.requests,
            exposed: this.counts.exposed,
            // An earlier incarnation may have used this router's part.
            slackPart: routerStartedAt > startedAt ? 0 : 1 / this.maxRouters,
            routerDraw,
            requestDraw,
        };
    }

    ownReport(rollout: VersionRollout): VersionReport {
        return {
            ...this.counts.report(rollout.service, rollout.revision, rollout.phase),
            runningOld: this.options.runningOld(),
        };
    }

    /** The next phase, if this router is the decider of the given rank. */
    decide(
        rollout: VersionRollout,
        rank: number,
        incarnation: string,
        reportInterval: Milliseconds,
    ): PhaseDecision | undefined {
        if (isDecided(rollout.phase)) {
            return undefined;
        }
        const { liveRouters, now, unresponsiveRouters } = this.options;
        this.totals.observe(incarnation, this.ownReport(rollout), now());
        this.verdict = this.test.observe(this.totals.routes());
        if (rollout.phase !== this.phase) {
            this.phase = rollout.phase;
            this.answeredBefore = rollout.phase === VersionPhase.Canary ? 0 : answeredByNew(this.totals);
        }
        return decidePhase({
            now: now(),
            rollout,
            rank,
            totals: this.totals,
            verdict: this.verdict,
            traffic: this.traffic(),
            // Without the unresponsive ones, a router that is cut off from all others would decide on its own totals.
            liveRouters: liveRouters() + unresponsiveRouters(),
            reportAge: Math.max(minReportAge, reportAgeIntervals * reportInterval),
            answeredBefore: this.answeredBefore,
        });
    }

    /** The state that the store should have, if this router has to write it. */
    targetStatus(
        rollout: VersionRollout,
        rank: number,
        ownName: string,
        wallTime: Milliseconds,
    ): VersionStatus | undefined {
        const now = this.options.now();
        if (this.era !== eraOf(rollout.revision)) {
            this.era = eraOf(rollout.revision);
            this.record.forget();
        }
        const isDue = now - rollout.phaseAt >= rank * writeDelay;
        const { phase, startedAt } = rollout;
        if (rank >= deciderCount || phase === VersionPhase.Unknown || startedAt === undefined) {
            return undefined;
        }
        if (isDecided(phase) && (rollout.isStored || !isDue)) {
            return undefined;
        }
        const state = phase === VersionPhase.RolledBack
            ? VersionState.RolledBack
            : phase === VersionPhase.Completed || this.isCompleting(phase)
            ? VersionState.Completed
            : VersionState.Running;
        if (state === VersionState.Running && !isDue) {
            return undefined;
        }
        return {
            order: this.order,
            to: this.to,
            state,
            startedAt: Math.round(wallTime - (now - startedAt)),
            decidedBy: isDecided(phase) ? rollout.decidedBy ?? ownName : ownName,
        };
    }

    private isCompleting(phase: VersionPhase): boolean {
        return this.completion !== undefined && phaseRank(phase) === phaseRank(VersionPhase.Committed);
    }

    private traffic(): ServiceTraffic {
        const durations = Array<number>(histogramSteps).fill(0);
        this.totals.routes().forEach(({ old }) =>
            old.durations.forEach((count, step) => durations[step] += count)
        );
        return {
            ...this.options.slots(),
            drainTime: durationQuantile(durations, drainQuantile) ?? unknownDrainTime,
        };
    }
}
