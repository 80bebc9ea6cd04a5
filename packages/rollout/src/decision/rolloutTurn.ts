/**
 * Decides when a replica loads newly named weights. Replicas that are behind take turns in an order that every agent
 * works out alike, a part of them at a time and no more than the demand leaves to spare, so that no leader is needed
 * and the rest keeps serving in time.
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

/** Replicas load in about this many groups; loads slow each other down where more of them run at once. */
export const rolloutGroups = 4;

/** Replicas of a service that may load at once. */
export function maxConcurrentLoads(replicas: number): number {
    return Math.max(1, Math.round(replicas / rolloutGroups));
}

/** Time that one group takes: a load of somewhat more than a second, and the last runs before it. */
export const groupTime: Milliseconds = 1_400;

/** Groups ahead of their turn in which replicas take no requests any more that would outlast it. */
const preparationGroups = 2;

/** What a replica should do about newly named weights. */
export type RolloutStep =
    /** Go on serving. */
    | { readonly kind: "wait"; }
    /** Its turn is near: take no requests that would outlast it. */
    | { readonly kind: "prepare"; readonly loadsIn: Milliseconds; }
    /** Load the weights now. */
    | { readonly kind: "load"; };

/** What decides about a turn. */
export interface TurnInput {
    /** `host:port` of this agent's replica. */
    readonly address: string;
    /** Version that the replica serves. */
    readonly version: number;
    readonly target: DesiredWeights;
    /** The service as a router last told of it. */
    readonly service: ServiceProgress;
    /** Age of what routers told; infinite where none did. */
    readonly age: Milliseconds;
    readonly now: Milliseconds;
    /** Time after which weights are loaded by an agent that hears of no others. */
    readonly fallbackAfter: Milliseconds;
    /** Time in which every replica should have the weights. */
    readonly allowed: Milliseconds;
}

/** What routers told counts for this long. */
const progressLifetime: Milliseconds = 3_000;

/** Decides what the replica should do now. Those that are furthest behind go first. */
export function rolloutStep(input: TurnInput): RolloutStep {
    const { address, age, now, service, target, version } = input;
    const replaced = supersededAt(target, version);
    if (replaced === undefined) {
        return { kind: "wait" };
    }
    if (age > progressLifetime) {
        const blindAfter = input.fallbackAfter + fallbackGroup(address) * groupTime;
        return now - replaced >= blindAfter ? { kind: "load" } : { kind: "wait" };
    }
    const before = service.replicas.filter((replica) =>
        replica.address !== address && precedes(replica, target, { address, version })
    );
    const behind = service.replicas.filter((replica) => isBehind(replica, target)).length;
    const places = concurrentLoads(service, behind, input.allowed - (now - replaced));
    const group = Math.floor(before.length / places);
    if (group === 0) {
        return { kind: "load" };
    }
    return group <= preparationGroups ? { kind: "prepare", loadsIn: group * groupTime } : { kind: "wait" };
}

/** Replicas that may load now: what the demand spares, or more where the time for the rest runs out. */
function concurrentLoads(service: ServiceProgress, behind: number, left: Milliseconds): number {
    const most = maxConcurrentLoads(service.replicas.length);
    const pressed = left <= 0 ? most : Math.floor(behind * groupTime / left);
    return Math.max(1, Math.min(most, Math.max(service.spare, pressed)));
}

function isBehind(replica: ReplicaProgress, target: DesiredWeights): boolean {
    const version = replica.weights.find((entry) => entry.model === target.model)?.version;
    return version !== undefined && version < target.version;
}

/** Group of an agent that hears of no others. */
function fallbackGroup(address: string): number {
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
