import { expect } from "chai";
import { ConnectionBudget } from "../connections/connectionBudget.js";

const limits = { maxConnections: 3, maxUnfinishedBytes: 1_000, maxPipelined: 4 };

function budgetOf(...connections: readonly string[]): ConnectionBudget<string> {
    const budget = new ConnectionBudget<string>(limits);
    connections.forEach((connection, index) => budget.open(connection, index));
    return budget;
}

describe("budget of connections", () => {
    // Guards against descriptors that run out, and against idle callers that are closed while unfinished heads stay.
    it("closes the connection without progress whose head is unfinished before idle ones, and none in use", () => {
        const budget = budgetOf("in use", "idle", "unfinished");
        budget.beginRequest("in use", 10);
        budget.beginRequest("idle", 10);
        budget.endRequest("idle", 300, 11);
        budget.sample(
            (connection) => ({ "in use": 500, "idle": 300, "unfinished": 50 })[connection] ?? 0,
            20,
        );
        expect(budget.open("new", 30)).to.equal("unfinished");
        budget.remove("unfinished");
        expect(budget.open("newer", 40)).to.equal("idle");
    });

    // Guards against callers that are kept out by connections whose bodies do not arrive, and against requests in service that end.
    it("names the connection whose body makes no progress for longest, of those that are not complete", () => {
        const budget = budgetOf("served", "stalled", "slow");
        ["served", "stalled", "slow"].forEach((connection) => budget.beginRequest(connection, 10));
        budget.sample((connection) => connection === "slow" ? 700 : 0, 1_500);
        const isIncomplete = (connection: string) => connection !== "served";
        expect(budget.findStalled(isIncomplete, 1_900)).to.equal(undefined);
        expect(budget.findStalled(isIncomplete, 2_100)).to.equal("stalled");
        budget.remove("stalled");
        expect(budget.findStalled(isIncomplete, 3_000)).to.equal(undefined);
        expect(budget.findStalled(isIncomplete, 3_600)).to.equal("slow");
    });

    // Guards against connections that are closed while there is room.
    it("closes none up to its limits", () => {
        const budget = budgetOf("a", "b");
        expect(budget.open("c", 5)).to.equal(undefined);
        expect(budget.sample(() => 333, 6)).to.deep.equal([]);
    });

    // Guards against a process that is ended by heads that do not end; ordinary heads are smaller than these.
    it("closes the connections with the largest unfinished heads until the others fit", () => {
        const budget = budgetOf("small", "larger", "largest");
        const sizes: Record<string, number> = { small: 400, larger: 700, largest: 900 };
        expect(budget.sample((connection) => sizes[connection], 5)).to.deep.equal(["largest", "larger"]);
    });

    // Guards against bytes of finished or running requests, such as long bodies, that count as heads.
    it("does not count the bytes of requests", () => {
        const budget = budgetOf("running", "done");
        budget.beginRequest("running", 1);
        budget.beginRequest("done", 1);
        budget.endRequest("done", 4_000_000, 2);
        expect(budget.sample(() => 4_000_000, 3)).to.deep.equal([]);
    });

    // Guards against a process that is ended by one connection with thousands of requests in a read.
    it("refuses more open requests of a connection than its limit, and names the connection with most", () => {
        const budget = budgetOf("single", "pipelined");
        expect(budget.beginRequest("single", 1)).to.equal(true);
        expect(budget.findMostPipelined()).to.equal(undefined);
        const results = Array.from({ length: 5 }, () => budget.beginRequest("pipelined", 1));
        expect(results).to.deep.equal([true, true, true, true, false]);
        expect(budget.findMostPipelined()).to.equal("pipelined");
        budget.remove("pipelined");
        expect(budget.beginRequest("pipelined", 2)).to.equal(false);
    });

    // Guards against connections that are kept for many requests, one after the other, and reach the limit.
    it("allows any number of requests that follow each other", () => {
        const budget = budgetOf("kept");
        for (let index = 0; index < 1_000; index += 1) {
            expect(budget.beginRequest("kept", index)).to.equal(true);
            budget.endRequest("kept", index * 100, index);
        }
    });
});
