import { expect } from "chai";
import fc from "fast-check";
import { partOf } from "../decision/tokenShare.js";

const total = fc.nat({ max: 1_000_000 });
const slots = fc.integer({ min: 1, max: 9 });

describe("admission: division of an account over its slots", () => {
    it("gives parts that add up to the total", () => {
        fc.assert(
            fc.property(total, slots, (tokens, count) => {
                const parts = [...Array(count).keys()].map((index) => partOf(tokens, index, count));
                expect(parts.reduce((sum, part) => sum + part, 0)).to.equal(tokens);
            }),
            { seed: 1 },
        );
    });

    it("never shrinks a part when the total grows", () => {
        fc.assert(
            fc.property(
                total,
                fc.nat({ max: 1_000 }),
                slots,
                fc.nat({ max: 8 }),
                (tokens, more, count, index) => {
                    expect(partOf(tokens + more, index, count)).to.be.at.least(partOf(tokens, index, count));
                },
            ),
            { seed: 1 },
        );
    });
});
