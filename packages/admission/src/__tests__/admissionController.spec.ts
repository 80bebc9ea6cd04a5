import { seededRandom } from "@redwingpin/common";
import type { ClientAccount } from "@redwingpin/manifest";
import { StoreFault } from "@redwingpin/outside";
import { expect } from "chai";
import { RateFleet } from "../trial/rateFleet.js";

const account: ClientAccount = { name: "office", tokensPerSecond: 3_000, burstTokens: 9_000, keys: [] };
const fillTime = 12_000;

async function startedFleet(): Promise<RateFleet> {
    const fleet = new RateFleet({ routers: 3, accounts: [account], random: seededRandom(1) });
    await fleet.advance(fillTime);
    return fleet;
}

async function outcomeOf(fleet: RateFleet, router: number, tokens: number): Promise<string | undefined> {
    const before = fleet.offered.length;
    fleet.offer(router, account.name, tokens, tokens, 1);
    await fleet.advance(3_000);
    return fleet.offered[before].outcome;
}

function isolate(fleet: RateFleet, router: number): void {
    for (const other of [0, 1, 2].filter((other) => other !== router)) {
        fleet.setPartitioned(router, other, true);
        fleet.setPartitioned(other, router, true);
    }
}

describe("admission: controller", () => {
    it("collects a full burst from all holders", async () => {
        const fleet = await startedFleet();
        expect(await outcomeOf(fleet, 0, account.burstTokens)).to.equal("admitted");
    });

    it("refuses a request larger than the burst immediately", async () => {
        const fleet = await startedFleet();
        expect(await outcomeOf(fleet, 0, account.burstTokens + 1)).to.equal("request_exceeds_burst");
    });

    it("admits from its own share while it is partitioned from the other routers", async () => {
        const fleet = await startedFleet();
        isolate(fleet, 0);
        expect(await outcomeOf(fleet, 0, account.burstTokens / 3)).to.equal("admitted");
    });

    it("admits nothing from its own slots once it leaves, even if the store's answer is lost", async () => {
        const fleet = await startedFleet();
        fleet.setStoreFault(StoreFault.LosesAnswers);
        isolate(fleet, 0);
        fleet.leave(0);
        expect(await outcomeOf(fleet, 0, 10)).to.equal("rate_exceeded");
    });

    it("keeps its slots when its process stops and its VM stays", async () => {
        const fleet = await startedFleet();
        fleet.stop(0);
        fleet.restart(0);
        fleet.setStoreFault(StoreFault.Down);
        await fleet.advance(fillTime);
        isolate(fleet, 0);
        expect(await outcomeOf(fleet, 0, account.burstTokens / 3)).to.equal("admitted");
    });

    it("admits requests after all routers restart while the store is down", async () => {
        const fleet = await startedFleet();
        fleet.setStoreFault(StoreFault.Down);
        [0, 1, 2].forEach((router) => fleet.restart(router));
        await fleet.advance(1_000);
        expect(await outcomeOf(fleet, 1, 100)).to.equal("admitted");
    });
});
