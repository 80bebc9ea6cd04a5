/** The policy experiment: repeatable, and its parts behave as stated. */
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

function playOwn(deployment: Deployment, name: CaseName, chosenSeed = seed): ResultRow[] {
    return runExperiment({
        deployment,
        seed: chosenSeed,
        cases: [name],
        policies: [PolicyName.Redwingpin],
        timing: shortTiming,
    });
}

describe("bench: policy experiment", () => {
    it("gives the same figures for the same seed, and others for another", () => {
        const first = playOwn(office, CaseName.Crashes);
        expect(playOwn(office, CaseName.Crashes)).to.deep.equal(first);
        expect(playOwn(office, CaseName.Crashes, seed + 1)).to.not.deep.equal(first);
    });

    it("keeps the fault-time load within a tenth above the callers'", () => {
        for (const deployment of Object.values(deployments)) {
            const [row] = playOwn(deployment, CaseName.Crashes);
            expect(row!.offeredLoad).to.be.at.most(1.1);
        }
    });

    it("refuses nobody wrongly in the steady case", () => {
        for (const deployment of Object.values(deployments)) {
            const [row] = playOwn(deployment, CaseName.Steady);
            expect(row!.wrongfulRefusals).to.equal(0);
        }
    });

    it("writes a page with a plot and the table, free of references to other files", async () => {
        const rows = playOwn(office, CaseName.Steady);
        const page = await renderReport(seed, rows);
        expect(page).to.contain("<svg").and.to.contain("office: steady");
        expect(page).to.not.match(/(src|href)="/);
    });
});

describe("bench: fake engine's cache", () => {
    it("evicts the least recently used block, and deeper levels before the ones they build on", () => {
        const cache = new BlockCache(4);
        cache.use(["catalogue", "rules a", "query"]);
        const change = cache.use(["catalogue", "rules b", "query b"]);
        expect(change.removed).to.deep.equal(["query"]);
        expect(cache.hitBlocks(["catalogue", "rules a", "query"])).to.equal(2);
    });
});
