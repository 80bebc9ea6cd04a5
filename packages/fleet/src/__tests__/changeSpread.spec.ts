import { expect } from "chai";
import { weightsFact } from "./fleetFixture.js";
import { FleetNetwork } from "./fleetNetworkFixture.js";

/** Most exchanges of any router in the second after a change that all of them read from the store. */
async function exchangesAfterChange(size: number): Promise<number> {
    const network = new FleetNetwork(size);
    try {
        await network.runUntilConnected();
        await network.run(5_000);
        const before = network.exchanges();
        network.routers.forEach(({ applyFacts }) => applyFacts([weightsFact(2, 10, 0)], "store"));
        await network.run(1_000);
        return Math.max(...network.exchanges().map((count, index) => count - before[index]));
    }
    finally {
        network.stop();
    }
}

/** Time until all routers have a change that the store sent to one of them. */
async function timeUntilEverywhere(size: number): Promise<number> {
    const network = new FleetNetwork(size);
    try {
        await network.runUntilConnected();
        network.routers[0].applyFacts([weightsFact(2, 10, 0)], "store");
        const start = network.clock.now();
        while (network.routers.some(({ state }) => state.desiredWeights().length === 0)) {
            await network.run(10);
        }
        return network.clock.now() - start;
    }
    finally {
        network.stop();
    }
}

describe("the spread of a change", () => {
    // Guards against routers that serve nothing for a second after a change, since each exchanges with all others.
    it("costs a router no more exchanges in a larger fleet", async () => {
        const small = await exchangesAfterChange(30);
        const large = await exchangesAfterChange(68);
        expect(large).to.be.at.most(1.1 * small);
    });

    for (const size of [5, 30, 68]) {
        it(`takes less than half a second in a fleet of ${size} routers, of which one hears of it from the store`, async () => {
            expect(await timeUntilEverywhere(size)).to.be.below(500);
        });
    }

    // Guards against routers that serve nothing for a while since all their exchanges fall due at the same time.
    it("leaves no moment in which a router of a large fleet makes many exchanges at once", async () => {
        const network = new FleetNetwork(68);
        try {
            await network.runUntilConnected();
            await network.run(5_000);
            network.routers.forEach(({ applyFacts }) => applyFacts([weightsFact(2, 10, 0)], "store"));
            await network.run(1_000);
            const allowed = 2 * 40 * 0.5;
            for (let window = 0; window < 12; window++) {
                const before = network.exchanges();
                await network.run(500);
                const most = Math.max(...network.exchanges().map((count, index) => count - before[index]));
                expect(most, `window ${window}`).to.be.at.most(allowed);
            }
        }
        finally {
            network.stop();
        }
    });
});
