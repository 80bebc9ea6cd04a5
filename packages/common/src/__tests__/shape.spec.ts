import { expect } from "chai";
import fc from "fast-check";
import {
    isAmount,
    isCount,
    isListOf,
    isOptional,
    isShaped,
    isTagged,
    isText,
    missingField,
} from "../shape.js";

const message = isTagged("kind", {
    named: { name: isText, count: isOptional(isCount) },
    amounts: { amounts: isListOf(isAmount, 2) },
});

describe("common: shape", () => {
    it("selects the shape by its tag and ignores unknown fields", () => {
        expect(message({ kind: "named", name: "a", other: 1 })).to.equal(true);
        expect(message({ kind: "named", name: "a", count: -1 })).to.equal(false);
        expect(message({ kind: "amounts", amounts: [1, 2.5] })).to.equal(true);
        expect(message({ kind: "amounts", amounts: [1, 2, 3] })).to.equal(false);
        expect(message({ kind: "constructor" })).to.equal(false);
        expect(missingField({ name: isText }, { name: 1 })).to.equal("name");
        expect(isShaped({})(undefined)).to.equal(false);
    });

    it("fuzz: never throws for any value", () => {
        fc.assert(
            fc.property(fc.anything(), (value) => {
                expect(message(value)).to.be.a("boolean");
            }),
            { seed: 5, numRuns: 500 },
        );
    });
});
