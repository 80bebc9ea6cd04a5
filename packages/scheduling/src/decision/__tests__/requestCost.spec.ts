import { expect } from "chai";
import { predictOutputTokens } from "../requestCost.js";

describe("predicted output of a request", () => {
    // Guards against requests with short answers that count as if they used their maximum.
    it("is the caller's estimate within the maximum, and the maximum without an estimate", () => {
        expect(predictOutputTokens({ outputTokens: 400, expectedOutputTokens: 40 })).to.equal(40);
        expect(predictOutputTokens({ outputTokens: 400, expectedOutputTokens: 900 })).to.equal(400);
        expect(predictOutputTokens({ outputTokens: 400 })).to.equal(400);
    });
});
