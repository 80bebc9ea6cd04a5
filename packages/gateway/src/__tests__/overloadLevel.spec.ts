import { seededRandom } from "@redwingpin/common";
import { expect } from "chai";
import { OverloadLevel, OverloadTracker } from "../decision/overloadLevel.js";

const interval = 50;
const calmOthers = [10, 20, 30].map((pressure) => ({ pressure, isReady: true }));

/** Levels while the lag has the given values, one each 50 ms. */
function levelsOf(lags: readonly number[], others = calmOthers): OverloadLevel[] {
    const tracker = new OverloadTracker();
    return lags.map((lag, index) => tracker.observe({ lag, expectedWait: 0, others }, index * interval));
}

function repeat(value: number, duration: number): number[] {
    return Array.from({ length: duration / interval }, () => value);
}

describe("the level of an overloaded router", () => {
    // Guards against requests that are refused because of one long turn, such as a garbage collection.
    it("is not raised by a single long turn", () => {
        const lags = [...repeat(5, 500), 900, 900, ...repeat(5, 500)];
        expect(new Set(levelsOf(lags))).to.deep.equal(new Set([OverloadLevel.None]));
    });

    it("rises from refusals at heads to closed connections and missing readiness, and falls once the lag has passed", () => {
        const levels = levelsOf([...repeat(700, 2_000), ...repeat(5, 1_000)]);
        const steps = levels.filter((level, index) => level !== levels[index - 1]);
        expect(steps).to.deep.equal([
            OverloadLevel.None,
            OverloadLevel.RefuseAtHead,
            OverloadLevel.CloseIdle,
            OverloadLevel.NotReady,
            OverloadLevel.None,
        ]);
    });

    // Guards against levels that change all the time while the lag is about at a bound.
    it("does not alternate at a bound", () => {
        const random = seededRandom(3);
        const lags = [...repeat(160, 1_000), ...repeat(0, 5_000).map(() => 100 + 100 * random.unit())];
        const levels = levelsOf(lags);
        expect(levels.filter((level, index) => index > 0 && level !== levels[index - 1])).to.have.lengthOf(1);
    });

    // Guards against a lack of readiness that counts as a failure of the router.
    it("leaves a router ready for more than seven eighths of the time", () => {
        const levels = levelsOf(repeat(900, 600_000));
        const notReady = levels.filter((level) => level === OverloadLevel.NotReady).length;
        expect(notReady).to.be.above(0);
        expect(notReady / levels.length).to.be.below(1 / 8);
    });

    // Guards against a fleet without a ready router.
    it("leaves a router ready if the others are as busy, are not ready, or are not known", () => {
        const busy = calmOthers.map(() => ({ pressure: 800, isReady: true }));
        const away = calmOthers.map(({ pressure }, index) => ({ pressure, isReady: index !== 0 }));
        for (const others of [busy, away, []]) {
            expect(Math.max(...levelsOf(repeat(900, 10_000), others))).to.equal(OverloadLevel.CloseIdle);
        }
    });
});
