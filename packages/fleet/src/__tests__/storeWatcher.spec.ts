import { FakeClock, seededRandom, silentLogger } from "@redwingpin/common";
import { expect } from "chai";
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import {
    type FactBatch,
    type FactBatchContext,
    FleetScope,
    type FleetSource,
    type SourceError,
    StoreWatcher,
} from "../index.js";

/** A source that answers from a list and notes its calls. */
function scriptedSource(answers: ResultAsync<FactBatch, SourceError>[]) {
    const calls: string[] = [];
    const next = () => answers.shift() ?? new ResultAsync<FactBatch, SourceError>(new Promise(() => {}));
    const source: FleetSource = {
        read: () => {
            calls.push("read");
            return next();
        },
        watch: (_scope, after) => {
            calls.push(`follow ${after}`);
            return next();
        },
    };
    return { source, calls };
}

function follow(answers: ResultAsync<FactBatch, SourceError>[]) {
    const { source, calls } = scriptedSource(answers);
    const clock = new FakeClock();
    const readings: FactBatchContext[] = [];
    const follower = new StoreWatcher({
        scope: FleetScope.Operator,
        source,
        clock,
        random: seededRandom(1),
        logger: silentLogger,
        wait: 3_000,
        batchDelay: 0,
        onBatch: (_reading, kind) => readings.push(kind),
    });
    follower.start();
    return { follower, clock, calls, readings };
}

async function settle(): Promise<void> {
    for (let turn = 0; turn < 20; turn++) {
        await Promise.resolve();
    }
}

describe("store follower", () => {
    it("reads once and then only waits for changes", async () => {
        const { calls, readings } = follow([
            okAsync({ facts: [], revision: 5 }),
            okAsync({ facts: [], revision: 9 }),
        ]);
        await settle();
        expect(calls).to.deep.equal(["read", "follow 5", "follow 9"]);
        expect(readings).to.deep.equal([
            { complete: true, changedWithin: undefined },
            { complete: false, changedWithin: 0 },
        ]);
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

    // Kartela's scale-2: the history is forgotten while newer weights are named. Of unknown age, they shut out every
    // replica that did not serve them yet.
    it("says within what time things have changed, also where the history is gone or calls have failed", async () => {
        const later = (
            clock: FakeClock,
            milliseconds: number,
            answer: ResultAsync<FactBatch, SourceError>,
        ) => new ResultAsync<FactBatch, SourceError>(
            new Promise((resolve) => clock.schedule(milliseconds, () => resolve(answer))),
        );
        const answers: ResultAsync<FactBatch, SourceError>[] = [okAsync({ facts: [], revision: 5 })];
        const { clock, readings } = follow(answers);
        answers.push(
            later(clock, 700, errAsync({ kind: "historyGone", message: "gone" })),
            okAsync({ facts: [], revision: 30 }),
            later(clock, 100, errAsync({ kind: "unavailable", message: "down" })),
            okAsync({ facts: [], revision: 31 }),
        );
        await settle();
        clock.advance(700);
        await settle();
        expect(readings.at(-1)).to.deep.equal({ complete: true, changedWithin: 700 });
        clock.advance(100);
        await settle();
        clock.advance(200);
        await settle();
        expect(readings.at(-1)).to.have.property("complete", false);
        expect(readings.at(-1)?.changedWithin).to.be.within(101, 300);
    });
});
