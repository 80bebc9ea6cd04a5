import { FakeClock } from "@redwingpin/common";
import { expect } from "chai";
import { PeerTable } from "../index.js";

const own = { host: "10.0.0.1", port: 7_600 };
const other = { host: "10.0.0.2", port: 7_600 };
const agent = { host: "10.0.1.1", port: 7_600 };

function tableFixture() {
    const clock = new FakeClock(1_000);
    return { clock, table: new PeerTable(own, clock) };
}

describe("peer table", () => {
    it("never lists the process itself", () => {
        const { table } = tableFixture();
        table.addRouters([own, other]);
        expect(table.due(100, 100)).to.deep.equal([other]);
    });

    it("waits for an answer before the next exchange and then for the interval", () => {
        const { clock, table } = tableFixture();
        table.addRouters([other]);
        table.due(100, 100);
        clock.advance(500);
        expect(table.due(100, 100)).to.deep.equal([]);
        table.answered(other);
        expect(table.due(100, 100)).to.deep.equal([other]);
    });

    it("counts a router as silent for a while after its last answer, then as gone", () => {
        const { clock, table } = tableFixture();
        table.heardFrom(other);
        expect(table.liveRouterNames()).to.deep.equal(["10.0.0.2:7600"]);
        clock.advance(2_000);
        expect([table.liveRouterNames().length, table.silentRouters()]).to.deep.equal([0, 1]);
        clock.advance(20_000);
        expect([table.liveRouterNames().length, table.silentRouters()]).to.deep.equal([0, 0]);
    });

    it("does not count a router as live that can not be reached, for it gets no reports", () => {
        const { clock, table } = tableFixture();
        table.addRouters([other]);
        table.due(100, 100);
        table.answered(other);
        clock.advance(200);
        table.due(100, 100);
        table.failed(other);
        expect([table.liveRouterNames().length, table.silentRouters()]).to.deep.equal([0, 1]);
        table.heardFrom(other);
        expect([table.liveRouterNames().length, table.silentRouters()]).to.deep.equal([1, 0]);
    });

    it("talks at once to a peer that calls after it could not be reached", () => {
        const { clock, table } = tableFixture();
        table.addRouters([other]);
        for (let failure = 0; failure < 6; failure++) {
            table.due(100, 100);
            table.failed(other);
            clock.advance(2_000);
        }
        table.due(100, 100);
        table.failed(other);
        expect(table.due(100, 100)).to.deep.equal([]);
        table.heardFrom(other);
        expect(table.due(100, 100)).to.deep.equal([other]);
    });

    it("gives an agent the routers that have fallen silent, for they may have restarted", () => {
        const { clock, table } = tableFixture();
        table.heardFrom(other);
        expect(table.dueSilent(700)).to.deep.equal([]);
        clock.advance(1_600);
        expect(table.dueSilent(700)).to.deep.equal([other]);
        table.answered(other);
        clock.advance(700);
        expect(table.dueSilent(700)).to.deep.equal([]);
    });

    it("makes exchanges due at once for the chosen peers only", () => {
        const { table } = tableFixture();
        table.addRouters([other]);
        table.setAgents([agent]);
        table.due(1_000, 1_000);
        table.answered(other);
        table.answered(agent);
        table.hurry((address) => address === agent);
        expect(table.due(1_000, 1_000)).to.deep.equal([agent]);
    });

    it("forgets agents that are no longer given", () => {
        const { table } = tableFixture();
        table.setAgents([agent]);
        table.setAgents([]);
        expect(table.due(1_000, 1_000)).to.deep.equal([]);
    });
});
