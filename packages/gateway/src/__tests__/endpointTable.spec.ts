import { FactKind, FleetState } from "@redwingpin/fleet";
import { expect } from "chai";
import { EndpointTable } from "../index.js";
import { statusFixture, viewFixture } from "./gatewayFixture.js";

const now = 10_000;

/** A board that follows a state, and what was told to be gone. */
function boardFixture() {
    const state = new FleetState();
    const gone: string[] = [];
    const board = new EndpointTable((instance) => gone.push(instance));
    const register = (instance: string, revision: number, more: Parameters<typeof viewFixture>[1] = {}) => {
        const { endpoint } = viewFixture(instance, more);
        state.learn({ kind: FactKind.Endpoint, revision, instance, endpoint }, now);
        board.update(state);
    };
    const instances = (service = "drafting") =>
        board.ofService(service).map((view) => view.endpoint.instance);
    return { board, gone, instances, register };
}

describe("board of endpoints", () => {
    it("offers one endpoint at each address after a power loss, though the old registrations have not lapsed", () => {
        const { gone, instances, register } = boardFixture();
        for (let index = 0; index < 8; index++) {
            register(`before-${index}`, 10 + index, { port: 9_000 + index });
        }
        for (let index = 0; index < 8; index++) {
            register(`after-${index}`, 30 + index, { port: 9_000 + index });
        }
        expect(instances()).to.deep.equal(Array.from({ length: 8 }, (_, index) => `after-${index}`));
        expect(gone.length).to.equal(8);
    });

    it("takes the later registration at an address, whichever becomes known first", () => {
        const { instances, register } = boardFixture();
        register("after", 30);
        register("before", 10);
        expect(instances()).to.deep.equal(["after"]);
    });

    it("does not take an earlier status that another router relayed late for the latest", () => {
        const view = viewFixture("i-1");
        const [before, after] = [statusFixture(1), statusFixture(1, { loading: true })];
        view.observeStatus(after, now);
        view.observeStatus(before, now + 50);
        expect(view.isLoading(now + 50)).to.equal(true);
        view.observeStatus({ ...before, start: "agent started again" }, now + 60);
        expect(view.isLoading(now + 60)).to.equal(false);
    });

    it("ends what runs at an endpoint whose address another service has", () => {
        const { board, instances, register } = boardFixture();
        register("before", 10);
        let told = 0;
        board.ofService("drafting")[0].onLost(() => told += 1);
        register("after", 30, { service: "registry" });
        expect([instances(), instances("registry"), told]).to.deep.equal([[], ["after"], 1]);
    });
});
