import { expect } from "chai";
import {
    FactKind,
    type FleetFact,
    FleetState,
    registrationGraceMilliseconds,
    supersededAt,
} from "../index.js";
import { configurationFixture, endpointFact, endpointFixture, weightsFact } from "./fleetFixture.js";

describe("fleet state", () => {
    it("never goes back to an older configuration, whatever the order of facts", () => {
        const state = new FleetState();
        const learn = (version: number, revision: number) =>
            state.learn(
                { kind: FactKind.Configuration, revision, configuration: configurationFixture(version) },
                0,
            );
        expect(learn(7, 12)).to.equal(true);
        expect(learn(4, 20)).to.equal(false);
        expect(state.configuration?.version).to.equal(7);
    });

    it("drops an endpoint at once where its registration is gone and the store is sound", () => {
        const state = new FleetState();
        state.learn(endpointFact("a", 3, endpointFixture("a")), 0);
        state.learn(endpointFact("a", 4), 10_000, 0);
        expect(state.endpoint("a")).to.equal(undefined);
    });

    it("keeps a registration that lapsed with the store until it had the time to come back", () => {
        const state = new FleetState();
        state.learn(endpointFact("a", 3, endpointFixture("a")), 0);
        state.learn(endpointFact("a", 4), 10_000, 9_900);
        expect(state.endpoint("a")?.removedAt).to.equal(10_000);
        expect(state.expire(10_000 + registrationGraceMilliseconds - 1)).to.deep.equal([]);
        expect(state.expire(10_000 + registrationGraceMilliseconds)).to.deep.equal(["a"]);
    });

    it("drops a leaving endpoint at once even beside trouble of the store", () => {
        const state = new FleetState();
        state.learn(endpointFact("a", 3, endpointFixture("a", { leaving: true })), 0);
        state.learn(endpointFact("a", 4), 10_000, 9_900);
        expect(state.endpoint("a")).to.equal(undefined);
    });

    it("does not bring a removed endpoint back by an older fact from a peer", () => {
        const state = new FleetState();
        state.learn(endpointFact("a", 9), 0);
        expect(state.learn(endpointFact("a", 5, endpointFixture("a")), 1)).to.equal(false);
        expect(state.endpoint("a")).to.equal(undefined);
    });

    it("gives a peer that is behind the removals as well", () => {
        const ahead = new FleetState();
        const behind = new FleetState();
        ahead.learn(endpointFact("a", 3, endpointFixture("a")), 0);
        behind.learn(endpointFact("a", 3, endpointFixture("a")), 0);
        ahead.learn(endpointFact("a", 6), 5, -Infinity);
        for (const fact of ahead.factsSince(behind.watermark(), 5)) {
            behind.learn(fact, 5);
        }
        expect([...behind.endpoints()]).to.deep.equal([]);
        expect(behind.watermark()).to.deep.equal(ahead.watermark());
    });

    it("judges old weights by the first version that replaced them, not by the newest", () => {
        const state = new FleetState();
        state.learn(weightsFact(2, 10, 0), 1_000);
        state.learn(weightsFact(3, 11, 0), 6_000);
        const named = state.desiredWeightsOf("drafting")!;
        expect(supersededAt(named, 1)).to.equal(1_000);
        expect(supersededAt(named, 2)).to.equal(6_000);
        expect(supersededAt(named, 3)).to.equal(undefined);
    });

    it("takes weights of unknown age for long replaced until a peer tells their age", () => {
        const restarted = new FleetState();
        restarted.learn(weightsFact(2, 10), 500);
        expect(supersededAt(restarted.desiredWeightsOf("drafting")!, 1)).to.equal(-Infinity);
        expect(restarted.watermark().weights).to.equal(0);
        restarted.learn(weightsFact(2, 10, 300), 600);
        expect(supersededAt(restarted.desiredWeightsOf("drafting")!, 1)).to.equal(300);
        expect(restarted.watermark().weights).to.equal(10);
    });

    it("takes weights that were named since the store's last answer for no older than that", () => {
        const state = new FleetState();
        const named = (version: number, age?: number): FleetFact => ({
            kind: FactKind.Weights,
            revision: version,
            model: "drafting",
            version,
            age,
        });
        state.learn(named(1, 4_000), 5_000);
        state.dateNewWeights([named(1), named(2)], 700).forEach((fact) => state.learn(fact, 10_000));
        expect(state.desiredWeightsOf("drafting")).to.deep.include({ version: 2, desiredSince: 9_300 });
        expect(supersededAt(state.desiredWeightsOf("drafting")!, 1)).to.equal(9_300);
    });
});
