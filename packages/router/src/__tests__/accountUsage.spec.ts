import { ManifestIndex } from "@redwingpin/manifest";
import { expect } from "chai";
import { AccountUsage, usagePeriod } from "../decision/accountUsage.js";

function manifestIndex(): ManifestIndex {
    const account = { name: "workshop", tokensPerSecond: 100, burstTokens: 1_000, keys: [] };
    return new ManifestIndex({ models: [], pools: [], routes: [], accounts: [account] });
}

describe("AccountUsage", () => {
    it("reports the share of the rate that was spent in the last full period", () => {
        const usage = new AccountUsage();
        usage.record("workshop", 450, 1_000);
        usage.record("workshop", 450, 9_000);
        expect(usage.shares(manifestIndex(), 9_500)).to.deep.equal([]);
        expect(usage.shares(manifestIndex(), usagePeriod)).to.deep.equal([{
            account: "workshop",
            usedShare: 0.9,
        }]);
    });

    it("leaves out earlier periods, and accounts that the manifest no longer has", () => {
        const usage = new AccountUsage();
        usage.record("workshop", 500, 1_000);
        usage.record("gone", 500, 1_000);
        expect(usage.shares(manifestIndex(), usagePeriod).map((use) => use.account)).to.deep.equal([
            "workshop",
        ]);
        expect(usage.shares(manifestIndex(), 3 * usagePeriod)).to.deep.equal([]);
    });
});
