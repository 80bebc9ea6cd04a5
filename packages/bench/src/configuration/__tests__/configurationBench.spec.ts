import { expect } from "chai";
import { fitLine } from "../linearRegression.js";
import { runMembership } from "../membershipRun.js";
import { runPropagation } from "../propagationRun.js";

const maximumPropagation = 3_000;
const maximumRestart = 1_000;
const maximumBytesPerSecond = 5_000;

describe("bench: configuration", () => {
    it("propagates changes within the time and byte limits, and returns the same results in each run", () => {
        const options = {
            routers: 12,
            agentsPerRouter: 5,
            dataCentres: 3,
            latency: 5,
            seed: 1,
            changes: 4,
            changeInterval: 2_000,
        };
        const measures = runPropagation(options);
        expect(measures.routerInForceLast).to.be.lessThan(maximumPropagation);
        expect(measures.agentInForceLast).to.be.lessThan(maximumPropagation);
        expect(measures.herdLast).to.be.at.most(maximumRestart);
        expect(measures.routerBytesPerSecond).to.be.lessThan(maximumBytesPerSecond);
        const again = runPropagation(options);
        expect({ ...again, processorShare: 0 }).to.deep.equal({ ...measures, processorShare: 0 });
    });

    it("limits the bytes that membership sends", () => {
        const measures = runMembership(10, 3, 2, 1);
        expect(measures.routerBytesPerSecond).to.be.greaterThan(0).and.lessThan(maximumBytesPerSecond);
    });

    it("fits a line to points", () => {
        expect(fitLine([{ x: 1, y: 3 }, { x: 2, y: 5 }])).to.deep.equal({ atZero: 1, perUnit: 2 });
    });
});
