import { expect } from "chai";
import { boundedSeed, runFuzzTarget } from "../fuzz/fuzzTarget.js";
import { fuzzTargets } from "../fuzz/targets.js";

describe("stateful fuzz targets with the bounded seed", () => {
    for (const target of fuzzTargets) {
        it(target.name, async () => {
            const result = await runFuzzTarget(target, boundedSeed, target.boundedRuns);
            expect(result.failure).to.equal(undefined);
        });
    }
});
