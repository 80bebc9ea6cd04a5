import { FakeClock, seededRandom, silentLogger } from "@redwingpin/common";
import {
    type DirectEndpoint,
    VersionPhase,
    type VersionRollout,
    VersionRollouts,
    VersionState,
    type VersionStatus,
} from "@redwingpin/fleet";
import { expect } from "chai";
import { errAsync } from "neverthrow";
import { StatusRecord } from "../decision/statusRecord.js";
import {
    decidePhase,
    type DecisionInput,
    OutcomeCounts,
    OutcomeTotals,
    prefersNewVersion,
    type Verdict,
    VersionDelivery,
    VersionTest,
} from "../index.js";

const bounds = { share: 0.1, slack: 50, rollback: 5_000 };
const duration = 12_000;

describe("exposure limit", () => {
    // Guards against routers that together send the new version more than the bound, each being within its own limit.
    it("keeps the bound over all routers, without any report", () => {
        const random = seededRandom(5);
        for (const [routers, requests] of [[1, 60], [5, 300], [31, 60], [31, 1_560], [300, 5_000]]) {
            const counts = Array.from(
                { length: routers },
                () => ({ requests: 0, exposed: 0, draw: random.unit() }),
            );
            for (let index = 0; index < requests; index++) {
                const elapsed = index / requests * duration;
                const count = counts[random.integerBelow(routers)];
                count.requests += 1;
                const phase = elapsed < 6_000
                    ? VersionPhase.Canary
                    : elapsed < 8_000
                    ? VersionPhase.Half
                    : VersionPhase.Full;
                const isNew = prefersNewVersion({
                    ...{ phase, bounds, duration, elapsed, capacityShare: 0.5 },
                    ...{ requests: count.requests, exposed: count.exposed, slackPart: 1 / routers },
                    ...{ routerDraw: count.draw, requestDraw: random.unit() },
                });
                count.exposed += isNew ? 1 : 0;
            }
            const exposed = counts.reduce((total, count) => total + count.exposed, 0);
            expect(exposed, `${routers} routers, ${requests} requests`).to.be.at.most(0.1 * requests + 50);
            expect(exposed).to.be.greaterThan(0);
        }
    });
});

/** Totals of two versions with the given shares of failures, observed step by step. */
function testVersions(
    seed: number,
    newShare: number,
    oldShare: (step: number) => number,
    failures: number,
): Verdict {
    const random = seededRandom(seed);
    const counts = new OutcomeCounts();
    const totals = new OutcomeTotals();
    const test = new VersionTest();
    let verdict = test.observe([]);
    for (let step = 0; step < 100 && !verdict.isBad; step++) {
        for (let request = 0; request < 20; request++) {
            const isNew = random.unit() < newShare;
            const share = oldShare(step) + (isNew ? failures : 0);
            const end = counts.start("route", isNew, 0);
            end(
                random.unit() < share ? { kind: "failed" } : { kind: "answered", ratio: 1 + random.unit() },
                300,
            );
        }
        totals.observe("router", counts.report("s", 1, ""), step);
        verdict = test.observe(totals.routes());
    }
    return verdict;
}

describe("verdict on a version", () => {
    // Guards against a rollback of a good version because of a disturbance that affects both versions.
    it("does not blame a version for failures of both", () => {
        const rejected = Array.from(
            { length: 60 },
            (_, seed) => testVersions(seed, 0.06, (step) => step > 40 && step < 60 ? 0.3 : 0.01, 0),
        ).filter(({ isBad }) => isBad);
        // The stated error rate is 0.001 for each of some evidences and windows.
        expect(rejected.length).to.be.at.most(1);
    });

    // Guards against a bad version that is found only after many bad responses.
    it("finds a version that fails a third of its requests after few of them", () => {
        for (let seed = 0; seed < 40; seed++) {
            const verdict = testVersions(seed, 0.06, () => 0.01, 0.33);
            expect(verdict.isBad).to.equal(true);
            expect(verdict.newBad).to.be.below(15);
        }
    });

    // Guards against totals that a duplicated or reordered report changes.
    it("counts each report once, whatever the order of arrival", () => {
        const counts = new OutcomeCounts();
        counts.start("route", true, 0)({ kind: "failed" }, 10);
        const first = counts.report("s", 1, "");
        counts.start("route", true, 0)({ kind: "failed" }, 10);
        const second = counts.report("s", 1, "");
        const totals = new OutcomeTotals();
        [second, first, second, first].forEach((report) => totals.observe("router", report, 0));
        expect(totals.routes()[0].fresh).to.include({ started: 2, answered: 2, failed: 2 });
    });
});

const rollout: VersionRollout = {
    service: "s",
    to: "v2",
    duration,
    revision: 40,
    phase: VersionPhase.Canary,
    isStored: false,
    startedAt: 0,
    phaseAt: 0,
};

describe("phases of a rollout", () => {
    const good: Verdict = {
        ...{ evidence: 0, significance: 0, isBad: false, route: "", kind: "failed" },
        ...{ newBad: 0, newAnswered: 50, oldBad: 0, oldAnswered: 50 },
    };

    function input(more: Partial<DecisionInput>, reportedAt = 9_000): DecisionInput {
        const counts = new OutcomeCounts();
        for (let request = 0; request < 50; request++) {
            counts.requests += 1;
            counts.start("route", true, 0)({ kind: "answered", ratio: 1 }, 100);
        }
        const totals = new OutcomeTotals();
        totals.observe("router", counts.report("s", 40, rollout.phase), reportedAt);
        return {
            ...{ now: 9_000, rollout, rank: 0, totals, verdict: good, liveRouters: 1, reportAge: 1_500 },
            ...{ answeredBefore: 0, traffic: { drainTime: 500, newSlots: 10, oldSlots: 10 } },
            ...more,
        };
    }

    // Guards against a share that increases, or a rollback, because totals stop arriving.
    it("stay as they are without recent totals", () => {
        expect(decidePhase(input({}))?.phase).to.equal(VersionPhase.Half);
        expect(decidePhase(input({}, 7_000))).to.equal(undefined);
        expect(decidePhase(input({ now: 11_900 }, 9_000))).to.equal(undefined);
    });

    // Guards against a rollout that stops with its first decider.
    it("are decided by the next router if the first does not", () => {
        const isHalf = (rank: number, now: number) =>
            decidePhase(input({ rank, now }, now))?.phase === VersionPhase.Half;
        const first = [0, 1, 2].map((rank) => {
            let now = 0;
            while (!isHalf(rank, now)) {
                now += 50;
            }
            return now;
        });
        expect(first[1] - first[0]).to.equal(700);
        expect(first[2] - first[1]).to.equal(700);
    });

    // Guards against completion while requests run on replicas that stop at that time.
    it("complete once no request runs on old replicas, or shortly before the time limit", () => {
        const committed = { ...rollout, phase: VersionPhase.Committed, phaseAt: 7_000 };
        const counts = new OutcomeCounts();
        const end = counts.start("route", false, 0);
        for (let request = 0; request < 60; request++) {
            counts.start("route", true, 0)({ kind: "answered", ratio: 1 }, 100);
        }
        const totals = new OutcomeTotals();
        const report = () => totals.observe("router", counts.report("s", 40, VersionPhase.Committed), 9_000);
        report();
        expect(decidePhase(input({ rollout: committed, totals }))).to.equal(undefined);
        expect(decidePhase(input({ rollout: committed, totals, now: 11_100 }))?.phase)
            .to.equal(VersionPhase.Completed);
        end({ kind: "answered", ratio: 1 }, 9_000);
        report();
        expect(decidePhase(input({ rollout: committed, totals }))?.phase).to.equal(VersionPhase.Completed);
        // Slow responses may not have arrived.
        const justCommitted = { ...committed, phaseAt: 8_500 };
        expect(decidePhase(input({ rollout: justCommitted, totals }))).to.equal(undefined);
    });

    // Guards against a version that is completed although it became bad after the commitment.
    it("roll back a bad version also after the commitment", () => {
        const committed = { ...rollout, phase: VersionPhase.Committed };
        const verdict = { ...good, evidence: 9, isBad: true, newBad: 9 };
        expect(decidePhase(input({ rollout: committed, verdict }))?.phase).to.equal(VersionPhase.RolledBack);
    });
});

describe("record of a rollout's state", () => {
    const status: VersionStatus = {
        order: 40,
        to: "v2",
        state: VersionState.Running,
        startedAt: 0,
        decidedBy: "a",
    };
    const completed = { ...status, state: VersionState.Completed };

    // Guards against a write after a lost response that overwrites what another router has written.
    it("repeats a write without a response with the same condition", () => {
        const record = new StatusRecord();
        record.recordStored({ status, revision: 41 });
        const call = record.nextCall(completed, false, 0);
        expect(call).to.deep.equal({ kind: "write", status: completed, expectedRevision: 41 });
        expect(record.nextCall(completed, false, 0)).to.equal(undefined);
        record.recordFailure(1_500);
        expect(record.nextCall(completed, false, 1_500)).to.equal(undefined);
        expect(record.nextCall(completed, false, 1_700)).to.deep.equal(call);
    });

    // Guards against a final state that is replaced by another one.
    it("writes nothing over a final state of the same order", () => {
        const record = new StatusRecord();
        record.recordStored({ status: completed, revision: 42 });
        const rolledBack = { ...status, state: VersionState.RolledBack };
        expect(record.nextCall(rolledBack, false, 0)).to.equal(undefined);
        expect(record.nextCall({ ...status, order: 50 }, false, 0)).to.deep.include({ expectedRevision: 42 });
    });
});

describe("a router without news", () => {
    // Guards against a router that is cut off from all others, commits the rollout on its own totals and spreads that later.
    it("does not commit a rollout while it has lost contact with most routers", () => {
        const phasesWith = (unresponsive: number) => {
            const clock = new FakeClock();
            const rollouts = new VersionRollouts();
            rollouts.apply({ ...rollout, phase: VersionPhase.Full, age: 0 }, 0);
            const phases: VersionPhase[] = [];
            const unavailable = () => errAsync({ kind: "unavailable", message: "" } as const);
            const delivery = new VersionDelivery({
                ...{ clock, random: seededRandom(1), logger: silentLogger, rollouts },
                ...{ ownName: "a", incarnation: "a" },
                bounds: () => bounds,
                store: { read: unavailable, write: unavailable },
                liveRouterNames: () => ["a"],
                unresponsiveRouters: () => unresponsive,
                slots: () => ({ newSlots: 10, oldSlots: 10 }),
                announce: ({ phase }) => phases.push(phase),
                deliverReports: () => {},
            });
            for (let time = 0; time < duration; time += 150) {
                clock.advance(150);
                delivery.run();
            }
            return phases;
        };
        expect(phasesWith(0)).to.include(VersionPhase.Committed);
        expect(phasesWith(4)).not.to.include(VersionPhase.Committed);
    });

    // Guards against a router that was paused or partitioned while a version was rejected, and sends it requests afterwards.
    it("sends nothing to the new version after a pause or without contact with peers", () => {
        const clock = new FakeClock();
        const rollouts = new VersionRollouts();
        rollouts.apply({ ...rollout, phase: VersionPhase.Full, age: 0 }, 0);
        const delivery = new VersionDelivery({
            ...{
                clock,
                random: seededRandom(1),
                logger: silentLogger,
                ownName: "a",
                incarnation: "a",
                rollouts,
            },
            bounds: () => bounds,
            store: {
                read: () => errAsync({ kind: "unavailable", message: "" }),
                write: () => errAsync({ kind: "unavailable", message: "" }),
            },
            liveRouterNames: () => ["a", "b"],
            slots: () => ({ newSlots: 10, oldSlots: 10 }),
            announce: () => {},
            deliverReports: () => {},
        });
        const endpoints = ["v1", "v2"].map((version) => ({ endpoint: { version } as DirectEndpoint }));
        const first = () =>
            delivery.open("s")?.groups(endpoints, clock.now(), () => false)[0][0].endpoint.version;
        delivery.observe("b", []);
        delivery.run();
        expect(first()).to.equal("v2");
        clock.advance(1_200);
        expect(first()).to.equal("v1");
        delivery.run();
        expect(first()).to.equal("v1");
        for (let turn = 0; turn < 9; turn++) {
            clock.advance(150);
            delivery.observe("b", []);
            delivery.run();
        }
        expect(first()).to.equal("v2");
        for (let turn = 0; turn < 14; turn++) {
            clock.advance(150);
            delivery.run();
        }
        expect(first()).to.equal("v1");
    });
});
