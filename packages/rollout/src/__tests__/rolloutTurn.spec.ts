import type { DesiredWeights, ReplicaProgress } from "@redwingpin/fleet";
import { expect } from "chai";
import { type RolloutStep, rolloutStep, type TurnInput, TurnProgress } from "../index.js";

const target: DesiredWeights = {
    model: "drafting",
    version: 3,
    revision: 9,
    desiredSince: 1_000,
    previous: [],
};

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
): RolloutStep["kind"] {
    return rolloutStep({
        address: fleet[index].address,
        version: fleet[index].weights[0].version,
        target,
        service: { replicas: fleet, spare: fleet.length },
        age: 100,
        now: 1_200,
        fallbackAfter: 5_000,
        allowed: 9_500,
        progress: new TurnProgress(),
        ...more,
    }).kind;
}

describe("turns of a rollout", () => {
    it("lets a quarter of the replicas load and the next two groups prepare", () => {
        const fleet = replicas([2, 2, 2, 2, 2, 2, 2, 2]);
        const steps = fleet.map((_, index) => stepOf(index, fleet));
        expect(steps.filter((step) => step === "load").length).to.equal(2);
        expect(steps.filter((step) => step === "prepare").length).to.equal(4);
    });

    it("starts with the replicas that are furthest behind when several versions are outdated", () => {
        const fleet = replicas([2, 2, 2, 2, 2, 2, 1, 1]);
        expect([stepOf(6, fleet), stepOf(7, fleet)]).to.deep.equal(["load", "load"]);
        expect(stepOf(1, fleet)).to.equal("prepare");
    });

    it("waits for replicas that are loading, even if their turn is later", () => {
        const fleet = replicas([2, 2, 2, 2, 2, 2, 2, 2], [6, 7]);
        expect(stepOf(0, fleet)).to.equal("prepare");
        expect(stepOf(1, fleet)).to.equal("prepare");
    });

    it("lets the next replicas load once the first ones have", () => {
        const fleet = replicas([3, 3, 2, 2, 2, 2, 2, 2]);
        expect([stepOf(2, fleet), stepOf(3, fleet)]).to.deep.equal(["load", "load"]);
    });

    it("without reports of the others, waits until the fallback time and then loads in groups", () => {
        const fleet = replicas(Array.from({ length: 40 }, () => 2));
        const loadingAt = (now: number) =>
            fleet.filter((_, index) => stepOf(index, fleet, { age: Infinity, now }) === "load")
                .length;
        expect(loadingAt(5_900)).to.equal(0);
        expect(loadingAt(6_000)).to.be.within(1, 20);
        expect(loadingAt(6_000 + 3 * 1_400)).to.equal(40);
    });

    it("never lets all replicas load at the same time, however late it is, if it has reports of the others", () => {
        for (const count of [4, 6, 8, 9, 34]) {
            const fleet = replicas(Array.from({ length: count }, () => 2));
            const steps = fleet.map((_, index) => stepOf(index, fleet, { now: 11_000 }));
            const loading = steps.filter((step) => step === "load").length;
            expect(loading, `${count} replicas`).to.equal(Math.max(1, Math.round(count / 4)));
        }
    });

    it("waits for its turn even if the age of the newest weights is unknown", () => {
        const fleet = replicas([2, 2, 2, 2, 2, 2, 2, 2]);
        const unknown = { ...target, desiredSince: -Infinity };
        expect(stepOf(0, fleet, { target: unknown })).to.equal("load");
        expect(stepOf(7, fleet, { target: unknown })).not.to.equal("load");
    });

    it("loads on no more replicas than the demand leaves to spare", () => {
        const fleet = replicas([2, 2, 2, 2, 2, 2]);
        const steps = fleet.map((_, index) =>
            stepOf(index, fleet, { service: { replicas: fleet, spare: 1 } })
        );
        expect(steps.filter((step) => step === "load")).to.deep.equal(["load"]);
    });

    it("loads on more replicas than the demand leaves to spare if the time for the others runs out", () => {
        const fleet = replicas([2, 2, 2, 2, 2, 2, 2, 2]);
        const loadingAt = (now: number) =>
            fleet.filter((_, index) =>
                stepOf(index, fleet, { now, service: { replicas: fleet, spare: 1 } }) === "load"
            ).length;
        expect([loadingAt(1_200), loadingAt(5_500)]).to.deep.equal([1, 2]);
    });

    it("lets a single replica load", () => {
        expect(stepOf(0, replicas([2]))).to.equal("load");
    });
});
