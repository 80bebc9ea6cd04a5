import { FakeClock } from "@redwingpin/common";
import { expect } from "chai";
import { PeerTable } from "../index.js";

const own = { host: "10.0.0.1", port: 7_600 };
const other = { host: "10.0.0.2", port: 7_600 };
/** The own process makes the exchanges with it. */
const called = { host: "10.0.0.3", port: 7_600 };
/** It makes the exchanges with the own process. */
const caller = { host: "10.0.0.4", port: 7_600 };
const agent = { host: "10.0.1.1", port: 7_600 };

function tableFixture() {
    const clock = new FakeClock(1_000);
    return { clock, table: new PeerTable(own, clock) };
}

function dueOf(table: PeerTable, interval: number) {
    return table.due(interval, () => interval);
}

describe("peer table", () => {
    it("never lists the process itself", () => {
        const { table } = tableFixture();
        table.addSeeds([own, other]);
        expect(dueOf(table, 100)).to.deep.equal([other]);
    });

    it("waits for an answer before the next exchange and then for the interval", () => {
        const { clock, table } = tableFixture();
        table.addSeeds([other]);
        dueOf(table, 100);
        clock.advance(500);
        expect(dueOf(table, 100)).to.deep.equal([]);
        table.answered(other);
        expect(dueOf(table, 100)).to.deep.equal([other]);
    });

    it("counts a router as silent for a while after its last answer, then as gone", () => {
        const { clock, table } = tableFixture();
        table.recordCall(other);
        expect(table.liveRouterNames()).to.deep.equal(["10.0.0.2:7600"]);
        clock.advance(2_000);
        expect([table.liveRouterNames().length, table.unresponsiveRouters()]).to.deep.equal([0, 1]);
        clock.advance(20_000);
        expect([table.liveRouterNames().length, table.unresponsiveRouters()]).to.deep.equal([0, 0]);
    });

    it("does not count a router as live that can not be reached, for it gets no reports", () => {
        const { clock, table } = tableFixture();
        table.addSeeds([other]);
        dueOf(table, 100);
        table.answered(other);
        clock.advance(200);
        dueOf(table, 100);
        table.failed(other);
        expect([table.liveRouterNames().length, table.unresponsiveRouters()]).to.deep.equal([0, 1]);
        table.recordCall(other);
        expect([table.liveRouterNames().length, table.unresponsiveRouters()]).to.deep.equal([1, 0]);
    });

    it("talks at once to a peer that calls after it could not be reached", () => {
        const { clock, table } = tableFixture();
        table.addSeeds([other]);
        for (let failure = 0; failure < 6; failure++) {
            dueOf(table, 100);
            table.failed(other);
            clock.advance(2_000);
        }
        dueOf(table, 100);
        table.failed(other);
        expect(dueOf(table, 100)).to.deep.equal([]);
        table.recordCall(other);
        expect(dueOf(table, 100)).to.deep.equal([other]);
    });

    it("gives an agent the routers that have fallen silent, for they may have restarted", () => {
        const { clock, table } = tableFixture();
        table.recordCall(other);
        expect(table.dueSilent(700, 1_500)).to.deep.equal([]);
        clock.advance(1_600);
        expect(table.dueSilent(700, 1_500)).to.deep.equal([other]);
        table.answered(other);
        clock.advance(700);
        expect(table.dueSilent(700, 1_500)).to.deep.equal([]);
    });

    it("gives an agent a router whose connection closed, until that router is heard again", () => {
        const { table } = tableFixture();
        table.recordCall(other);
        table.connectionClosed(other);
        expect(table.dueSilent(700, 1_500)).to.deep.equal([other]);
        table.recordCall(other);
        expect(table.dueSilent(700, 1_500)).to.deep.equal([]);
    });

    it("makes exchanges due at once for the chosen peers only", () => {
        const { table } = tableFixture();
        table.addSeeds([other]);
        table.setAgents([agent]);
        dueOf(table, 1_000);
        table.answered(other);
        table.answered(agent);
        table.makeDue((address) => address === agent);
        expect(dueOf(table, 1_000)).to.deep.equal([agent]);
    });

    it("lets one router of each pair make the exchanges, about as many as each other router", () => {
        const routers = Array.from({ length: 27 }, (_, index) => ({ host: `10.0.2.${index}`, port: 7_600 }));
        const calls = routers.map((router) => {
            const clock = new FakeClock(1_000);
            const table = new PeerTable(router, clock);
            routers.filter((peer) => peer !== router).forEach((peer) => table.recordCall(peer));
            clock.advance(100);
            return dueOf(table, 100).length;
        });
        expect(calls.reduce((sum, count) => sum + count, 0)).to.equal(27 * 26 / 2);
        expect(Math.max(...calls)).to.be.at.most(21);
    });

    it("makes the exchanges itself once the other one of the pair is silent", () => {
        const { clock, table } = tableFixture();
        dueOf(table, 200);
        table.recordCall(caller);
        clock.advance(500);
        expect(dueOf(table, 200)).to.deep.equal([]);
        clock.advance(100);
        expect(dueOf(table, 200)).to.deep.equal([caller]);
    });

    it("waits for the interval after exchanges that were not due, whichever router of the pair made them", () => {
        const { clock, table } = tableFixture();
        table.addSeeds([called]);
        dueOf(table, 400);
        table.answered(called);
        clock.advance(300);
        table.begin(called);
        table.answered(called);
        clock.advance(300);
        expect(dueOf(table, 400)).to.deep.equal([]);
        table.recordCall(called);
        clock.advance(300);
        expect(dueOf(table, 400)).to.deep.equal([]);
        clock.advance(100);
        expect(dueOf(table, 400)).to.deep.equal([called]);
    });

    it("asks agents as often as the caller chooses for each", () => {
        const { clock, table } = tableFixture();
        const second = { host: "10.0.1.2", port: 7_600 };
        table.setAgents([agent, second]);
        const intervalOf = (address: typeof agent) => address === agent ? 700 : 1_400;
        table.due(100, intervalOf);
        table.answered(agent);
        table.answered(second);
        clock.advance(700);
        expect(table.due(100, intervalOf)).to.deep.equal([agent]);
    });

    it("forgets agents that are no longer given", () => {
        const { table } = tableFixture();
        table.setAgents([agent]);
        table.setAgents([]);
        expect(dueOf(table, 1_000)).to.deep.equal([]);
    });
});
