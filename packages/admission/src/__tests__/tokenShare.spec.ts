import { expect } from "chai";
import fc from "fast-check";
import { shareOf } from "../decision/tokenShare.js";

const total = fc.nat({ max: 1_000_000 });
const slots = fc.integer({ min: 1, max: 9 });

describe("admission: division of an account over its slots", () => {
    it("divides into shares that add up to the total", () => {
        fc.assert(
            fc.property(total, slots, (tokens, count) => {
                const shares = [...Array(count).keys()].map((index) => shareOf(tokens, index, count));
                expect(shares.reduce((sum, share) => sum + share, 0)).to.equal(tokens);
            }),
            { seed: 1 },
        );
    });

    it("never shrinks a share when the total grows", () => {
        fc.assert(
            fc.property(
                total,
                fc.nat({ max: 1_000 }),
                slots,
                fc.nat({ max: 8 }),
                (tokens, more, count, index) => {
                    expect(shareOf(tokens + more, index, count)).to.be.at.least(
                        shareOf(tokens, index, count),
                    );
                },
            ),
            { seed: 1 },
        );
    });
});
