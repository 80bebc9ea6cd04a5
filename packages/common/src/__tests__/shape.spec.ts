import { expect } from "chai";
import fc from "fast-check";
import {
    findInvalidField,
    isListOf,
    isNonNegativeInteger,
    isNonNegativeNumber,
    isOptional,
    isShaped,
    isString,
    isTagged,
} from "../shape.js";

const message = isTagged("kind", {
    named: { name: isString, count: isOptional(isNonNegativeInteger) },
    amounts: { amounts: isListOf(isNonNegativeNumber, 2) },
});

describe("common: shape", () => {
    it("selects the shape by its tag and ignores unknown fields", () => {
        expect(message({ kind: "named", name: "a", other: 1 })).to.equal(true);
        expect(message({ kind: "named", name: "a", count: -1 })).to.equal(false);
        expect(message({ kind: "amounts", amounts: [1, 2.5] })).to.equal(true);
        expect(message({ kind: "amounts", amounts: [1, 2, 3] })).to.equal(false);
        expect(message({ kind: "constructor" })).to.equal(false);
        expect(findInvalidField({ name: isString }, { name: 1 })).to.equal("name");
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
