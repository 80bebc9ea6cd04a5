import { expect } from "chai";
import { maxUndeliveredBytes, ReadAllowance, TurnBudget, turnBytes } from "../index.js";

describe("allowance of bytes that are read and not delivered", () => {
    // Guards against line breaks, zeros or informational responses without end, which never reach a limit of the parser.
    it("ends after the maximum, also after any body", () => {
        const allowance = new ReadAllowance();
        allowance.recordRead(10_000_000);
        allowance.recordDelivered(9_999_000);
        allowance.recordRead(maxUndeliveredBytes);
        expect(allowance.isExceeded(0)).to.equal(false);
        allowance.recordRead(1);
        expect(allowance.isExceeded(0)).to.equal(true);
    });

    // Guards against sound responses that are cut off: in chunks of one byte, or with a slow reader.
    it("suffices for chunks of one byte with extensions, and for bodies that wait for their reader", () => {
        const allowance = new ReadAllowance();
        for (let chunks = 0; chunks < 100_000; chunks++) {
            allowance.recordRead("1;a=bcdef\r\nx\r\n".length);
            allowance.recordDelivered(1);
        }
        allowance.recordRead(1_000_000);
        expect([allowance.isExceeded(0), allowance.isExceeded(1_000_000)]).to.deep.equal([true, false]);
    });
});

describe("budget of a turn of the event loop", () => {
    // Guards against one endpoint with many connections that delays the requests at all others.
    it("lets one connection at a time continue at an address that sends more than its part", () => {
        const turns: (() => void)[] = [];
        const budget = new TurnBudget((run) => turns.push(run));
        const resumed: string[] = [];
        expect(budget.spend("a", turnBytes)).to.equal(true);
        for (const connection of ["a1", "a2"]) {
            expect(budget.spend("a", 1)).to.equal(false);
            budget.wait("a", () => resumed.push(connection));
        }
        expect(budget.spend("b", 1)).to.equal(true);
        turns.shift()!();
        expect(resumed).to.deep.equal(["a1"]);
        expect(budget.spend("a", turnBytes)).to.equal(true);
        turns.shift()!();
        turns.shift()!();
        expect([resumed, turns.length]).to.deep.equal([["a1", "a2"], 0]);
    });
});
