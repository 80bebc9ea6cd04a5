/** Checks that the policy experiment is repeatable, and checks the product's results in it. */
import { expect } from "chai";
import { BlockCache } from "../blockCache.js";
import { CaseName } from "../cases.js";
import { type Deployment, DeploymentName, deployments } from "../deployments.js";
import { type ResultRow, runExperiment } from "../experiment.js";
import { renderReport } from "../report.js";
import { PolicyName } from "../routingPolicy.js";

const seed = 7;
const office = deployments[DeploymentName.Office];
const shortTiming = { warmUp: 40_000, duration: 140_000 };

function simulateProduct(deployment: Deployment, name: CaseName, runSeed = seed): ResultRow[] {
    return runExperiment({
        deployment,
        seed: runSeed,
        cases: [name],
        policies: [PolicyName.Redwingpin],
        timing: shortTiming,
    });
}

describe("bench: policy experiment", () => {
    it("returns the same results for the same seed, and different ones for another seed", () => {
        const first = simulateProduct(office, CaseName.Crashes);
        expect(simulateProduct(office, CaseName.Crashes)).to.deep.equal(first);
        expect(simulateProduct(office, CaseName.Crashes, seed + 1)).to.not.deep.equal(first);
    });

    it("limits retries to a tenth of the calls while engines crash", () => {
        for (const deployment of Object.values(deployments)) {
            const [row] = simulateProduct(deployment, CaseName.Crashes);
            expect(row!.offeredLoad).to.be.at.most(1.1);
        }
    });

    it("refuses no call within its account's rate in the steady case", () => {
        for (const deployment of Object.values(deployments)) {
            const [row] = simulateProduct(deployment, CaseName.Steady);
            expect(row!.wrongfulRefusals).to.equal(0);
        }
    });

    it("renders a page with a plot and the table and without references to other files", async () => {
        const rows = simulateProduct(office, CaseName.Steady);
        const page = await renderReport(seed, rows);
        expect(page).to.contain("<svg").and.to.contain("office: steady");
        expect(page).to.not.match(/(src|href)="/);
    });
});

describe("bench: block cache of the simulated engine", () => {
    it("evicts the least recently used block, and deeper levels of a prompt before the levels above them", () => {
        const cache = new BlockCache(4);
        cache.use(["catalogue", "rules a", "query"]);
        const change = cache.use(["catalogue", "rules b", "query b"]);
        expect(change.removed).to.deep.equal(["query"]);
        expect(cache.hitBlocks(["catalogue", "rules a", "query"])).to.equal(2);
    });
});
