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
    it("never returns to an older configuration, whatever the order of facts", () => {
        const state = new FleetState();
        const applyConfiguration = (version: number, revision: number) =>
            state.applyFact(
                { kind: FactKind.Configuration, revision, configuration: configurationFixture(version) },
                0,
            );
        expect(applyConfiguration(7, 12)).to.equal(true);
        expect(applyConfiguration(4, 20)).to.equal(false);
        expect(state.configuration?.version).to.equal(7);
    });

    it("drops an endpoint immediately when its registration is removed and the store is reachable", () => {
        const state = new FleetState();
        state.applyFact(endpointFact("a", 3, endpointFixture("a")), 0);
        state.applyFact(endpointFact("a", 4), 10_000, 0);
        expect(state.endpoint("a")).to.equal(undefined);
    });

    it("keeps an endpoint for the grace period if its registration is removed after a failure of the store", () => {
        const state = new FleetState();
        state.applyFact(endpointFact("a", 3, endpointFixture("a")), 0);
        state.applyFact(endpointFact("a", 4), 10_000, 9_900);
        expect(state.endpoint("a")?.removedAt).to.equal(10_000);
        expect(state.expire(10_000 + registrationGraceMilliseconds - 1)).to.deep.equal([]);
        expect(state.expire(10_000 + registrationGraceMilliseconds)).to.deep.equal(["a"]);
    });

    it("drops a leaving endpoint immediately even after a failure of the store", () => {
        const state = new FleetState();
        state.applyFact(endpointFact("a", 3, endpointFixture("a", { leaving: true })), 0);
        state.applyFact(endpointFact("a", 4), 10_000, 9_900);
        expect(state.endpoint("a")).to.equal(undefined);
    });

    it("does not restore a removed endpoint on an older fact from a peer", () => {
        const state = new FleetState();
        state.applyFact(endpointFact("a", 9), 0);
        expect(state.applyFact(endpointFact("a", 5, endpointFixture("a")), 1)).to.equal(false);
        expect(state.endpoint("a")).to.equal(undefined);
    });

    it("sends removals to a peer that is behind", () => {
        const ahead = new FleetState();
        const behind = new FleetState();
        ahead.applyFact(endpointFact("a", 3, endpointFixture("a")), 0);
        behind.applyFact(endpointFact("a", 3, endpointFixture("a")), 0);
        ahead.applyFact(endpointFact("a", 6), 5, -Infinity);
        for (const fact of ahead.factsSince(behind.watermark(), 5)) {
            behind.applyFact(fact, 5);
        }
        expect([...behind.endpoints()]).to.deep.equal([]);
        expect(behind.watermark()).to.deep.equal(ahead.watermark());
    });

    // Guards against endpoints that stay in use at routers whose peers have read a snapshot after their removal.
    it("sends a peer that is behind what a snapshot listed, so that it removes endpoints that only it knows", () => {
        const started = new FleetState();
        const behind = new FleetState();
        behind.applyFact(endpointFact("a", 3, endpointFixture("a")), 0);
        behind.applyFact(endpointFact("b", 4, endpointFixture("b")), 0);
        started.applyFact({ kind: FactKind.Listing, revision: 9, instances: ["a"] }, 5);
        started.applyFact(endpointFact("a", 3, endpointFixture("a")), 5);
        started.recordEndpointsRevision(9);
        behind.applyFacts(started.factsSince(behind.watermark(), 5), 5);
        behind.recordEndpointsRevision(started.watermark().endpoints);
        expect([...behind.endpoints()].map(({ endpoint }) => endpoint.instance)).to.deep.equal(["a"]);
        expect(started.factsSince(behind.watermark(), 5)).to.deep.equal([]);
    });

    // Guards against exchanges with many routers each time an endpoint that leaves renews its registration.
    it("passes on immediately that an endpoint leaves or is gone, but not that it still leaves", () => {
        const state = new FleetState();
        const isUrgent = (fact: FleetFact) => state.applyFacts([fact], 0).isUrgent;
        const leaving = endpointFixture("a", { leaving: true });
        expect(isUrgent(endpointFact("a", 3, endpointFixture("a")))).to.equal(false);
        expect(isUrgent(endpointFact("a", 4, leaving))).to.equal(true);
        expect(isUrgent(endpointFact("a", 5, leaving))).to.equal(false);
        expect(isUrgent(endpointFact("a", 6))).to.equal(false);
        state.applyFact(endpointFact("b", 7, endpointFixture("b")), 0);
        expect(isUrgent(endpointFact("b", 8))).to.equal(true);
        expect(isUrgent(weightsFact(2, 9, 0))).to.equal(true);
    });

    it("dates superseded weights by the first newer version, not by the newest", () => {
        const state = new FleetState();
        state.applyFact(weightsFact(2, 10, 0), 1_000);
        state.applyFact(weightsFact(3, 11, 0), 6_000);
        const desired = state.desiredWeightsOf("drafting")!;
        expect(supersededAt(desired, 1)).to.equal(1_000);
        expect(supersededAt(desired, 2)).to.equal(6_000);
        expect(supersededAt(desired, 3)).to.equal(undefined);
    });

    it("treats desired weights of unknown age as old until a peer sends their age", () => {
        const restarted = new FleetState();
        restarted.applyFact(weightsFact(2, 10), 500);
        expect(supersededAt(restarted.desiredWeightsOf("drafting")!, 1)).to.equal(-Infinity);
        expect(restarted.watermark().weights).to.equal(0);
        restarted.applyFact(weightsFact(2, 10, 300), 600);
        expect(supersededAt(restarted.desiredWeightsOf("drafting")!, 1)).to.equal(300);
        expect(restarted.watermark().weights).to.equal(10);
    });

    it("treats weights that became desired after the store's last answer as no older than that answer", () => {
        const state = new FleetState();
        const fact = (version: number, age?: number): FleetFact => ({
            kind: FactKind.Weights,
            revision: version,
            model: "drafting",
            version,
            age,
        });
        state.applyFact(fact(1, 4_000), 5_000);
        state.dateNewWeights([fact(1), fact(2)], 700).forEach((dated) => state.applyFact(dated, 10_000));
        expect(state.desiredWeightsOf("drafting")).to.deep.include({ version: 2, desiredSince: 9_300 });
        expect(supersededAt(state.desiredWeightsOf("drafting")!, 1)).to.equal(9_300);
    });
});
