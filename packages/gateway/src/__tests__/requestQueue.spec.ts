import { seededRandom } from "@redwingpin/common";
import { expect } from "chai";
import { type Admission, RequestQueue } from "../decision/requestQueue.js";

/** A queue whose requests each take `serviceTime`, and the admissions of its requests in the order in which they came. */
function queueFixture(serviceTime = 1) {
    const queue = new RequestQueue();
    const admissions: { name: string; admission: Admission; }[] = [];
    let now = 0;
    return {
        queue,
        names: () => admissions.map(({ name }) => name),
        kinds: () => admissions.map(({ admission }) => admission.kind),
        admissions,
        now: () => now,
        pass: (duration: number) => now += duration,
        add: (name: string, deadline = Infinity, hasCallerLeft = () => false) =>
            queue.add(
                { deadline, hasCallerLeft, settle: (admission) => admissions.push({ name, admission }) },
                now,
            ),
        /** Runs one turn; returns the number of requests that were served in it. */
        turn: (acceptsConnections = false) => {
            const before = admissions.length;
            queue.beginSlice(now, acceptsConnections);
            while (queue.settleNext(now)) {
                now += admissions.at(-1)?.admission.kind === "serve" ? serviceTime : 0;
            }
            return admissions.length - before;
        },
    };
}

describe("request queue", () => {
    // Guards against turns of the event loop that last as long as the work of all connections with a request.
    it("serves first come first served, a few milliseconds in each turn", () => {
        const { add, names, turn } = queueFixture();
        const expected = Array.from({ length: 300 }, (_, index) => `request-${index}`);
        expected.forEach((name) => add(name));
        turn();
        while (names().length < expected.length) {
            expect(turn()).to.be.within(1, 4);
        }
        expect(names()).to.deep.equal(expected);
    });

    // Guards against new connections that wait for many requests of other connections.
    it("serves one request in four turns while connections are being accepted", () => {
        const { add, turn } = queueFixture();
        ["a", "b", "c", "d", "e"].forEach((name) => add(name));
        turn();
        turn();
        const served = Array.from({ length: 8 }, () => turn(true));
        expect(served).to.deep.equal([0, 0, 0, 1, 0, 0, 0, 0]);
    });

    // Guards against requests that wait for turns in which other work takes a long time.
    it("serves a request within some milliseconds while connections are accepted in long turns", () => {
        const { add, pass, turn } = queueFixture();
        ["a", "b", "c"].forEach((name) => add(name));
        turn();
        const served = Array.from({ length: 4 }, () => {
            pass(60);
            return turn(true);
        });
        expect(served).to.deep.equal([1, 1, 1, 0]);
    });

    it("serves requests while connections are accepted without end", () => {
        const { add, names, turn } = queueFixture();
        Array.from({ length: 10 }, (_, index) => add(`request-${index}`));
        for (let count = 0; count < 50; count++) {
            turn(true);
        }
        expect(names()).to.have.length(10);
    });

    it("serves a request in each turn, even if each takes longer than a slice", () => {
        const { add, turn } = queueFixture(50);
        ["a", "b"].forEach((name) => add(name));
        turn();
        expect([turn(), turn(), turn()]).to.deep.equal([1, 1, 0]);
    });

    // Guards against requests that are passed on although the end of their connection arrived with them.
    it("does not serve a request before the turn after the one in which it arrived", () => {
        const { add, kinds, turn } = queueFixture();
        let hasLeft = false;
        add("a", Infinity, () => hasLeft);
        expect(turn()).to.equal(0);
        hasLeft = true;
        turn();
        expect(kinds()).to.deep.equal(["callerGone"]);
    });

    // Guards against requests that are run after their time limit.
    it("does not serve a request whose time limit has passed", () => {
        const { add, kinds, pass, turn } = queueFixture();
        add("a", 1_500);
        turn();
        pass(1_500);
        turn();
        expect(kinds()).to.deep.equal(["expired"]);
    });

    it("does not take a request whose time limit has passed already", () => {
        const { add, kinds, pass } = queueFixture();
        pass(2_000);
        add("a", 1_500);
        expect(kinds()).to.deep.equal(["expired"]);
    });

    it("answers a request whose time limit has passed although others are ahead", () => {
        const { add, names, turn } = queueFixture(10);
        for (let request = 0; request < 100; request++) {
            add(`ahead-${request}`);
        }
        add("short", 100);
        while (!names().includes("short")) {
            turn();
        }
        expect(names().length).to.be.below(20);
    });

    it("refuses a request at once if those ahead take longer than its time limit, until they are served", () => {
        const { add, admissions, kinds, now, queue, turn } = queueFixture(10);
        for (let request = 0; request < 400; request++) {
            add("ahead");
        }
        while (queue.length > 200) {
            turn();
        }
        const served = admissions.length;
        add("late", now() + 1_500);
        expect(kinds().slice(served)).to.deep.equal(["overloaded"]);
        const { admission } = admissions[served];
        expect(admission.kind === "overloaded" && admission.retryAfter).to.be.within(1_500, 2_000);
        while (queue.length > 0) {
            turn();
        }
        add("in time", now() + 1_500);
        turn();
        turn();
        expect(kinds().at(-1)).to.equal("serve");
    });

    it("does not take a pause of the process for slow requests", () => {
        const { add, kinds, now, pass, turn } = queueFixture();
        ["a", "b", "c"].forEach((name) => add(name));
        turn();
        turn(true);
        pass(60_000);
        turn(true);
        add("d", now() + 100);
        turn();
        turn();
        expect(kinds()).to.deep.equal(["serve", "serve", "serve", "serve"]);
    });

    it("settles each request once, in any order of arrivals, turns and departures", () => {
        for (let seed = 1; seed <= 50; seed++) {
            const random = seededRandom(seed);
            const { add, names, pass, queue, turn } = queueFixture(2);
            const left = new Set<string>();
            const added: string[] = [];
            for (let step = 0; step < 300; step++) {
                const name = `request-${step}`;
                added.push(name);
                add(name, random.unit() * 2_000, () => left.has(name));
                if (random.unit() < 0.1) {
                    left.add(added[Math.floor(random.unit() * added.length)]);
                }
                if (random.unit() < 0.5) {
                    turn(random.unit() < 0.3);
                }
                pass(random.unit() * 10);
            }
            queue.stop();
            expect(queue.length).to.equal(0);
            expect([...names()].sort(), `seed ${seed}`).to.deep.equal([...added].sort());
        }
    });

    it("refuses what waits when the process ends", () => {
        const { add, kinds, queue } = queueFixture();
        add("a");
        add("b");
        queue.stop();
        expect(kinds()).to.deep.equal(["stopped", "stopped"]);
    });
});
