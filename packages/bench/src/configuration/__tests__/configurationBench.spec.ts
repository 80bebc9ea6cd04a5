import { expect } from "chai";
import { runMembership } from "../membershipRun.js";
import { lineThrough } from "../slope.js";
import { runSpread } from "../spreadRun.js";

const withinTarget = 3_000;
const withinStart = 1_000;
const bytesPerSecond = 5_000;

describe("bench: configuration", () => {
    it("brings a change into force in time, within the stated bytes, and gives the same figures each run", () => {
        const options = {
            routers: 12,
            agentsPerRouter: 5,
            dataCentres: 3,
            latency: 5,
            seed: 1,
            changes: 4,
            changeInterval: 2_000,
        };
        const measures = runSpread(options);
        expect(measures.routerInForceLast).to.be.lessThan(withinTarget);
        expect(measures.agentInForceLast).to.be.lessThan(withinTarget);
        expect(measures.herdLast).to.be.at.most(withinStart);
        expect(measures.routerBytesPerSecond).to.be.lessThan(bytesPerSecond);
        const again = runSpread(options);
        expect({ ...again, processorShare: 0 }).to.deep.equal({ ...measures, processorShare: 0 });
    });

    it("keeps membership within the stated bytes", () => {
        const measures = runMembership(10, 3, 2, 1);
        expect(measures.routerBytesPerSecond).to.be.greaterThan(0).and.lessThan(bytesPerSecond);
    });

    it("finds the line through points", () => {
        expect(lineThrough([{ x: 1, y: 3 }, { x: 2, y: 5 }])).to.deep.equal({ atZero: 1, perUnit: 2 });
    });
});
