import type { Milliseconds } from "@redwingpin/common";
import { expect } from "chai";
import { CrashTracker, quarantineDuration } from "../index.js";

/** Routers that share their reports when told to. */
function fleetFixture(size: number) {
    const routers = Array.from({ length: size }, () => new CrashTracker());
    return {
        routers,
        /** Delivers the report of every router to every other one. */
        exchange: (now: Milliseconds) => {
            routers.forEach((sender, from) =>
                routers.forEach((receiver, to) => {
                    const report = from === to ? undefined : sender.reportFor(`router ${to}`, now);
                    if (report !== undefined) {
                        receiver.observe(report, now);
                        sender.recordDelivery(`router ${to}`, report);
                    }
                })
            );
        },
    };
}

let requestCount = 0;

/** Records crashes one second apart under requests with the given parts, each by another request unless it is named. */
function crash(
    tracker: CrashTracker,
    more: {
        parts?: readonly string[];
        at: readonly Milliseconds[];
        fingerprint?: string;
        endpoint?: string;
        hasSurvived?: boolean;
    },
): void {
    for (const at of more.at) {
        requestCount += 1;
        const { endpoint = `endpoint at ${at}`, fingerprint = `request ${requestCount}` } = more;
        const { hasSurvived = false, parts = [] } = more;
        tracker.recordCrash({ fingerprint, parts, endpoint, sentAt: at - 100, hasSurvived }, at);
    }
}

function isRefused(tracker: CrashTracker, parts: readonly string[], now: Milliseconds): boolean {
    return tracker.refusedUntil("another request", parts, now) !== undefined;
}

describe("crash tracker", () => {
    it("refuses a request that crashed three endpoints, counted over all routers", () => {
        const { exchange, routers } = fleetFixture(2);
        const [first, second] = routers;
        crash(first, { fingerprint: "request", at: [1_000] });
        crash(second, { fingerprint: "request", at: [2_000, 3_000] });
        expect(first.refusedUntil("request", [], 3_001)).to.equal(undefined);
        expect(second.refusedUntil("request", [], 3_001)).to.equal(undefined);
        exchange(3_001);
        expect(first.refusedUntil("request", [], 3_001)).to.equal(3_000 + quarantineDuration);
        expect(second.refusedUntil("request", [], 3_001)).to.equal(3_000 + quarantineDuration);
        expect(first.refusedUntil("request", [], 3_000 + quarantineDuration)).to.equal(undefined);
    });

    it("counts one crash of an endpoint once, and no crash before an answer to the request", () => {
        const tracker = new CrashTracker();
        crash(tracker, { fingerprint: "innocent", endpoint: "a", at: [1_000, 1_000, 1_000, 2_000] });
        expect(tracker.refusedUntil("innocent", [], 2_001)).to.equal(undefined);
        tracker.recordCompletion("innocent", [], 2_500);
        crash(tracker, { fingerprint: "innocent", at: [3_000, 4_000] });
        expect(tracker.refusedUntil("innocent", [], 4_001)).to.equal(undefined);
    });

    // Guards against a request that crashes endpoints in the middle of its answers and is never refused.
    it("refuses a request that crashed five endpoints later than they began to answer it, at every router", () => {
        const { exchange, routers } = fleetFixture(2);
        crash(routers[0], { fingerprint: "request", hasSurvived: true, at: [1_000, 2_000, 3_000, 4_000] });
        routers[0].recordSurvival(["part"], 4_500);
        exchange(4_600);
        expect(routers[1].refusedUntil("request", [], 4_700)).to.equal(undefined);
        crash(routers[1], { fingerprint: "request", hasSurvived: true, at: [5_000] });
        exchange(5_001);
        for (const router of routers) {
            expect(router.refusedUntil("request", [], 5_002)).to.equal(5_000 + quarantineDuration);
        }
    });

    // Guards against a request that is sent again before its earlier copy has crashed an endpoint.
    it("counts crashes under copies of a request that overlap, but crashes at the same time once", () => {
        const crashTimes = [1_500, 3_000, 4_500, 6_000, 7_500];
        const overlapping = new CrashTracker();
        const simultaneous = new CrashTracker();
        for (const at of crashTimes) {
            const suspect = { fingerprint: "request", parts: [], hasSurvived: true };
            overlapping.recordCrash({ ...suspect, endpoint: `i-${at}`, sentAt: at - 1_600 }, at);
            simultaneous.recordCrash({ ...suspect, endpoint: `i-${at}`, sentAt: 0 }, 1_000 + at / 100);
        }
        expect(overlapping.refusedUntil("request", [], 7_501)).to.equal(7_500 + quarantineDuration);
        expect(simultaneous.refusedUntil("request", [], 7_501)).to.equal(undefined);
    });

    it("does not count a crash against the parts of answers that had lasted", () => {
        const tracker = new CrashTracker();
        crash(tracker, {
            parts: ["sound"],
            hasSurvived: true,
            at: [1_000, 2_000, 3_000, 4_000, 5_000, 6_000],
        });
        expect(isRefused(tracker, ["sound"], 6_001)).to.equal(false);
    });

    it("still counts a crash after many streams were interrupted by crashes in the middle of their answers", () => {
        const tracker = new CrashTracker();
        crash(tracker, { fingerprint: "request", at: [1_000, 2_000] });
        for (let index = 0; index < 1_000; index++) {
            crash(tracker, { hasSurvived: true, at: [2_000 + index] });
        }
        crash(tracker, { fingerprint: "request", at: [3_100] });
        expect(tracker.refusedUntil("request", [], 3_101)).not.to.equal(undefined);
    });

    it("ends the suspicion of a part, but not that of a request, when an answer has lasted", () => {
        const tracker = new CrashTracker();
        crash(tracker, { fingerprint: "request", parts: ["part"], at: [1_000, 2_000] });
        crash(tracker, { parts: ["part"], at: [2_500] });
        tracker.recordSurvival(["part"], 2_400);
        crash(tracker, { fingerprint: "request", parts: ["part"], at: [3_000] });
        expect(isRefused(tracker, ["part"], 3_001)).to.equal(false);
        expect(tracker.refusedUntil("request", [], 3_001)).not.to.equal(undefined);
    });

    // Guards against requests that crash one endpoint after the other because no two of them are alike.
    it("refuses requests with a part under which requests that are not alike crashed endpoints, at every router", () => {
        const { exchange, routers } = fleetFixture(3);
        routers.forEach((router, index) =>
            crash(router, { parts: ["common", "cause"], at: [1_000 * (index + 1)] })
        );
        exchange(3_100);
        for (const router of routers) {
            expect(isRefused(router, ["cause"], 3_200)).to.equal(true);
            expect(isRefused(router, ["other", "cause", "more"], 3_200)).to.equal(true);
        }
    });

    // Guards against refusing sound requests that share a caller or other parts with those that crash endpoints.
    it("does not refuse requests with the other parts of those that crashed endpoints", () => {
        for (const parts of [["common", "cause"], ["cause", "common"], ["common", "cause", "usual"]]) {
            const tracker = new CrashTracker();
            ["common", "usual"].forEach((part) => tracker.recordCompletion("sound", [part], 500));
            crash(tracker, { parts, at: [1_000, 2_000, 3_000, 4_000, 5_000, 6_000] });
            expect(isRefused(tracker, ["cause"], 6_001), parts.join()).to.equal(true);
            expect(isRefused(tracker, ["common", "usual"], 6_001), parts.join()).to.equal(false);
        }
    });

    it("does not refuse the parts of requests that only waited at endpoints when they crashed", () => {
        const tracker = new CrashTracker();
        crash(tracker, { parts: ["cause"], at: [1_000, 2_000, 3_000] });
        ["1", "2", "3", "4"].forEach((index) =>
            crash(tracker, {
                parts: ["waiting"],
                at: [1_000 * Number(index)],
                endpoint: `endpoint at ${index}000`,
            })
        );
        expect(isRefused(tracker, ["waiting"], 4_001)).to.equal(false);
    });

    it("does not refuse a part if all crashes were under the same request", () => {
        const tracker = new CrashTracker();
        crash(tracker, { parts: ["part"], fingerprint: "request", at: [1_000, 2_000, 3_000, 4_000] });
        expect(tracker.refusedUntil("request", ["part"], 4_001)).not.to.equal(undefined);
        expect(isRefused(tracker, ["part"], 4_001)).to.equal(false);
    });

    it("counts crashes at the same time once, since they have another cause", () => {
        const tracker = new CrashTracker();
        for (let index = 0; index < 20; index++) {
            crash(tracker, { parts: ["popular"], endpoint: `endpoint ${index}`, at: [1_000 + index] });
        }
        expect(isRefused(tracker, ["popular"], 1_100)).to.equal(false);
    });

    it("counts no crash before an answer to a request with the part, also one at another router", () => {
        const { exchange, routers } = fleetFixture(2);
        crash(routers[0], { parts: ["sound"], at: [1_000, 2_000] });
        exchange(2_100);
        routers[1].recordCompletion("sound request", ["sound"], 2_200);
        exchange(2_300);
        crash(routers[0], { parts: ["sound"], at: [3_000, 4_000] });
        expect(isRefused(routers[0], ["sound"], 4_001)).to.equal(false);
    });

    it("ends a quarantine at all routers once a request with the part is answered, and finds the actual cause", () => {
        const { exchange, routers } = fleetFixture(2);
        crash(routers[0], { parts: ["cause", "wrong"], at: [1_000, 2_000, 3_000] });
        exchange(3_100);
        expect(routers.map((router) => isRefused(router, ["wrong"], 3_200))).to.deep.equal([true, true]);
        routers[1].recordCompletion("sound request", ["wrong"], 3_300);
        exchange(3_400);
        expect(routers.map((router) => isRefused(router, ["wrong"], 3_500))).to.deep.equal([false, false]);
        expect(routers.map((router) => isRefused(router, ["cause"], 3_500))).to.deep.equal([true, true]);
    });

    it("tells a router that has just started what is quarantined", () => {
        const tracker = new CrashTracker();
        crash(tracker, { parts: ["cause"], at: [1_000, 2_000, 3_000] });
        const started = new CrashTracker();
        started.observe(tracker.reportFor("started", 100_000)!, 100_000);
        expect(isRefused(started, ["cause"], 100_000)).to.equal(true);
    });

    it("does not tell a router that has just started about answers that no longer matter", () => {
        const tracker = new CrashTracker();
        tracker.recordCompletion("sound request", ["sound"], 500);
        crash(tracker, { parts: ["sound"], at: [1_000] });
        expect(tracker.reportFor("started", 1_100)?.answered.length).to.equal(1);
        expect(tracker.reportFor("started", 500 + quarantineDuration)?.answered.length).to.equal(0);
    });

    it("reports a change to each peer once, in reports of bounded size", () => {
        const tracker = new CrashTracker();
        expect(tracker.reportFor("peer", 1_000)).to.equal(undefined);
        for (let index = 0; index < 10_000; index++) {
            crash(tracker, { parts: [`part ${index}`], at: [1_000 + index] });
        }
        let lastChange = 0;
        let reports = 0;
        for (
            let report = tracker.reportFor("peer", 11_000);
            report !== undefined;
            report = tracker.reportFor("peer", 11_000)
        ) {
            expect(report.suspects.length).to.be.at.most(50);
            expect(report.lastChange).to.be.greaterThan(lastChange);
            lastChange = report.lastChange;
            reports += 1;
            tracker.recordDelivery("peer", report);
        }
        expect(reports).to.be.at.most(10);
    });
});
