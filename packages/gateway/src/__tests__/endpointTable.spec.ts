import { FactKind, FleetState } from "@redwingpin/fleet";
import { expect } from "chai";
import { EndpointTable, ServiceSpeed } from "../index.js";
import { endpointStateFixture, statusFixture } from "./gatewayFixture.js";

const now = 10_000;

/** A table that is updated with each registration, and the instances that were reported as removed. */
function endpointTableFixture() {
    const state = new FleetState();
    const removed: string[] = [];
    const endpointTable = new EndpointTable((instance) => removed.push(instance));
    const register = (
        instance: string,
        revision: number,
        more: Parameters<typeof endpointStateFixture>[1] = {},
    ) => {
        const { endpoint } = endpointStateFixture(instance, more);
        state.applyFact({ kind: FactKind.Endpoint, revision, instance, endpoint }, now);
        endpointTable.update(state);
    };
    const unregister = (instance: string, revision: number) => {
        state.applyFact({ kind: FactKind.Endpoint, revision, instance, endpoint: undefined }, now);
        endpointTable.update(state);
    };
    const instances = (service = "drafting") =>
        endpointTable.ofService(service).map((endpointState) => endpointState.endpoint.instance);
    return { endpointTable, removed, instances, register, unregister };
}

describe("endpoint table", () => {
    it("has one endpoint at each address after a power loss, although the old registrations have not expired", () => {
        const { endpointTable, removed, instances, register } = endpointTableFixture();
        for (let index = 0; index < 8; index++) {
            register(`before-${index}`, 10 + index, { port: 9_000 + index });
        }
        for (let index = 0; index < 8; index++) {
            register(`after-${index}`, 30 + index, { port: 9_000 + index });
        }
        expect(instances().length).to.equal(8);
        for (let index = 0; index < 8; index++) {
            expect(endpointTable.recordIdentity(`127.0.0.1:${9_000 + index}`, `after-${index}`)).to.equal(
                true,
            );
        }
        expect(instances()).to.deep.equal(Array.from({ length: 8 }, (_, index) => `after-${index}`));
        expect(removed.length).to.equal(8);
        expect(endpointTable.contestedAddresses().size).to.equal(0);
    });

    // Regression test: whoever wrote an entry last at an address, or stated the latest start there, replaced the endpoint.
    it("keeps the endpoint in use at an address until the endpoint states to be another instance", () => {
        const { endpointTable, instances, register, unregister } = endpointTableFixture();
        register("i-1", 10, { startedAt: 1_000 });
        const [own] = endpointTable.ofService("drafting");
        own.running = 1;
        let lost = 0;
        own.onLost(() => lost++);
        register("earlier", 20, { startedAt: 500 });
        register("later", 30, { startedAt: 2_000 });
        register("elsewhere", 40, { startedAt: 3_000, service: "unknown" });
        expect([instances(), instances("unknown"), lost]).to.deep.equal([["i-1"], [], 0]);
        expect([...endpointTable.contestedAddresses().keys()]).to.deep.equal(["127.0.0.1:9000"]);
        expect(endpointTable.recordIdentity("127.0.0.1:9000", "i-1")).to.equal(true);
        expect(endpointTable.contestedAddresses().size).to.equal(0);
        // Written again with a later start, and while the endpoint's own registration is missing.
        register("later", 50, { startedAt: 4_000 });
        unregister("i-1", 60);
        register("i-1", 70, { startedAt: 1_000 });
        expect(endpointTable.ofService("drafting")).to.deep.equal([own]);
        expect([instances("unknown"), lost]).to.deep.equal([[], 0]);
        endpointTable.recordIdentity("127.0.0.1:9000", "later");
        expect([instances(), lost]).to.deep.equal([["later"], 1]);
    });

    // Guards against requests to a registration whose address states to be an instance that is not registered.
    it("uses no registration at an address whose endpoint states to be none of them", () => {
        const { endpointTable, instances, register } = endpointTableFixture();
        register("i-1", 10, { startedAt: 1_000 });
        register("i-2", 20, { startedAt: 2_000 });
        endpointTable.recordIdentity("127.0.0.1:9000", "i-3");
        expect(instances()).to.deep.equal([]);
        register("i-3", 30, { startedAt: 500 });
        expect(instances()).to.deep.equal(["i-3"]);
    });

    it("ignores the identity that the endpoint at an uncontested address states", () => {
        const { endpointTable, instances, register } = endpointTableFixture();
        register("i-1", 10);
        expect(endpointTable.recordIdentity("127.0.0.1:9000", "i-2")).to.equal(false);
        expect(instances()).to.deep.equal(["i-1"]);
    });

    // Regression test: an endpoint that started again under its instance was still taken for leaving, and for one that has
    // cached what it had cached before.
    it("keeps nothing of an endpoint that starts again under its instance", () => {
        const { endpointTable, removed, register } = endpointTableFixture();
        register("i-1", 10, { startedAt: 1_000 });
        const [before] = endpointTable.ofService("drafting");
        before.signals.observe({ leaving: true, unusable: [] }, { sentAt: now, isRefusal: false }, now);
        register("i-1", 11, { startedAt: 1_000 });
        expect(endpointTable.ofService("drafting")[0].isLeaving).to.equal(true);
        expect(removed).to.deep.equal([]);
        let lost = 0;
        before.onLost(() => lost++);
        register("i-1", 12, { startedAt: 2_000 });
        expect(endpointTable.ofService("drafting")[0].isLeaving).to.equal(false);
        expect(removed).to.deep.equal(["i-1"]);
        expect(lost).to.equal(1);
    });

    it("ignores an earlier status that another router relayed late", () => {
        const endpointState = endpointStateFixture("i-1");
        const [before, after] = [statusFixture(1), statusFixture(1, { loading: true })];
        endpointState.observeStatus(after, now);
        endpointState.observeStatus(before, now + 50);
        expect(endpointState.isLoading(now + 50)).to.equal(true);
        endpointState.observeStatus({ ...before, start: "agent restarted" }, now + 60);
        expect(endpointState.isLoading(now + 60)).to.equal(false);
    });

    // Regression test: the removal of a registration ended the requests at an endpoint that served on.
    it("does not declare an endpoint lost when its registration is removed, but when another one states to be at its address", () => {
        const { endpointTable, instances, register, unregister } = endpointTableFixture();
        register("before", 10, { startedAt: 1_000 });
        const [before] = endpointTable.ofService("drafting");
        before.running = 1;
        let lost = 0;
        before.onLost(() => lost++);
        unregister("before", 11);
        expect([instances(), endpointTable.runningUnregistered(), lost]).to.deep.equal([[], [before], 0]);
        register("before", 12, { startedAt: 1_000 });
        expect([endpointTable.ofService("drafting"), endpointTable.runningUnregistered(), lost])
            .to.deep.equal([[before], [], 0]);
        unregister("before", 13);
        register("after", 14, { startedAt: 2_000 });
        expect([instances(), endpointTable.runningUnregistered(), lost]).to.deep.equal([
            ["after"],
            [before],
            0,
        ]);
        endpointTable.recordIdentity("127.0.0.1:9000", "after");
        expect([instances(), endpointTable.runningUnregistered(), lost]).to.deep.equal([["after"], [], 1]);
    });

    it("declares an unregistered endpoint lost when it has started again or its agent cannot reach it", () => {
        for (const isRestarted of [true, false]) {
            const { endpointTable, register, unregister } = endpointTableFixture();
            register("i-1", 10, { startedAt: 1_000 });
            const [before] = endpointTable.ofService("drafting");
            before.running = 1;
            let lost = 0;
            before.onLost(() => lost++);
            unregister("i-1", 11);
            if (isRestarted) {
                register("i-1", 12, { startedAt: 2_000 });
                expect(endpointTable.ofService("drafting")).not.to.include(before);
            }
            else {
                endpointTable.observeStatus(statusFixture(1, { weights: [] }), now);
            }
            expect(lost).to.equal(1);
        }
    });

    it("declares an endpoint lost when one of another service registers and states to be at its address", () => {
        const { endpointTable, instances, register } = endpointTableFixture();
        register("before", 10);
        let notifications = 0;
        endpointTable.ofService("drafting")[0].onLost(() => notifications += 1);
        register("after", 30, { service: "registry" });
        expect([instances(), instances("registry"), notifications]).to.deep.equal([["before"], [], 0]);
        endpointTable.recordIdentity("127.0.0.1:9000", "after");
        expect([instances(), instances("registry"), notifications]).to.deep.equal([[], ["after"], 1]);
    });
});

describe("speed of a service", () => {
    for (const [name, tokensPerMillisecond] of [["slow", 36], ["fast", 157]] as const) {
        it(`is measured on ${name} engines whether or not they fetch a part of the prompt`, () => {
            const fetchTime = 72;
            const read = new ServiceSpeed();
            const fetched = new ServiceSpeed();
            for (let index = 0; index < 100; index++) {
                const latency = read.baseLatency + 3_700 / tokensPerMillisecond;
                read.observe(3_700, latency, 0);
                fetched.observe(3_700, latency + fetchTime, fetchTime);
            }
            expect(read.tokensPerMillisecond).to.be.closeTo(tokensPerMillisecond, 1);
            expect(fetched.tokensPerMillisecond).to.be.closeTo(tokensPerMillisecond, 1);
        });
    }
});
