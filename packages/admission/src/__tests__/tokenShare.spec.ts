import { expect } from "chai";
import fc from "fast-check";
import { defaultDivision, partOf } from "../decision/tokenShare.js";

const quantum = 1_000;
const total = fc.nat({ max: 3 * defaultDivision.maximumSlots * quantum });
const indices = [...Array(defaultDivision.maximumSlots).keys()];

describe("admission: division of an account over its slots", () => {
    it("gives parts that add up to the total", () => {
        fc.assert(
            fc.property(total, (tokens) => {
                const sum = indices.reduce(
                    (sum, index) => sum + partOf(tokens, index, quantum, defaultDivision),
                    0,
                );
                expect(sum).to.equal(tokens);
            }),
            { seed: 1 },
        );
    });

    it("never shrinks a part when the total grows", () => {
        fc.assert(
            fc.property(
                total,
                fc.nat({ max: quantum }),
                fc.constantFrom(...indices),
                (tokens, more, index) => {
                    expect(partOf(tokens + more, index, quantum, defaultDivision)).to.be.at.least(
                        partOf(tokens, index, quantum, defaultDivision),
                    );
                },
            ),
            { seed: 1 },
        );
    });
});
