import type { NamedWeights, ReplicaProgress } from "@redwingpin/fleet";
import { expect } from "chai";
import { RolloutStep, rolloutStep, type TurnInput } from "../index.js";

const target: NamedWeights = { model: "drafting", version: 3, revision: 9, namedAt: 1_000, earlier: [] };

function replicas(versions: readonly number[], loading: readonly number[] = []): ReplicaProgress[] {
    return versions.map((version, index) => ({
        address: `10.0.0.${index}:80`,
        weights: [{ model: "drafting", version }],
        loading: loading.includes(index),
    }));
}

function stepOf(
    index: number,
    fleet: readonly ReplicaProgress[],
    more: Partial<TurnInput> = {},
): RolloutStep {
    return rolloutStep({
        address: fleet[index].address,
        version: fleet[index].weights[0].version,
        target,
        replicas: fleet,
        age: 100,
        now: 1_200,
        latestAfter: 5_000,
        ...more,
    });
}

describe("turns of a roll-out", () => {
    it("lets a quarter of the replicas load and one more prepare", () => {
        const fleet = replicas([2, 2, 2, 2, 2, 2, 2, 2]);
        const steps = fleet.map((_, index) => stepOf(index, fleet));
        expect(steps.filter((step) => step === RolloutStep.Load).length).to.equal(2);
        expect(steps.filter((step) => step === RolloutStep.Prepare).length).to.equal(1);
    });

    it("starts with the replicas that are furthest behind while versions follow each other", () => {
        const fleet = replicas([2, 2, 2, 2, 2, 2, 1, 1]);
        expect([stepOf(6, fleet), stepOf(7, fleet)]).to.deep.equal([RolloutStep.Load, RolloutStep.Load]);
        expect(stepOf(1, fleet)).to.equal(RolloutStep.Wait);
    });

    it("waits for replicas that load, also those of a later turn", () => {
        const fleet = replicas([2, 2, 2, 2, 2, 2, 2, 2], [6, 7]);
        expect(stepOf(0, fleet)).to.equal(RolloutStep.Prepare);
        expect(stepOf(1, fleet)).to.equal(RolloutStep.Wait);
    });

    it("goes on once those before are done", () => {
        const fleet = replicas([3, 3, 2, 2, 2, 2, 2, 2]);
        expect([stepOf(2, fleet), stepOf(3, fleet)]).to.deep.equal([RolloutStep.Load, RolloutStep.Load]);
    });

    it("does nothing without news of the others, until the latest time", () => {
        const fleet = replicas([2, 2]);
        expect(stepOf(0, fleet, { age: Infinity })).to.equal(RolloutStep.Wait);
        expect(stepOf(0, fleet, { age: Infinity, now: 6_000 })).to.equal(RolloutStep.Load);
    });

    it("loads at once where the age of the newest weights is not known", () => {
        const fleet = replicas([2, 2, 2, 2, 2, 2, 2, 2]);
        const unknown = { ...target, namedAt: -Infinity };
        expect(stepOf(7, fleet, { target: unknown })).to.equal(RolloutStep.Load);
    });

    it("lets a single replica load", () => {
        expect(stepOf(0, replicas([2]))).to.equal(RolloutStep.Load);
    });
});
