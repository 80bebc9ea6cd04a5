import { FakeClock, seededRandom } from "@redwingpin/common";
import { expect } from "chai";
import { PeerTable, routerInterval } from "../index.js";

const own = { host: "10.0.0.1", port: 7_600 };
const other = { host: "10.0.0.2", port: 7_600 };
/** A router with which the own process starts the exchanges. */
const called = { host: "10.0.0.3", port: 7_600 };
/** A router that starts the exchanges with the own process. */
const caller = { host: "10.0.0.4", port: 7_600 };
const agent = { host: "10.0.1.1", port: 7_600 };

function tableFixture() {
    const clock = new FakeClock(1_000);
    return { clock, table: new PeerTable(own, clock) };
}

function takeDue(table: PeerTable, interval: number) {
    return table.takeDue(interval, () => interval);
}

describe("peer table", () => {
    it("never lists the process itself", () => {
        const { table } = tableFixture();
        table.addSeeds([own, other]);
        expect(takeDue(table, 100)).to.deep.equal([other]);
    });

    it("waits for an answer before the next exchange and then for the interval", () => {
        const { clock, table } = tableFixture();
        table.addSeeds([other]);
        takeDue(table, 100);
        clock.advance(500);
        expect(takeDue(table, 100)).to.deep.equal([]);
        table.recordAnswer(other);
        expect(takeDue(table, 100)).to.deep.equal([other]);
    });

    it("counts a router as unresponsive for some time after its last answer, then as removed", () => {
        const { clock, table } = tableFixture();
        table.recordCall(other);
        expect(table.liveRouterNames()).to.deep.equal(["10.0.0.2:7600"]);
        clock.advance(2_000);
        expect([table.liveRouterNames().length, table.unresponsiveRouterCount()]).to.deep.equal([0, 1]);
        clock.advance(20_000);
        expect([table.liveRouterNames().length, table.unresponsiveRouterCount()]).to.deep.equal([0, 0]);
    });

    it("does not count an unreachable router as live, since it gets no reports", () => {
        const { clock, table } = tableFixture();
        table.addSeeds([other]);
        takeDue(table, 100);
        table.recordAnswer(other);
        clock.advance(200);
        takeDue(table, 100);
        table.recordFailure(other);
        expect([table.liveRouterNames().length, table.unresponsiveRouterCount()]).to.deep.equal([0, 1]);
        table.recordCall(other);
        expect([table.liveRouterNames().length, table.unresponsiveRouterCount()]).to.deep.equal([1, 0]);
    });

    it("makes an exchange due immediately if an unreachable peer calls", () => {
        const { clock, table } = tableFixture();
        table.addSeeds([other]);
        for (let failure = 0; failure < 6; failure++) {
            takeDue(table, 100);
            table.recordFailure(other);
            clock.advance(2_000);
        }
        takeDue(table, 100);
        table.recordFailure(other);
        expect(takeDue(table, 100)).to.deep.equal([]);
        table.recordCall(other);
        expect(takeDue(table, 100)).to.deep.equal([other]);
    });

    it("returns unresponsive routers to an agent, since they may have restarted", () => {
        const { clock, table } = tableFixture();
        table.recordCall(other);
        expect(table.takeDueUnresponsive(700, 1_500)).to.deep.equal([]);
        clock.advance(1_600);
        expect(table.takeDueUnresponsive(700, 1_500)).to.deep.equal([other]);
        table.recordAnswer(other);
        clock.advance(700);
        expect(table.takeDueUnresponsive(700, 1_500)).to.deep.equal([]);
    });

    it("returns a router whose connection closed to an agent, until that router calls again", () => {
        const { table } = tableFixture();
        table.recordCall(other);
        table.recordDisconnect(other);
        expect(table.takeDueUnresponsive(700, 1_500)).to.deep.equal([other]);
        table.recordCall(other);
        expect(table.takeDueUnresponsive(700, 1_500)).to.deep.equal([]);
    });

    it("makes exchanges due immediately for the selected peers only", () => {
        const { table } = tableFixture();
        table.addSeeds([other]);
        table.setAgents([agent]);
        takeDue(table, 1_000);
        table.recordAnswer(other);
        table.recordAnswer(agent);
        table.makeDue((address) => address === agent);
        expect(takeDue(table, 1_000)).to.deep.equal([agent]);
    });

    // Guards against routers that make an exchange with their agents for each status of any agent while weights are loaded.
    it("makes exchanges due after a minimum interval, so that many changes in a short time cause few of them", () => {
        const { clock, table } = tableFixture();
        table.setAgents([agent]);
        let exchanges = 0;
        for (let change = 0; change < 500; change++) {
            table.makeDue(() => true, 50);
            exchanges += takeDue(table, 700).length;
            table.recordAnswer(agent);
            clock.advance(2);
        }
        expect(exchanges).to.be.within(15, 21);
    });

    it("lets one router of each pair start the exchanges and spreads the pairs evenly", () => {
        const routers = Array.from({ length: 27 }, (_, index) => ({ host: `10.0.2.${index}`, port: 7_600 }));
        const calls = routers.map((router) => {
            const clock = new FakeClock(1_000);
            const table = new PeerTable(router, clock);
            routers.filter((peer) => peer !== router).forEach((peer) => table.recordCall(peer));
            const called = new Set<unknown>();
            for (let time = 0; time < 200; time += 10) {
                clock.advance(10);
                takeDue(table, 100).forEach((peer) => called.add(peer));
            }
            return called.size;
        });
        expect(calls.reduce((sum, count) => sum + count, 0)).to.equal(27 * 26 / 2);
        expect(Math.max(...calls)).to.be.at.most(21);
    });

    it("starts the exchanges itself once the other router of the pair is unresponsive", () => {
        const { clock, table } = tableFixture();
        takeDue(table, 200);
        table.recordCall(caller);
        clock.advance(500);
        expect(takeDue(table, 200)).to.deep.equal([]);
        clock.advance(100);
        expect(takeDue(table, 200)).to.deep.equal([caller]);
    });

    it("waits for the interval after exchanges that were not due, whichever router of the pair started them", () => {
        const { clock, table } = tableFixture();
        table.addSeeds([called]);
        takeDue(table, 400);
        table.recordAnswer(called);
        clock.advance(300);
        table.recordStart(called);
        table.recordAnswer(called);
        clock.advance(300);
        expect(takeDue(table, 400)).to.deep.equal([]);
        table.recordCall(called);
        clock.advance(300);
        expect(takeDue(table, 400)).to.deep.equal([]);
        clock.advance(100);
        expect(takeDue(table, 400)).to.deep.equal([called]);
    });

    it("uses the interval that the caller sets for each agent", () => {
        const { clock, table } = tableFixture();
        const second = { host: "10.0.1.2", port: 7_600 };
        table.setAgents([agent, second]);
        const intervalOf = (address: typeof agent) => address === agent ? 700 : 1_400;
        table.takeDue(100, intervalOf);
        table.recordAnswer(agent);
        table.recordAnswer(second);
        clock.advance(700);
        expect(table.takeDue(100, intervalOf)).to.deep.equal([agent]);
    });

    it("removes agents that are no longer listed", () => {
        const { table } = tableFixture();
        table.setAgents([agent]);
        table.setAgents([]);
        expect(takeDue(table, 1_000)).to.deep.equal([]);
    });
});

/** Plays exchanges between all routers of a fleet; each takes up to 200 ms, as between busy routers, and none fails. */
function playFleet(size: number) {
    const maxExchangeTime = 200;
    const random = seededRandom(20_261_204);
    const clock = new FakeClock(1_000);
    const addresses = Array.from({ length: size }, (_, index) => ({ host: `10.0.0.${index}`, port: 7_600 }));
    const tables = new Map(addresses.map((address) => [address.host, new PeerTable(address, clock)]));
    tables.forEach((table) => table.addSeeds(addresses));
    const warmUp = 10_000;
    const end = 22_000;
    let exchanges = 0;
    let fewestLive = Infinity;
    for (let time = 0; time < end; time += 50) {
        for (const address of addresses) {
            const table = tables.get(address.host)!;
            const due = table.takeDue(routerInterval(table.liveRouterNames().length, true), () => 0);
            for (const peer of due) {
                const called = tables.get(peer.host)!;
                clock.schedule(maxExchangeTime * random.unit(), () => {
                    called.recordCall(address);
                    table.recordAnswer(peer);
                });
                exchanges += time >= warmUp ? 1 : 0;
            }
        }
        clock.advance(50);
        if (time >= warmUp) {
            const live = [...tables.values()].map((table) => table.liveRouterNames().length);
            fewestLive = Math.min(fewestLive, ...live);
        }
    }
    return { fewestLive, exchangesPerSecond: 1_000 * exchanges / (end - warmUp) / size };
}

describe("a fleet without faults", () => {
    for (const size of [5, 30, 68, 120]) {
        it(`of ${size} routers counts every router as live at all times`, () => {
            expect(playFleet(size).fewestLive).to.equal(size - 1);
        });
    }

    it("starts no more exchanges per router and second in a larger fleet", () => {
        const [small, ...larger] = [30, 68, 120].map((size) => playFleet(size).exchangesPerSecond);
        larger.forEach((rate) => expect(rate).to.be.at.most(1.1 * small));
    });
});
