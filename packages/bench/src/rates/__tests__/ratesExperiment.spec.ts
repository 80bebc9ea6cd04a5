import { expect } from "chai";
import { RatesPolicy, todayDeployment } from "../ratesDeployments.js";
import { type RatesRow, runRates } from "../ratesExperiment.js";
import { type RatesFault, ratesFaults } from "../ratesFaults.js";

const herdRefusalTarget = 0.01;
const seed = 1;

function play(fault: RatesFault): Promise<RatesRow> {
    return runRates({ deployment: todayDeployment, fault, policy: RatesPolicy.Shared, seed });
}

describe("rates experiment, today's size", () => {
    for (const fault of ratesFaults) {
        it(`overspends nothing: ${fault.name}`, async () => {
            const row = await play(fault);
            expect(row.offered).to.be.greaterThan(0);
            expect(row.overspentTokens).to.equal(0);
            if (fault.steps.length === 0 && fault.firstAccountLoad === undefined) {
                expect(row.refusedWithinRate).to.equal(0);
            }
            if (fault.name.startsWith("all routers restart")) {
                expect(row.refusedWithinRate / row.offered).to.be.at.most(herdRefusalTarget);
            }
        });
    }
});
