/**
 * Decides when a replica loads newly named weights. Replicas that are behind take turns in an order that every agent
 * works out alike, a part of them at a time, so that no leader is needed and the rest keeps serving.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import { type NamedWeights, replacedAt, type ReplicaProgress } from "@redwingpin/fleet";

/** Replicas load in about this many groups; loads slow each other down where more of them run at once. */
export const rolloutGroups = 4;

/** Replicas of a service that may load at once. */
export function loadsAtOnce(replicas: number): number {
    return Math.max(1, Math.floor(replicas / rolloutGroups));
}

/** What a replica should do about newly named weights. */
export enum RolloutStep {
    /** Go on serving. */
    Wait = "wait",
    /** Its turn is next: take no new requests, so that runs end by the time of its turn. */
    Prepare = "prepare",
    /** Load the weights now. */
    Load = "load",
}

/** Replicas that prepare while others load. */
const preparing = 1;

/** What decides about a turn. */
export interface TurnInput {
    /** `host:port` of this agent's replica. */
    readonly address: string;
    /** Version that the replica serves. */
    readonly version: number;
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

/** Decides what the replica should do now. Those that are furthest behind go first. */
export function rolloutStep(input: TurnInput): RolloutStep {
    const { address, age, now, replicas, target, version } = input;
    const replaced = replacedAt(target, version);
    if (replaced === undefined) {
        return RolloutStep.Wait;
    }
    if (now - replaced >= input.latestAfter) {
        return RolloutStep.Load;
    }
    if (age > progressLifetime) {
        return RolloutStep.Wait;
    }
    const before = replicas.filter((replica) =>
        replica.address !== address && isBefore(replica, target, { address, version })
    );
    const places = loadsAtOnce(replicas.length) - before.length;
    if (places > 0) {
        return RolloutStep.Load;
    }
    return places + preparing > 0 ? RolloutStep.Prepare : RolloutStep.Wait;
}

interface Place {
    readonly address: string;
    readonly version: number;
}

function isBefore(replica: ReplicaProgress, target: NamedWeights, own: Place): boolean {
    const version = replica.weights.find((entry) => entry.model === target.model)?.version;
    if (version === undefined) {
        return false;
    }
    if (replica.loading) {
        return true;
    }
    return version < own.version || (version === own.version && replica.address < own.address);
}
