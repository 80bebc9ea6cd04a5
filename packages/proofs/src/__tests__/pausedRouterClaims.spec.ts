import { CallOutcome } from "@redwingpin/common";
import { advanceTime } from "@redwingpin/outside";
import { expect } from "chai";
import { ClaimsSite, siteLimits } from "../fuzz/claimsSite.js";

const commitMilliseconds = 25;
const settleMilliseconds = 400;
const callsPerSegment = 16;

async function wrapRing(site: ClaimsSite, router: number): Promise<void> {
    for (let segment = 0; segment < siteLimits.slots; segment++) {
        for (let call = 0; call < callsPerSegment; call++) {
            site.send(router, `filler-${segment}-${call}`, "body");
        }
        await advanceTime(site.clock, settleMilliseconds);
    }
}

describe("claims of a paused router", () => {
    it("are not dispatched if it resumes after they have expired", async () => {
        const site = new ClaimsSite(2);
        const first = site.send(0, "key", "body");
        await advanceTime(site.clock, commitMilliseconds);
        site.process(0).pause();
        await wrapRing(site, 1);
        await advanceTime(site.clock, 2 * siteLimits.minimumRetention);
        await wrapRing(site, 1);
        await advanceTime(site.clock, 2 * siteLimits.minimumRetention);
        const second = site.send(1, "key", "body");
        await advanceTime(site.clock, settleMilliseconds);
        site.process(0).resume();
        await advanceTime(site.clock, settleMilliseconds);
        expect(second.reportedOutcome?.kind).to.equal("answer");
        expect(first.reportedOutcome?.kind).to.equal(CallOutcome.NotRun);
        expect(site.executions.filter((execution) => execution.key === "key").length).to.equal(1);
    });
});
