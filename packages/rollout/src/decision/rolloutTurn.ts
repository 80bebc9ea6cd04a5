/**
 * Decides when a replica loads newly named weights. Replicas that are behind take turns in an order that every agent
 * works out alike, a part of them at a time, so that no leader is needed and the rest keeps serving.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { NamedWeights, ReplicaProgress } from "@redwingpin/fleet";

/** Replicas load in about this many groups; loads slow each other down where more of them run at once. */
export const rolloutGroups = 4;

/** Replicas of a service that may load at once. */
export function loadsAtOnce(replicas: number): number {
    return Math.max(1, Math.ceil(replicas / rolloutGroups));
}

/** What decides about a turn. */
export interface TurnInput {
    /** `host:port` of this agent's replica. */
    readonly address: string;
    readonly target: NamedWeights;
    /** Replicas of the service as routers last told. */
    readonly replicas: readonly ReplicaProgress[];
    /** Age of what routers told; infinite where none did. */
    readonly age: Milliseconds;
    readonly now: Milliseconds;
    /** Time after which weights are loaded whatever the others do. */
    readonly latestAfter: Milliseconds;
}

/** What routers told counts for this long. */
const progressLifetime: Milliseconds = 3_000;

/** True where the replica should load the weights now. */
export function isTurn(input: TurnInput): boolean {
    const { address, age, now, replicas, target } = input;
    if (now - target.learnedAt >= input.latestAfter) {
        return true;
    }
    if (age > progressLifetime) {
        return false;
    }
    const behind = replicas.filter((replica) => replica.address !== address && isBehind(replica, target));
    const before = behind.filter((replica) => replica.loading || replica.address < address);
    return before.length < loadsAtOnce(Math.max(1, replicas.length));
}

function isBehind(replica: ReplicaProgress, target: NamedWeights): boolean {
    const version = replica.weights.find((entry) => entry.model === target.model)?.version;
    return version !== undefined && (version < target.version || replica.loading);
}
