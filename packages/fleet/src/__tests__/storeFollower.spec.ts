import { FakeClock, seededRandom, silentLogger } from "@redwingpin/common";
import { expect } from "chai";
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import {
    type FleetReading,
    FleetScope,
    type FleetSource,
    type SourceError,
    StoreFollower,
} from "../index.js";

/** A source that answers from a list and notes its calls. */
function scriptedSource(answers: ResultAsync<FleetReading, SourceError>[]) {
    const calls: string[] = [];
    const next = () => answers.shift() ?? new ResultAsync<FleetReading, SourceError>(new Promise(() => {}));
    const source: FleetSource = {
        read: () => {
            calls.push("read");
            return next();
        },
        follow: (_scope, after) => {
            calls.push(`follow ${after}`);
            return next();
        },
    };
    return { source, calls };
}

function follow(answers: ResultAsync<FleetReading, SourceError>[]) {
    const { source, calls } = scriptedSource(answers);
    const clock = new FakeClock();
    const complete: boolean[] = [];
    const follower = new StoreFollower({
        scope: FleetScope.Operator,
        source,
        clock,
        random: seededRandom(1),
        logger: silentLogger,
        wait: 3_000,
        gatherFor: 0,
        onReading: (_reading, isComplete) => complete.push(isComplete),
    });
    follower.start();
    return { follower, clock, calls, complete };
}

async function settle(): Promise<void> {
    for (let turn = 0; turn < 20; turn++) {
        await Promise.resolve();
    }
}

describe("store follower", () => {
    it("reads once and then only waits for changes", async () => {
        const { calls, complete } = follow([
            okAsync({ facts: [], revision: 5 }),
            okAsync({ facts: [], revision: 9 }),
        ]);
        await settle();
        expect(calls).to.deep.equal(["read", "follow 5", "follow 9"]);
        expect(complete).to.deep.equal([true, false]);
    });

    it("reads everything again where the store has forgotten the changes in between", async () => {
        const { calls } = follow([
            okAsync({ facts: [], revision: 5 }),
            errAsync({ kind: "historyGone", message: "gone" }),
            okAsync({ facts: [], revision: 30 }),
        ]);
        await settle();
        expect(calls).to.deep.equal(["read", "follow 5", "read", "follow 30"]);
    });

    it("pauses after an error and goes on from where it was", async () => {
        const { calls, clock, follower } = follow([
            okAsync({ facts: [], revision: 5 }),
            errAsync({ kind: "unavailable", message: "down" }),
        ]);
        await settle();
        expect(calls).to.deep.equal(["read", "follow 5"]);
        expect(follower.isReachable).to.equal(false);
        clock.advance(1_000);
        await settle();
        expect(calls).to.deep.equal(["read", "follow 5", "follow 5"]);
    });
});
