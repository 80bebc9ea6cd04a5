import { FakeClock, type Milliseconds, seededRandom, silentLogger } from "@redwingpin/common";
import { expect } from "chai";
import { errAsync, ok, okAsync, ResultAsync } from "neverthrow";
import {
    type FactBatch,
    type FactBatchContext,
    FleetScope,
    type FleetSource,
    type SourceError,
    StoreWatcher,
} from "../index.js";

/** A source that answers from a list and records its calls. */
function scriptedSource(answers: ResultAsync<FactBatch, SourceError>[]) {
    const calls: string[] = [];
    const waits: Milliseconds[] = [];
    const next = () => answers.shift() ?? new ResultAsync<FactBatch, SourceError>(new Promise(() => {}));
    const source: FleetSource = {
        read: () => {
            calls.push("read");
            return next();
        },
        watch: (_scope, after, wait) => {
            calls.push(`watch ${after}`);
            waits.push(wait);
            return next();
        },
    };
    return { source, calls, waits };
}

function startWatcher(
    answers: ResultAsync<FactBatch, SourceError>[],
    isNeeded: () => boolean = () => true,
) {
    const { source, calls, waits } = scriptedSource(answers);
    const clock = new FakeClock();
    const contexts: FactBatchContext[] = [];
    const watcher = new StoreWatcher({
        scope: FleetScope.Operator,
        source,
        clock,
        random: seededRandom(1),
        logger: silentLogger,
        wait: () => 3_000,
        batchDelay: 0,
        isNeeded,
        onBatch: (_batch, context) => contexts.push(context),
    });
    watcher.start();
    return { watcher, clock, calls, contexts, waits };
}

async function settle(): Promise<void> {
    for (let turn = 0; turn < 20; turn++) {
        await Promise.resolve();
    }
}

describe("store watcher", () => {
    it("reads once and then only waits for changes", async () => {
        const { calls, contexts } = startWatcher([
            okAsync({ facts: [], revision: 5 }),
            okAsync({ facts: [], revision: 9 }),
        ]);
        await settle();
        expect(calls).to.deep.equal(["read", "watch 5", "watch 9"]);
        expect(contexts).to.deep.equal([
            { complete: true, changedWithin: undefined },
            { complete: false, changedWithin: 0 },
        ]);
    });

    it("reads everything again if the store no longer keeps the changes in between", async () => {
        const { calls } = startWatcher([
            okAsync({ facts: [], revision: 5 }),
            errAsync({ kind: "historyGone", message: "gone" }),
            okAsync({ facts: [], revision: 30 }),
        ]);
        await settle();
        expect(calls).to.deep.equal(["read", "watch 5", "read", "watch 30"]);
    });

    it("continues from the last revision with a delay after an error", async () => {
        const { calls, clock, watcher } = startWatcher([
            okAsync({ facts: [], revision: 5 }),
            errAsync({ kind: "unavailable", message: "down" }),
        ]);
        await settle();
        expect(calls).to.deep.equal(["read", "watch 5"]);
        expect(watcher.isReachable).to.equal(false);
        clock.advance(1_000);
        await settle();
        expect(calls).to.deep.equal(["read", "watch 5", "watch 5"]);
    });

    // Guards against a router that relies on watchers which are cut off, and then waits for the next change.
    it("asks without waiting once it is needed again, and only then waits for changes", async () => {
        let isNeeded = false;
        const { calls, clock, waits } = startWatcher([
            okAsync({ facts: [], revision: 5 }),
            okAsync({ facts: [], revision: 8 }),
        ], () => isNeeded);
        await settle();
        clock.advance(400);
        await settle();
        expect(calls).to.deep.equal(["read"]);
        isNeeded = true;
        clock.advance(50);
        await settle();
        expect(calls).to.deep.equal(["read", "watch 5", "watch 8"]);
        expect(waits).to.deep.equal([0, 3_000]);
    });

    // Regression test: newer weights became the desired ones while the store dropped its history. Since their age was
    // unknown, routers excluded every replica that did not serve them yet.
    it("reports the maximum age of changes, also after a lost history or failed calls", async () => {
        const later = (
            clock: FakeClock,
            milliseconds: number,
            answer: ResultAsync<FactBatch, SourceError>,
        ) => new ResultAsync<FactBatch, SourceError>(
            new Promise((resolve) => clock.schedule(milliseconds, () => resolve(answer))),
        );
        const answers: ResultAsync<FactBatch, SourceError>[] = [okAsync({ facts: [], revision: 5 })];
        const { clock, contexts } = startWatcher(answers);
        answers.push(
            later(clock, 700, errAsync({ kind: "historyGone", message: "gone" })),
            okAsync({ facts: [], revision: 30 }),
            later(clock, 100, errAsync({ kind: "unavailable", message: "down" })),
            okAsync({ facts: [], revision: 31 }),
        );
        await settle();
        clock.advance(700);
        await settle();
        expect(contexts.at(-1)).to.deep.equal({ complete: true, changedWithin: 700 });
        clock.advance(100);
        await settle();
        clock.advance(200);
        await settle();
        expect(contexts.at(-1)).to.have.property("complete", false);
        expect(contexts.at(-1)?.changedWithin).to.be.within(101, 300);
    });

    // Guards against routers that read the store without a pause when it has lost the revisions that they know.
    it("does not read again and again without a delay while a watch fails after each snapshot", async () => {
        const answers = Array.from(
            { length: 200 },
            (_, index): ResultAsync<FactBatch, SourceError> =>
                index % 2 === 0
                    ? okAsync({ facts: [], revision: 50 })
                    : errAsync({ kind: "historyGone", message: "gone" }),
        );
        const { calls, clock } = startWatcher(answers);
        for (let time = 0; time < 2_000; time += 10) {
            clock.advance(10);
            await settle();
        }
        expect(calls.filter((call) => call === "read").length).to.be.within(3, 10);
    });

    // Regression test: an endpoint whose registration was removed just after a watch had been cut stayed in use for the grace
    // period of an outage, so that requests reached it for more than two seconds after its removal.
    it("counts a call that is cut off and succeeds when repeated as no outage", async () => {
        const cut = errAsync({ kind: "unavailable", message: "reset" } as const);
        const { calls, clock, watcher } = startWatcher([
            okAsync({ facts: [], revision: 5 }),
            cut,
            okAsync({ facts: [], revision: 6 }),
        ]);
        await settle();
        clock.advance(200);
        await settle();
        expect(calls).to.deep.equal(["read", "watch 5", "watch 5", "watch 6"]);
        expect([watcher.isReachable, watcher.lastOutageAt]).to.deep.equal([true, -Infinity]);
    });

    // Regression test: a watch that was repeated after a cut and waited for changes counted as an outage.
    it("counts the wait of a repeated watch as no outage", async () => {
        const cut = errAsync({ kind: "unavailable", message: "reset" } as const);
        const answers: ResultAsync<FactBatch, SourceError>[] = [okAsync({ facts: [], revision: 5 }), cut];
        const { clock, watcher } = startWatcher(answers);
        answers.push(
            new ResultAsync(
                new Promise((resolve) =>
                    clock.schedule(1_200, () => resolve(ok({ facts: [], revision: 6 })))
                ),
            ),
        );
        await settle();
        clock.advance(200);
        await settle();
        clock.advance(1_000);
        await settle();
        expect([watcher.isReachable, watcher.lastOutageAt]).to.deep.equal([true, -Infinity]);
    });

    // Guards against replicas that are dropped since their registrations expired while the store was unavailable.
    it("counts failures that last, and a call that the store leaves unanswered, as an outage", async () => {
        const down = () => errAsync<FactBatch, SourceError>({ kind: "unavailable", message: "down" });
        const failing = startWatcher([
            okAsync({ facts: [], revision: 5 }),
            ...Array.from({ length: 50 }, down),
        ]);
        for (let time = 0; time < 2_000; time += 10) {
            failing.clock.advance(10);
            await settle();
        }
        expect(failing.watcher.lastOutageAt).to.be.within(500, 2_000);
        const answers: ResultAsync<FactBatch, SourceError>[] = [okAsync({ facts: [], revision: 5 })];
        const silent = startWatcher(answers);
        answers.push(
            new ResultAsync(new Promise((resolve) => silent.clock.schedule(3_600, () => resolve(down())))),
        );
        await settle();
        silent.clock.advance(3_600);
        await settle();
        expect(silent.watcher.lastOutageAt).to.equal(3_600);
    });

    it("counts a restoration of the store as an outage, so that registrations may return", async () => {
        const { calls, clock, watcher } = startWatcher([
            okAsync({ facts: [], revision: 5 }),
            errAsync({ kind: "restored", message: "restored" }),
            okAsync({ facts: [], revision: 30 }),
        ]);
        clock.advance(400);
        await settle();
        expect(calls).to.deep.equal(["read", "watch 5", "read", "watch 30"]);
        expect(watcher.lastOutageAt).to.equal(400);
    });
});
