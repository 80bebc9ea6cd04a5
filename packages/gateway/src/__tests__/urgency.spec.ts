import { expect } from "chai";
import { isDeferred, urgencyRank } from "../index.js";

const target = 800;

interface Waiting {
    readonly arrival: number;
    readonly rank: number;
    readonly isDeferred: boolean;
    left: number;
}

/**
 * One engine that reads 36 tokens a millisecond for prompts of 6,000 tokens, and gets `load` times what it can read for
 * 4 s and half of it after. Returns the share of prompts in time and the longest wait.
 */
function playOverload(load: number, defers: boolean): { inTime: number; longest: number; } {
    const speed = 36;
    const tokens = 6_000;
    const overloadLength = 4_000;
    let queue: Waiting[] = [];
    let arriving = 0;
    let inTime = 0;
    let longest = 0;
    let count = 0;
    for (let now = 0; now < 20_000; now++) {
        arriving += (now < overloadLength ? load : 0.5) * speed / tokens;
        while (arriving >= 1) {
            arriving -= 1;
            count += 1;
            const ahead = queue.filter((other) => !other.isDeferred).reduce(
                (sum, other) => sum + other.left,
                0,
            );
            const facts = { elapsed: 0, latency: (ahead + tokens) / speed, targetLatency: target };
            const deferred = defers && isDeferred(facts);
            const rank = defers ? urgencyRank({ ...facts, rank: 1 }) : 1;
            queue.push({ arrival: now, rank, isDeferred: deferred, left: tokens });
        }
        queue.sort((left, right) => left.rank - right.rank || left.arrival - right.arrival);
        const first = queue.at(0);
        if (first !== undefined) {
            first.left -= speed;
            if (first.left <= 0) {
                const wait = now - first.arrival;
                inTime += wait <= target ? 1 : 0;
                longest = Math.max(longest, wait);
                queue = queue.slice(1);
            }
        }
    }
    return { inTime: inTime / count, longest };
}

// Kartela's scale-2: a third of the replicas crash while others load, and for four seconds all answers are late.
describe("urgency under overload", () => {
    it("keeps most requests in time where the order of arrival makes nearly all of them late", () => {
        const inOrder = playOverload(1.6, false);
        const deferring = playOverload(1.6, true);
        expect(inOrder.inTime).to.be.lessThan(0.6);
        expect(deferring.inTime).to.be.greaterThan(0.8);
    });

    it("serves those that are late once there is room, and changes nothing without an overload", () => {
        expect(playOverload(1.6, true).longest).to.be.lessThan(9_000);
        expect(playOverload(0.9, true)).to.deep.equal(playOverload(0.9, false));
    });

    it("keeps the order of routes and accounts among requests that are late", () => {
        const late = { elapsed: 900, latency: 10, targetLatency: target };
        expect(urgencyRank({ ...late, rank: 0 })).to.be.lessThan(urgencyRank({ ...late, rank: 1 }));
        expect(urgencyRank({ ...late, elapsed: 0, rank: 4 })).to.be.lessThan(
            urgencyRank({ ...late, rank: 0 }),
        );
    });
});
