import { expect } from "chai";
import { simulateRollout, VersionKind } from "./deliverySimulation.js";
import { disturbancesOf, findFaults } from "./simulationMain.js";

describe("version rollouts over many routers", () => {
    for (const kind of Object.values(VersionKind)) {
        for (const seed of [4, 11]) {
            // Guards against a good version that is not completed in time, a bad one that is not rolled back, and exposure to a
            // bad version beyond the bound.
            it(`end in the right state: ${kind}, seed ${seed}`, async () => {
                const result = await simulateRollout({
                    seed,
                    routers: 5,
                    requestsPerSecond: 130,
                    duration: 12_000,
                    kind,
                    disturbances: disturbancesOf(seed),
                });
                expect(findFaults(kind, result), JSON.stringify(result)).to.deep.equal([]);
            });
        }
    }
});
