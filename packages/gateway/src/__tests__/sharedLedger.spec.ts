import { expect } from "chai";
import { noTolerance, SharedLedger } from "../index.js";
import { accountFixture } from "./gatewayFixture.js";

function ledgerFixture(more: { startsFull?: boolean; tolerance?: number; ownName?: string; } = {}) {
    const ledger = new SharedLedger({
        startsFull: more.startsFull ?? true,
        tolerance: { ...noTolerance, tokens: more.tolerance ?? 0 },
        ownName: more.ownName ?? "own",
    });
    ledger.configure([accountFixture()], 0);
    return ledger;
}

/** Simulates routers that share one account and exchange reports at the given interval. */
function simulateRouters(routers: number, interval: number, tolerance: number, demandPerMillisecond: number) {
    const names = Array.from({ length: routers }, (_, index) => `router-${index}`);
    const ledgers = names.map((ownName) => ledgerFixture({ tolerance, ownName }));
    ledgers.forEach((ledger, index) =>
        ledger.updateFleet({ live: names.filter((_, other) => other !== index), unresponsive: [] }, 0)
    );
    const exchange = (now: number) => {
        for (const [from, ledger] of ledgers.entries()) {
            for (const [to, other] of ledgers.entries()) {
                if (from !== to) {
                    other.observe({ incarnation: names[from], isYounger: false }, ledger.spent(), now);
                    ledger.recordDelivery(names[to], ledger.spent());
                }
            }
        }
    };
    exchange(0);
    let admitted = 0;
    const length = 8_000;
    for (let now = 1; now <= length; now++) {
        if (now % interval === 0) {
            exchange(now);
        }
        const tokens = 100;
        for (const ledger of ledgers) {
            for (let count = 0; count < demandPerMillisecond / routers; count++) {
                admitted += ledger.spend("makers", tokens, now).admitted ? tokens : 0;
            }
        }
    }
    return { admitted, bound: 5_000 + length };
}

describe("shared ledger", () => {
    it("admits a whole burst and then the rate", () => {
        const ledger = ledgerFixture();
        expect(ledger.spend("makers", 5_000, 0).admitted).to.equal(true);
        const refused = ledger.spend("makers", 500, 100);
        expect(refused).to.deep.include({ admitted: false, retryAfter: 400 });
        expect(ledger.spend("makers", 500, 500).admitted).to.equal(true);
    });

    it("keeps the total of all routers within rate, burst and tolerance if an account demands more than its rate", () => {
        const { admitted, bound } = simulateRouters(4, 150, 2_000, 8);
        expect(admitted).to.be.at.most(bound + 2_000);
        expect(admitted).to.be.at.least(bound * 0.95);
    });

    it("stays within rate and burst plus one request per router if there is no tolerance", () => {
        const { admitted, bound } = simulateRouters(4, 150, 0, 8);
        expect(admitted).to.be.at.most(bound + 4 * 100);
    });

    it("does not refuse a request below the level while reports are in transit", () => {
        const ledger = ledgerFixture({ tolerance: 32_000 });
        ledger.updateFleet({ live: ["b", "c", "d"], unresponsive: [] }, 0);
        expect(ledger.spend("makers", 1_000, 0).admitted).to.equal(true);
        expect(ledger.spend("makers", 900, 1).admitted).to.equal(true);
    });

    it("applies a peer's spending once, however often it is reported, and ignores an older peer's first report", () => {
        const ledger = ledgerFixture({ startsFull: false, tolerance: 20_000 });
        const peer = { incarnation: "peer", isYounger: false };
        ledger.observe(peer, [{ account: "makers", tokens: 4_000 }], 0);
        ledger.observe(peer, [{ account: "makers", tokens: 7_000 }], 0);
        ledger.observe(peer, [{ account: "makers", tokens: 7_000 }], 0);
        expect(ledger.levels(0)).to.deep.equal([{ account: "makers", tokens: 2_000 }]);
    });

    it("does not count earlier spending as unreported to a router that has just joined", () => {
        const ledger = ledgerFixture();
        ledger.updateFleet({ live: ["b"], unresponsive: [] }, 0);
        for (let now = 0; now < 60_000; now += 1_000) {
            ledger.spend("makers", 500, now);
            ledger.recordDelivery("b", ledger.spent());
        }
        ledger.updateFleet({ live: ["b", "restarted"], unresponsive: [] }, 60_000);
        expect(ledger.spend("makers", 800, 60_000).admitted).to.equal(true);
        expect(ledger.spend("makers", 400, 60_000).admitted).to.equal(true);
    });

    it("applies everything that a younger router has spent, including before its first report", () => {
        const ledger = ledgerFixture();
        const peer = { incarnation: "restarted", isYounger: true };
        ledger.observe(peer, [{ account: "makers", tokens: 4_000 }], 0);
        expect(ledger.levels(0)).to.deep.equal([{ account: "makers", tokens: 1_000 }]);
    });

    it("applies a first report in full on the fleet's first start, where no level was adopted", () => {
        const ledger = ledgerFixture();
        ledger.observe({ incarnation: "peer", isYounger: false }, [{ account: "makers", tokens: 4_000 }], 0);
        expect(ledger.levels(0)).to.deep.equal([{ account: "makers", tokens: 1_000 }]);
    });

    it("sets aside the share of a router that becomes unresponsive, and returns it once the router is live again", () => {
        const ledger = ledgerFixture();
        ledger.updateFleet({ live: ["b", "c", "d"], unresponsive: [] }, 0);
        ledger.spend("makers", 1_000, 0);
        ledger.updateFleet({ live: ["b", "c"], unresponsive: ["d"] }, 0);
        expect(ledger.levels(0)).to.deep.equal([{ account: "makers", tokens: 3_000 }]);
        ledger.updateFleet({ live: ["b", "c", "d"], unresponsive: [] }, 0);
        expect(ledger.levels(0)).to.deep.equal([{ account: "makers", tokens: 4_000 }]);
    });

    it("applies a peer's spending that another router relays, but never an older count", () => {
        const ledger = ledgerFixture();
        const peer = { incarnation: "partitioned", isYounger: false };
        ledger.observe(peer, [{ account: "makers", tokens: 1_000 }], 0);
        ledger.observeRelayed(peer, [{ account: "makers", tokens: 2_500 }], 0);
        ledger.observeRelayed(peer, [{ account: "makers", tokens: 1_800 }], 0);
        ledger.observe(peer, [{ account: "makers", tokens: 2_500 }], 0);
        expect(ledger.levels(0)).to.deep.equal([{ account: "makers", tokens: 2_500 }]);
    });

    it("admits a request once reports are delivered to the other routers, and states whether that would help", () => {
        const ledger = ledgerFixture();
        const peers = Array.from({ length: 7 }, (_, index) => `peer-${index}`);
        ledger.updateFleet({ live: peers, unresponsive: [] }, 0);
        expect(ledger.spend("makers", 200, 0).admitted).to.equal(true);
        expect(ledger.spend("makers", 500, 0)).to.deep.include({ admitted: false, needsReport: true });
        peers.forEach((peer) => ledger.recordDelivery(peer, ledger.spent()));
        expect(ledger.spend("makers", 4_600, 0).admitted).to.equal(true);
        peers.forEach((peer) => ledger.recordDelivery(peer, ledger.spent()));
        expect(ledger.spend("makers", 1_000, 0)).to.deep.include({ admitted: false, needsReport: false });
    });

    it("leaves unresponsive routers their share of the rate", () => {
        const ledger = ledgerFixture();
        ledger.spend("makers", 5_000, 0);
        ledger.updateFleet({ live: ["b"], unresponsive: ["c", "d"] }, 0);
        expect(ledger.levels(1_000)).to.deep.equal([{ account: "makers", tokens: 500 }]);
    });

    it("starts with a share of the tolerance after every router was killed, and adopts a peer's level", () => {
        const ledger = ledgerFixture({ startsFull: false, tolerance: 700 });
        expect(ledger.spend("makers", 400, 0).admitted).to.equal(false);
        expect(ledger.spend("makers", 300, 0).admitted).to.equal(true);
        ledger.adopt([{ account: "makers", tokens: 2_000 }], 0);
        expect(ledger.levels(0)).to.deep.equal([{ account: "makers", tokens: 1_700 }]);
    });

    it("refunds requests that did not run, and applies a lowered limit", () => {
        const ledger = ledgerFixture();
        ledger.spend("makers", 5_000, 0);
        ledger.refund("makers", 5_000);
        ledger.configure([accountFixture({ burstTokens: 700 })], 0);
        expect(ledger.levels(0)).to.deep.equal([{ account: "makers", tokens: 700 }]);
    });
});
