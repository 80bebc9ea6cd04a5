import { expect } from "chai";
import {
    firstSliceBytes,
    ordinarySteps,
    ReadTurns,
    SlicePace,
    stepsOfRequest,
} from "../connections/readTurns.js";

/** Connections that always have bytes left, by the steps that each of their slices takes. */
function turnOf(stepsByConnection: Readonly<Record<string, number>>, rounds = 1): string[] {
    const turns = new ReadTurns<string>();
    const served: string[] = [];
    const add = (connection: string) => turns.add(connection, stepsByConnection[connection] > ordinarySteps);
    Object.keys(stepsByConnection).forEach(add);
    for (let round = 0; round < rounds; round++) {
        turns.beginTurn();
        for (let connection = turns.next(); connection !== undefined; connection = turns.next()) {
            served.push(connection);
            turns.record(stepsByConnection[connection]);
            if (stepsByConnection[connection] > ordinarySteps) {
                add(connection);
            }
        }
    }
    return served;
}

describe("turns of reading", () => {
    // Guards against ordinary callers that wait for a crowd whose every byte takes a call of the parser.
    it("serve ordinary connections before all but one of the heavy ones", () => {
        const heavy = Object.fromEntries(Array.from({ length: 50 }, (_, index) => [`heavy ${index}`, 300]));
        const served = turnOf({ ...heavy, ordinary: 40 });
        expect(served.indexOf("ordinary")).to.be.lessThan(2);
    });

    // Guards against turns that grow with the number of heavy connections.
    it("end after a number of steps, and go on with those that have waited", () => {
        const heavy = Object.fromEntries(Array.from({ length: 50 }, (_, index) => [`heavy ${index}`, 300]));
        const first = turnOf(heavy);
        expect(first.length).to.be.lessThan(20);
        const three = turnOf(heavy, 3);
        expect(new Set(three).size).to.equal(three.length);
    });

    // Guards against a single client with small chunks that is never read beside much ordinary load.
    it("serve one heavy connection in each turn, also if ordinary ones take all of it", () => {
        const turns = new ReadTurns<string>();
        turns.add("heavy", true);
        turns.record(1_000_000);
        expect(turns.next()).to.equal("heavy");
        turns.add("ordinary", false);
        expect(turns.next()).to.equal(undefined);
        turns.beginTurn();
        expect(turns.next()).to.equal("ordinary");
    });
});

describe("slices of a connection", () => {
    // Guards against processor time for ordinary requests that are parsed in many small slices.
    it("reach a whole read within three for a body with a length", () => {
        const pace = new SlicePace();
        const sizes = [pace.sliceBytes];
        for (let slice = 0; slice < 2; slice++) {
            pace.record(pace.sliceBytes, slice === 0 ? stepsOfRequest(20) : 0, true);
            sizes.push(pace.sliceBytes);
        }
        expect(sizes[0]).to.equal(firstSliceBytes);
        expect(sizes[2]).to.be.greaterThan(32_000);
        expect(pace.isHeavy).to.equal(false);
    });

    // Guards against turns that one read with a thousand requests, or with chunks of a byte, makes long.
    it("take a bounded number of steps, whatever a byte costs", () => {
        for (const stepsPerByte of [1 / 6, 1, stepsOfRequest(2) / 30]) {
            const pace = new SlicePace();
            for (let slice = 0; slice < 10; slice++) {
                pace.record(pace.sliceBytes, pace.sliceBytes * stepsPerByte, true);
            }
            expect(pace.sliceBytes * stepsPerByte).to.be.at.most(300);
        }
    });
});
