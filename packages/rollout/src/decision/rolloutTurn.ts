/**
 * Decides when a replica loads newly desired weights. Replicas that are behind take turns in an order that every agent
 * computes alike, so no leader is needed. Only some of them load at a time, and no more than the demand leaves to spare,
 * so that the others keep serving in time.
 *
 * @module
 */
import { type Milliseconds, rendezvousScore } from "@redwingpin/common";
import {
    type DesiredWeights,
    type ReplicaProgress,
    type ServiceProgress,
    supersededAt,
} from "@redwingpin/fleet";
import type { TurnProgress } from "./turnProgress.js";

/** Number of groups, approximately, in which replicas load; with fewer, concurrent loads would slow each other down. */
export const rolloutGroups = 4;

/** Maximum number of replicas of a service that may load concurrently. */
export function maxConcurrentLoads(replicas: number): number {
    return Math.max(1, Math.round(replicas / rolloutGroups));
}

/** Time that one group takes: the last running requests, and then a load of somewhat more than a second. */
export const groupTime: Milliseconds = 1_400;

/**
 * With at most this many groups ahead of it, a replica prepares for its turn: it accepts no requests that would still run
 * when the turn begins.
 */
const maxGroupsAhead = 2;

/** What a replica should do about newly desired weights. */
export type RolloutStep =
    /** Keep serving. */
    | { readonly kind: "wait"; }
    /** Prepare for the turn, which begins after `loadsIn`: accept no requests that would still run then. */
    | { readonly kind: "prepare"; readonly loadsIn: Milliseconds; }
    /** Load the weights now. */
    | { readonly kind: "load"; };

/** Input of {@link rolloutStep}. */
export interface TurnInput {
    /** `host:port` of this agent's replica. */
    readonly address: string;
    /** Version that the replica serves. */
    readonly version: number;
    readonly target: DesiredWeights;
    /** The service as a router last reported it. */
    readonly service: ServiceProgress;
    /** Age of that report; infinite if there is none. */
    readonly age: Milliseconds;
    readonly now: Milliseconds;
    /** Time after which an agent without a recent report has its replica load the weights. */
    readonly fallbackAfter: Milliseconds;
    /** Time within which every replica should have loaded the weights. */
    readonly allowed: Milliseconds;
    /** What this agent has observed of the turns of the replicas. */
    readonly progress: TurnProgress;
}

/** A router's report of the service expires after this time. */
const progressLifetime: Milliseconds = 3_000;

/** Decides what the replica should do now. The replicas that are furthest behind go first. */
export function rolloutStep(input: TurnInput): RolloutStep {
    const { address, age, now, service, target, version } = input;
    const supersededSince = supersededAt(target, version);
    if (supersededSince === undefined) {
        return { kind: "wait" };
    }
    if (age > progressLifetime) {
        const loadAfter = input.fallbackAfter + fallbackGroup(address) * groupTime;
        return now - supersededSince >= loadAfter ? { kind: "load" } : { kind: "wait" };
    }
    const others = service.replicas.filter((replica) => replica.address !== address);
    const behind = service.replicas.filter((replica) => isBehind(replica, target)).length;
    const groupSize = concurrentLoads(service, behind, input.allowed - (now - supersededSince));
    const awaited = input.progress.observe(inTurnOrder(others, target), target, groupSize, now);
    const before = awaited.filter((replica) => precedes(replica, target, { address, version }));
    const group = Math.floor(before.length / groupSize);
    if (group === 0) {
        return { kind: "load" };
    }
    return group <= maxGroupsAhead ? { kind: "prepare", loadsIn: group * groupTime } : { kind: "wait" };
}

/** Number of replicas that may load now: those that the demand spares, or more if the time for the others runs out. */
function concurrentLoads(service: ServiceProgress, behind: number, timeLeft: Milliseconds): number {
    const maxLoads = maxConcurrentLoads(service.replicas.length);
    const requiredLoads = timeLeft <= 0 ? maxLoads : Math.floor(behind * groupTime / timeLeft);
    return Math.max(1, Math.min(maxLoads, Math.max(service.spare, requiredLoads)));
}

function isBehind(replica: ReplicaProgress, target: DesiredWeights): boolean {
    const version = replica.weights.find((entry) => entry.model === target.model)?.version;
    return version !== undefined && version < target.version;
}

/** Replicas for whose turn others may wait: those that load come first, then those that are furthest behind. */
function inTurnOrder(replicas: readonly ReplicaProgress[], target: DesiredWeights): ReplicaProgress[] {
    const versionOf = (replica: ReplicaProgress) =>
        replica.weights.find((entry) => entry.model === target.model)?.version;
    return replicas
        .flatMap((replica) => {
            const version = versionOf(replica);
            const isAwaited = version !== undefined && (replica.loading || version < target.version);
            return isAwaited ? [{ replica, version }] : [];
        })
        .sort((left, right) =>
            Number(right.replica.loading) - Number(left.replica.loading)
            || left.version - right.version
            || (left.replica.address < right.replica.address ? -1 : 1)
        )
        .map(({ replica }) => replica);
}

/** Group of an agent without a recent report. */
function fallbackGroup(address: string): number {
    // "blind" is part of the score: agents of all versions must compute the same groups.
    return rendezvousScore("blind", address) % rolloutGroups;
}

interface ReplicaPosition {
    readonly address: string;
    readonly version: number;
}

function precedes(replica: ReplicaProgress, target: DesiredWeights, own: ReplicaPosition): boolean {
    const version = replica.weights.find((entry) => entry.model === target.model)?.version;
    if (version === undefined) {
        return false;
    }
    if (replica.loading) {
        return true;
    }
    return version < own.version || (version === own.version && replica.address < own.address);
}
