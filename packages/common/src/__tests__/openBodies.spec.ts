import { expect } from "chai";
import { minPace, OpenBodies, paceGrace, stallGrace } from "../connections/openBodies.js";

/** Largest body of a caller, and the time in which it arrives at the latest. */
const largestBody = 4_194_304;
const requestTimeout = 30_000;

describe("request bodies that are being read", () => {
    // Guards against bodies that stop just short of their end and keep the memory of all others.
    it("yields those without progress, the oldest first, and each once", () => {
        const yielded: string[] = [];
        const bodies = new OpenBodies();
        const open = (name: string, at: number) => bodies.open(at, () => yielded.push(name));
        open("first", 0);
        open("second", 100).recordProgress(10_000, 200);
        open("third", 150).close();
        expect(bodies.yieldSlowest(stallGrace - 1)).to.equal(false);
        expect([1, 2, 3].map(() => bodies.yieldSlowest(stallGrace + 500))).to.deep.equal([true, true, false]);
        expect(yielded).to.deep.equal(["first", "second"]);
    });

    // Guards against bodies that avoid the grace period with single bytes.
    it("yields an old body that arrives at less than the minimum pace, and none of the pace of an ordinary one", () => {
        const yielded: string[] = [];
        const bodies = new OpenBodies();
        const slow = bodies.open(0, () => yielded.push("slow"));
        const ordinary = bodies.open(0, () => yielded.push("ordinary"));
        for (let now = 0; now <= paceGrace; now += 1_000) {
            slow.recordProgress(1, now);
            ordinary.recordProgress(largestBody / requestTimeout * 1_000, now);
        }
        expect([1, 2].map(() => bodies.yieldSlowest(paceGrace))).to.deep.equal([true, false]);
        expect(yielded).to.deep.equal(["slow"]);
        expect(largestBody / requestTimeout).to.be.greaterThan(100 * minPace);
    });
});
