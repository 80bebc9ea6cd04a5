/**
 * Decides when a version rollout enters its next phase. Several routers decide, the later ones in rendezvous order with a
 * delay, so that a decider that is gone, paused or cut off is replaced without an election. Two of them may decide at the
 * same time: phases only advance, a rejection outranks every phase before completion, and the store accepts one final
 * state for an order.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import { isDecided, phaseRank, VersionPhase, type VersionRollout } from "@redwingpin/fleet";
import { type OutcomeTotals, runningOf, sum } from "./outcomeCounts.js";
import { type RolloutSchedule, scheduleOf, type ServiceTraffic } from "./rolloutPlan.js";
import { doubtfulEvidence, isLikelyBad, suspiciousEvidence, type Verdict } from "./versionVerdict.js";

/** Number of routers that decide on a service. */
export const deciderCount = 3;

/** Delay of each further decider. */
const deciderDelay: Milliseconds = 700;

/** Delay of each further decider before it rejects a version: it has the same evidence some time later. */
const rejectionDelay: Milliseconds = 200;

/** Share of the live routers whose reports are needed to send more requests to the new version. */
const requiredReporters = 0.7;

/** New responses that are needed before the canary phase ends, or this share of all requests if those are fewer. */
const requiredAnswers = 5;
const requiredAnswerShare = 0.02;

/** New responses that are needed for the commitment before its last chance. */
const answersToCommit = 25;

/** Minimum time from the commitment to completion, as a multiple of the time of the phases before. */
const watchAfterCommitment = 1.25;

/** With fewer new responses, completion waits for the last write: slow ones may not have arrived. */
const answersToComplete = 60;

/** A suspicious version with this many bad responses is rejected: after 50 the time for the rollback begins. */
const badWithoutDelay = 30;

/** The new version needs this part of the old one's slots; less shortly before the time limit. */
const requiredSlots = 0.5;
const lastRequiredSlots = 0.25;

/** What a decider knows. */
export interface DecisionInput {
    readonly now: Milliseconds;
    readonly rollout: VersionRollout;
    /** Position of this router among the deciders, from 0 on. */
    readonly rank: number;
    readonly totals: OutcomeTotals;
    readonly verdict: Verdict;
    readonly traffic: ServiceTraffic;
    readonly liveRouters: number;
    /** Time in which every router is expected to report. */
    readonly reportAge: Milliseconds;
    /** New responses when the phase began. */
    readonly answeredBefore: number;
}

/** A decision on the next phase. */
export interface PhaseDecision {
    readonly phase: VersionPhase;
    readonly reason: string;
}

/** The next phase; `undefined` to stay in the present one. */
export function decidePhase(input: DecisionInput): PhaseDecision | undefined {
    const { now, rank, rollout, verdict } = input;
    const { phase, startedAt } = rollout;
    if (isDecided(phase) || phase === VersionPhase.Unknown || startedAt === undefined) {
        return undefined;
    }
    const elapsed = now - startedAt;
    const schedule = scheduleOf(rollout.duration, input.traffic.drainTime);
    const isBad = verdict.isBad
        || (verdict.evidence >= suspiciousEvidence && verdict.newBad >= badWithoutDelay);
    if (isBad && elapsed >= rank * rejectionDelay) {
        return { phase: VersionPhase.RolledBack, reason: describeVerdict(verdict) };
    }
    const delay = rank * deciderDelay;
    const isLastChance = elapsed >= schedule.lastChanceAt + delay;
    const isLastWrite = elapsed >= schedule.lastWriteAt + delay;
    if (
        (isLastWrite || (isLastChance && phase !== VersionPhase.Committed))
        && isLikelyBad(verdict, answeredByNew(input.totals))
    ) {
        // Shortly before the time limit, what is more likely decides.
        return { phase: VersionPhase.RolledBack, reason: `at the time limit, ${describeVerdict(verdict)}` };
    }
    if (phase === VersionPhase.Committed) {
        const isWatched = verdict.evidence < suspiciousEvidence
            && now - rollout.phaseAt >= watchAfterCommitment * schedule.watch
            && answeredByNew(input.totals) >= answersToComplete;
        return isLastWrite || (isDrained(input) && isWatched)
            ? { phase: VersionPhase.Completed, reason: describeRunning(input) }
            : undefined;
    }
    if (!hasRecentTotals(input) || !hasCapacity(input, isLastChance)) {
        return undefined;
    }
    if (isLastChance) {
        return { phase: VersionPhase.Committed, reason: `at the time limit, ${describeVerdict(verdict)}` };
    }
    return isDue(input, schedule, elapsed - delay) && hasAnswers(input)
        ? { phase: nextPhase(phase), reason: describeVerdict(verdict) }
        : undefined;
}

function nextPhase(phase: VersionPhase): VersionPhase {
    switch (phase) {
        case VersionPhase.Canary:
            return VersionPhase.Half;
        case VersionPhase.Half:
            return VersionPhase.Full;
        default:
            return VersionPhase.Committed;
    }
}

function isDue(
    { now, rollout, rank }: DecisionInput,
    schedule: RolloutSchedule,
    elapsed: Milliseconds,
): boolean {
    const phaseAge = now - rollout.phaseAt - rank * deciderDelay;
    switch (rollout.phase) {
        case VersionPhase.Canary:
            return elapsed >= schedule.halfAt;
        default:
            return phaseAge >= schedule.watch;
    }
}

/** True if enough routers have reported lately. Missing totals stop the increase of the share. */
function hasRecentTotals({ liveRouters, now, reportAge, totals }: DecisionInput): boolean {
    return totals.since(now - reportAge).length >= requiredReporters * liveRouters;
}

/** True if the new version has answered requests in this phase and, before the commitment, enough of them without doubt. */
function hasAnswers({ answeredBefore, rollout, totals, verdict }: DecisionInput): boolean {
    const answered = answeredByNew(totals);
    const required = Math.min(requiredAnswers, requiredAnswerShare * totals.requests);
    const mayCommit = answered >= answersToCommit && verdict.evidence < doubtfulEvidence;
    return answered - answeredBefore >= required && (rollout.phase !== VersionPhase.Full || mayCommit);
}

/** Responses of the new version. */
export function answeredByNew(totals: OutcomeTotals): number {
    return sum(totals.routes().map(({ fresh }) => fresh.answered));
}

function hasCapacity({ traffic }: DecisionInput, isLastChance: boolean): boolean {
    const required = isLastChance ? lastRequiredSlots : requiredSlots;
    return traffic.newSlots > 0 && traffic.newSlots >= required * traffic.oldSlots;
}

/** True if each live router has reported since it knew of the commitment that none of its requests run on old replicas. */
function isDrained({ liveRouters, now, reportAge, totals }: DecisionInput): boolean {
    const reports = totals.since(now - reportAge)
        .filter((report) => phaseRank(report.phase as VersionPhase) >= phaseRank(VersionPhase.Committed));
    return reports.length >= liveRouters
        && reports.every((report) => (report.runningOld ?? runningOf(report, false)) === 0);
}

function describeRunning({ totals }: DecisionInput): string {
    const running = sum(totals.routes().map(({ old }) => old.started - old.ended));
    return `${running} requests run on old replicas as far as reported`;
}

/** The verdict with its inputs, for logs. */
export function describeVerdict(verdict: Verdict): string {
    const { evidence, significance, kind, newAnswered, newBad, oldAnswered, oldBad, route } = verdict;
    return `evidence ${evidence.toFixed(1)}, significance ${
        significance.toFixed(1)
    }: ${kind} ${newBad} of ${newAnswered} new, `
        + `${oldBad} of ${oldAnswered} old${route === "" ? "" : ` on route ${route}`}`;
}
