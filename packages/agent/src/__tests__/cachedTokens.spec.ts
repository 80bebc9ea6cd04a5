import { expect } from "chai";
import { findCachedTokens } from "../decision/cachedTokens.js";

describe("findCachedTokens", () => {
    it("finds the count in a whole answer and in a usage event", () => {
        const usage = { prompt_tokens: 5_000, prompt_tokens_details: { cached_tokens: 4_096 } };
        expect(findCachedTokens(Buffer.from(JSON.stringify({ usage })))).to.equal(4_096);
        expect(findCachedTokens(Buffer.from(`data: ${JSON.stringify({ choices: [], usage })}\n\n`))).to.equal(
            4_096,
        );
    });

    it("finds none in other parts and in a truncated part", () => {
        expect(findCachedTokens(Buffer.from('data: {"choices":[]}'))).to.equal(undefined);
        expect(findCachedTokens(Buffer.from('{"cached_tokens":'))).to.equal(undefined);
    });
});
