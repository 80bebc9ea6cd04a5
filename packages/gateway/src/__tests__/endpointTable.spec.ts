import { FactKind, FleetState } from "@redwingpin/fleet";
import { expect } from "chai";
import { EndpointTable } from "../index.js";
import { endpointStateFixture, statusFixture } from "./gatewayFixture.js";

const now = 10_000;

/** A board that follows a state, and what was told to be gone. */
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
        state.learn({ kind: FactKind.Endpoint, revision, instance, endpoint }, now);
        endpointTable.update(state);
    };
    const instances = (service = "drafting") =>
        endpointTable.ofService(service).map((endpointState) => endpointState.endpoint.instance);
    return { endpointTable, removed, instances, register };
}

describe("board of endpoints", () => {
    it("offers one endpoint at each address after a power loss, though the old registrations have not lapsed", () => {
        const { removed, instances, register } = endpointTableFixture();
        for (let index = 0; index < 8; index++) {
            register(`before-${index}`, 10 + index, { port: 9_000 + index });
        }
        for (let index = 0; index < 8; index++) {
            register(`after-${index}`, 30 + index, { port: 9_000 + index });
        }
        expect(instances()).to.deep.equal(Array.from({ length: 8 }, (_, index) => `after-${index}`));
        expect(removed.length).to.equal(8);
    });

    it("takes the later registration at an address, whichever becomes known first", () => {
        const { instances, register } = endpointTableFixture();
        register("after", 30);
        register("before", 10);
        expect(instances()).to.deep.equal(["after"]);
    });

    it("does not take an earlier status that another router relayed late for the latest", () => {
        const endpointState = endpointStateFixture("i-1");
        const [before, after] = [statusFixture(1), statusFixture(1, { loading: true })];
        endpointState.observeStatus(after, now);
        endpointState.observeStatus(before, now + 50);
        expect(endpointState.isLoading(now + 50)).to.equal(true);
        endpointState.observeStatus({ ...before, start: "agent started again" }, now + 60);
        expect(endpointState.isLoading(now + 60)).to.equal(false);
    });

    it("ends what runs at an endpoint whose address another service has", () => {
        const { endpointTable, instances, register } = endpointTableFixture();
        register("before", 10);
        let notifications = 0;
        endpointTable.ofService("drafting")[0].onLost(() => notifications += 1);
        register("after", 30, { service: "registry" });
        expect([instances(), instances("registry"), notifications]).to.deep.equal([[], ["after"], 1]);
    });
});
