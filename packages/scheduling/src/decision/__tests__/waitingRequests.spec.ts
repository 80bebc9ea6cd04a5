import { expect } from "chai";
import { AccountWork, type HoldEnd, type WaitingRequest, WaitingRequests } from "../../index.js";

/** A queue whose requests start while there is room for their work; `ends` lists how they left. */
function queueFixture(bounds = { requests: 100, bytes: 1_000 }) {
    const work = new AccountWork();
    const queue = new WaitingRequests(work, () => bounds);
    const ends: string[] = [];
    const site = { room: 0 };
    const add = (name: string, more: Partial<WaitingRequest> & { need?: number; } = {}) => {
        const need = more.need ?? 1;
        const account = more.account ?? "makers";
        queue.add({
            account,
            weight: 1,
            urgency: 3,
            bytes: 1,
            deadline: 1_000,
            waitUntil: 100,
            minDuration: 0,
            hasCallerLeft: () => false,
            tryStart: (now) => {
                if (need > site.room) {
                    return false;
                }
                site.room -= need;
                work.record(account, need, now);
                return true;
            },
            settle: (end: HoldEnd) => ends.push(`${name} ${end.kind}`),
            ...more,
        }, 0);
    };
    return { add, ends, queue, site, work };
}

describe("requests that wait for room", () => {
    it("start by urgency, then by the work of their accounts, then by their time limits", () => {
        const { add, ends, queue, site, work } = queueFixture();
        work.record("makers", 10, 0);
        add("late", { deadline: 900 });
        add("soon", { deadline: 500 });
        add("other", { account: "shops" });
        add("urgent", { urgency: 0 });
        site.room = 4;
        queue.advance(0);
        expect(ends).to.deep.equal(["urgent start", "other start", "soon start", "late start"]);
    });

    // Guards against a long request for which there is no room and that blocks short ones.
    it("start although a request before them needs more room than there is", () => {
        const { add, ends, queue, site } = queueFixture();
        add("long", { need: 9, deadline: 400 });
        add("short", { deadline: 800 });
        site.room = 2;
        queue.advance(0);
        expect(ends).to.deep.equal(["short start"]);
    });

    // Guards against credit from idle time: an account that returns would be served alone until it has caught up.
    it("alternate between an account that waits and one that returns from idle time", () => {
        const { add, ends, queue, site, work } = queueFixture();
        work.record("makers", 50, 0);
        for (let index = 0; index < 3; index++) {
            add("waiting");
        }
        for (let index = 0; index < 3; index++) {
            add("returned", { account: "shops", deadline: 1_100 });
        }
        for (let step = 0; step < 4; step++) {
            site.room = 1;
            queue.advance(0);
        }
        expect(ends.filter((end) => end === "returned start")).to.have.lengthOf(2);
    });

    // Guards against requests that are held or run although nobody can use the answer any more.
    it("leave when the wait ends, when the time limit can't be met, and when the caller has left", () => {
        const { add, ends, queue } = queueFixture();
        let hasLeft = false;
        add("waits");
        add("long", { waitUntil: 900, minDuration: 970 });
        add("left", { hasCallerLeft: () => hasLeft });
        add("never", { minDuration: 1_000 });
        expect(ends).to.deep.equal(["never unreachable"]);
        expect(queue.nextEndAt()).to.equal(30);
        queue.advance(30);
        hasLeft = true;
        queue.advance(99);
        queue.advance(100);
        expect(ends.slice(1)).to.deep.equal(["long unreachable", "left callerGone", "waits waited"]);
        expect(queue.length).to.equal(0);
        expect(queue.bytes).to.equal(0);
    });

    // Guards against memory that grows with the number of requests, and against a flood that displaces other accounts.
    it("are bounded in number and bytes; the last in the order leaves", () => {
        const { add, ends, queue, work } = queueFixture({ requests: 3, bytes: 10 });
        work.record("makers", 10, 0);
        add("first", { deadline: 400 });
        add("second", { deadline: 500 });
        add("third", { deadline: 600 });
        add("fourth", { deadline: 700 });
        expect(ends).to.deep.equal(["fourth displaced"]);
        add("urgent", { urgency: 0, account: "shops" });
        expect(ends.slice(1)).to.deep.equal(["third displaced"]);
        add("large", { urgency: 0, bytes: 9, account: "shops" });
        expect(ends.slice(2)).to.deep.equal(["second displaced", "first displaced"]);
        expect(queue.bytes).to.be.at.most(10);
    });

    // Guards against callers that are told to return before the queue can have emptied.
    it("measure the pace at which they leave", () => {
        const { add, queue, site } = queueFixture();
        for (let index = 0; index < 60; index++) {
            add(`request-${index}`, { waitUntil: 1_000 });
        }
        for (let now = 0; now < 500; now += 10) {
            site.room = 1;
            queue.advance(now);
        }
        expect(queue.expectedWait).to.be.closeTo(100, 15);
    });
});
