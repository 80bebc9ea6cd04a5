import { CallOutcome } from "@redwingpin/common";
import { passTime } from "@redwingpin/outside";
import { expect } from "chai";
import { ClaimsSite, siteLimits } from "../fuzz/claimsSite.js";

const committed = 25;
const settled = 400;
const callsPerSegment = 16;

async function turnRing(site: ClaimsSite, router: number): Promise<void> {
    for (let segment = 0; segment < siteLimits.slots; segment++) {
        for (let call = 0; call < callsPerSegment; call++) {
            site.send(router, `filler-${segment}-${call}`, "body");
        }
        await passTime(site.clock, settled);
    }
}

describe("claims of a frozen router", () => {
    it("are not dispatched when it wakes after they were forgotten", async () => {
        const site = new ClaimsSite(2);
        const first = site.send(0, "key", "body");
        await passTime(site.clock, committed);
        site.process(0).freeze();
        await turnRing(site, 1);
        await passTime(site.clock, 2 * siteLimits.minimumRetention);
        await turnRing(site, 1);
        await passTime(site.clock, 2 * siteLimits.minimumRetention);
        const second = site.send(1, "key", "body");
        await passTime(site.clock, settled);
        site.process(0).thaw();
        await passTime(site.clock, settled);
        expect(second.reportedOutcome?.kind).to.equal("answer");
        expect(first.reportedOutcome?.kind).to.equal(CallOutcome.NotRun);
        expect(site.executions.filter((execution) => execution.key === "key").length).to.equal(1);
    });
});
