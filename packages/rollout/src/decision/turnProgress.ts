/**
 * Replicas that hold their turn to load weights without making progress, so that the turns of the others pass on.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { DesiredWeights, ReplicaProgress } from "@redwingpin/fleet";

/** A replica that has its turn but does not begin to load holds back the others for this time. */
export const startLimit: Milliseconds = 1_400;

/**
 * A replica that loads holds back the others for this time: running requests may have to end first. A quarter of the
 * replicas loads at a time, so that one replica of each group may need it within the 9.5 s that a rollout may take.
 */
export const loadLimit: Milliseconds = 4_200;

interface ObservedTurn {
    readonly version: number;
    /** When it first had its turn; a replica that then stops loading does not begin a new turn. */
    readonly since: Milliseconds;
    readonly loadingSince: Milliseconds | undefined;
}

/** Observes the replicas of a service while their weights are older than the desired ones. */
export class TurnProgress {
    private turns = new Map<string, ObservedTurn>();
    private target = "";

    /**
     * Returns the replicas that others wait for: those that are behind and make progress, or have not had their turn long
     * enough. `ordered` are the replicas that are behind, in the order of their turns.
     */
    observe(
        ordered: readonly ReplicaProgress[],
        target: DesiredWeights,
        groupSize: number,
        now: Milliseconds,
    ): ReplicaProgress[] {
        this.beginTarget(target);
        const turns = new Map<string, ObservedTurn>();
        const awaited: ReplicaProgress[] = [];
        for (const replica of ordered) {
            const turn = this.turnOf(replica, target, awaited.length < groupSize, now);
            if (turn !== undefined) {
                turns.set(replica.address, turn);
            }
            if (turn === undefined || !isStalled(turn, now)) {
                awaited.push(replica);
            }
        }
        this.turns = turns;
        return awaited;
    }

    private beginTarget({ model, version }: DesiredWeights): void {
        const target = `${model}@${version}`;
        if (target !== this.target) {
            this.target = target;
            this.turns = new Map();
        }
    }

    private turnOf(
        replica: ReplicaProgress,
        { model }: DesiredWeights,
        isFirst: boolean,
        now: Milliseconds,
    ): ObservedTurn | undefined {
        const version = replica.weights.find((entry) => entry.model === model)?.version ?? 0;
        const known = this.turns.get(replica.address);
        const before = known?.version === version ? known : undefined;
        const hadTurn = before !== undefined && isStalled(before, now);
        if (!isFirst && !replica.loading && !hadTurn) {
            return undefined;
        }
        const loadingSince = replica.loading ? before?.loadingSince ?? now : undefined;
        return { version, since: before?.since ?? now, loadingSince };
    }
}

function isStalled({ loadingSince, since }: ObservedTurn, now: Milliseconds): boolean {
    return loadingSince === undefined ? now - since > startLimit : now - loadingSince > loadLimit;
}
