import { expect } from "chai";
import { RatesPolicy, todayDeployment } from "../ratesDeployments.js";
import { type RatesRow, runRates } from "../ratesExperiment.js";
import { type RatesFault, ratesFaults } from "../ratesFaults.js";

const maximumRefusedShare = 0.01;
const seed = 1;

function simulate(fault: RatesFault): Promise<RatesRow> {
    return runRates({ deployment: todayDeployment, fault, policy: RatesPolicy.Shared, seed });
}

describe("bench: rates experiment at the current size", () => {
    for (const fault of ratesFaults) {
        it(`does not overspend: ${fault.name}`, async () => {
            const row = await simulate(fault);
            expect(row.offered).to.be.greaterThan(0);
            expect(row.overspentTokens).to.equal(0);
            if (fault.steps.length === 0 && fault.firstAccountLoad === undefined) {
                expect(row.refusedWithinRate).to.equal(0);
            }
            if (fault.name.startsWith("all routers restart")) {
                expect(row.refusedWithinRate / row.offered).to.be.at.most(maximumRefusedShare);
            }
        });
    }
});
