/** Fair queue: shares, priorities, limits and deadlines. */
import { RoutePriority } from "@redwingpin/manifest";
import { expect } from "chai";
import { FairQueue, type FairQueueOptions, type QueueEntry, QueueRefusal } from "../fairQueue.js";

function queueOf(options: Partial<FairQueueOptions> = {}): FairQueue {
    return new FairQueue({
        maximumRunning: 1,
        maximumUnanswered: 1,
        maximumQueuedRequests: 100,
        maximumQueuedTokens: 1_000_000,
        ...options,
    });
}

let nextId = 0;

function entryOf(fields: Partial<QueueEntry> = {}): QueueEntry {
    return {
        id: `entry-${nextId++}`,
        account: "office",
        priority: RoutePriority.Normal,
        tokens: 1_000,
        deadline: 60_000,
        ...fields,
    };
}

function runAll(queue: FairQueue, now = 0): QueueEntry[] {
    const taken: QueueEntry[] = [];
    for (let entry = queue.take(now); entry !== undefined; entry = queue.take(now)) {
        taken.push(entry);
        queue.finish(entry.id);
    }
    return taken;
}

describe("scheduling: fair queue", () => {
    it("serves equal tokens of two accounts when one of them floods the queue", () => {
        const queue = queueOf({ prioritySlackTokens: 0 });
        for (let count = 0; count < 20; count++) {
            queue.offer(entryOf({ account: "flood" }), 0);
        }
        for (let count = 0; count < 5; count++) {
            queue.offer(entryOf({ account: "quiet" }), 0);
        }
        const firstTen = runAll(queue).slice(0, 10).filter((entry) => entry.account === "quiet");
        expect(firstTen).to.have.length(5);
    });

    it("counts tokens, not requests", () => {
        const queue = queueOf({ prioritySlackTokens: 0 });
        for (let count = 0; count < 8; count++) {
            queue.offer(entryOf({ account: "large", tokens: 4_000 }), 0);
            queue.offer(entryOf({ account: "small", tokens: 1_000 }), 0);
        }
        const firstFive = runAll(queue).slice(0, 5);
        expect(firstFive.filter((entry) => entry.account === "small")).to.have.length(4);
    });

    it("serves interactive before normal before bulk entries among accounts within their share", () => {
        const queue = queueOf();
        queue.offer(entryOf({ account: "a", priority: RoutePriority.Bulk }), 0);
        queue.offer(entryOf({ account: "b", priority: RoutePriority.Normal }), 0);
        queue.offer(entryOf({ account: "c", priority: RoutePriority.Interactive }), 0);
        expect(runAll(queue).map((entry) => entry.account)).to.deep.equal(["c", "b", "a"]);
    });

    it("does not starve bulk entries of the same or another account", () => {
        const queue = queueOf({ prioritySlackTokens: 3_000 });
        queue.offer(entryOf({ account: "a", priority: RoutePriority.Bulk }), 0);
        queue.offer(entryOf({ account: "b", priority: RoutePriority.Bulk }), 0);
        for (let count = 0; count < 50; count++) {
            queue.offer(entryOf({ account: "a", priority: RoutePriority.Interactive }), 0);
        }
        const bulk = runAll(queue).slice(0, 12).filter((entry) => entry.priority === RoutePriority.Bulk);
        expect(bulk).to.have.length(2);
    });

    it("refuses the account with the most waiting tokens and displaces it for others", () => {
        const queue = queueOf({ maximumQueuedRequests: 4 });
        for (let count = 0; count < 4; count++) {
            queue.offer(entryOf({ account: "flood" }), 0);
        }
        expect(queue.offer(entryOf({ account: "flood" }), 0)._unsafeUnwrapErr()).to.equal(QueueRefusal.Full);
        const accepted = queue.offer(entryOf({ account: "quiet" }), 0)._unsafeUnwrap();
        expect(accepted.displaced.map((entry) => entry.account)).to.deep.equal(["flood"]);
        expect(queue.queuedRequests).to.equal(4);
        expect(queue.queuedTokens).to.equal(4_000);
    });

    it("does not run entries past their deadline, and returns them", () => {
        const queue = queueOf();
        const late = entryOf({ deadline: 10 });
        const live = entryOf({ deadline: 100 });
        queue.offer(late, 0);
        queue.offer(live, 0);
        expect(runAll(queue, 50)).to.deep.equal([live]);
        expect(queue.expire(50)).to.deep.equal([late]);
        expect(queue.offer(entryOf({ deadline: 10 }), 50)._unsafeUnwrapErr()).to.equal(
            QueueRefusal.DeadlineExceeded,
        );
        expect(queue.queuedTokens).to.equal(0);
    });

    it("keeps to the limits on running and unanswered requests", () => {
        const queue = queueOf({ maximumRunning: 3, maximumUnanswered: 2 });
        const ids = ["p", "q", "r", "s"];
        ids.forEach((id) => queue.offer(entryOf({ id }), 0));
        queue.take(0);
        queue.take(0);
        expect(queue.take(0)).to.equal(undefined);
        queue.recordAnswered("p");
        expect(queue.take(0)?.id).to.equal("r");
        queue.recordAnswered("q");
        expect(queue.take(0)).to.equal(undefined);
        queue.finish("p");
        expect(queue.take(0)?.id).to.equal("s");
    });

    it("refuses an identifier that is waiting or running", () => {
        const queue = queueOf();
        queue.offer(entryOf({ id: "same" }), 0);
        expect(queue.offer(entryOf({ id: "same" }), 0)._unsafeUnwrapErr()).to.equal(QueueRefusal.Duplicate);
    });
});
