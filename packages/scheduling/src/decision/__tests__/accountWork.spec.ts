import { expect } from "chai";
import { AccountWork, maxReportedAccounts } from "../../index.js";

describe("the work that accounts have received", () => {
    // Guards against counts that never decrease, with which an account is penalized for work long ago.
    it("decays, and negligible counts are removed", () => {
        const work = new AccountWork();
        work.record("makers", 1_000, 0);
        expect(work.received("makers", 0)).to.equal(1_000);
        expect(work.received("makers", 10_000)).to.be.closeTo(368, 1);
        expect(work.isAboveShare("makers", 200_000)).to.equal(false);
        expect(work.size).to.equal(0);
    });

    // Guards against reports that are counted twice when they are repeated, or lost for good when one is lost.
    it("includes the last report of each peer once", () => {
        const work = new AccountWork();
        work.record("makers", 100, 0);
        for (let repeat = 0; repeat < 3; repeat++) {
            work.observe("b", [{ account: "makers", tokens: 300 }], 0);
            work.observe("c", [{ account: "makers", tokens: 50 }], 0);
        }
        expect(work.received("makers", 0)).to.be.closeTo(450, 1e-6);
        work.observe("b", [{ account: "makers", tokens: 400 }], 0);
        expect(work.received("makers", 0)).to.be.closeTo(550, 1e-6);
        expect(work.report(0)).to.deep.equal([{ account: "makers", tokens: 100 }]);
    });

    // Guards against reports and state that grow with the number of accounts.
    it("is reported and remembered within bounds", () => {
        const work = new AccountWork();
        for (let index = 0; index < 10_000; index++) {
            work.record(`account-${index}`, 1 + index, 0);
        }
        expect(work.size).to.be.at.most(4_096);
        work.record("largest", 100_000_000, 0);
        expect(work.report(0)).to.deep.equal([{ account: "largest", tokens: 100_000_000 }]);
        const many = new AccountWork();
        for (let index = 0; index < 40; index++) {
            many.record(`account-${index}`, 1_000, 0);
        }
        expect(many.report(0)).to.have.lengthOf(maxReportedAccounts);
    });

    // Guards against an account alone, and accounts that are alike, being taken for ones above their share.
    it("marks an account as above its share only if it received clearly more than the others, by weight", () => {
        const work = new AccountWork();
        work.record("makers", 5_000, 0);
        expect(work.isAboveShare("makers", 0)).to.equal(false);
        ["shops", "mills", "ports"].forEach((account) => work.record(account, 1_000, 0));
        expect(work.isAboveShare("makers", 200)).to.equal(true);
        expect(work.isAboveShare("shops", 200)).to.equal(false);
        const weighted = new AccountWork();
        weighted.record("makers", 5_000, 0, 5);
        ["shops", "mills", "ports"].forEach((account) => weighted.record(account, 1_000, 0));
        expect(weighted.isAboveShare("makers", 0)).to.equal(false);
    });
});
