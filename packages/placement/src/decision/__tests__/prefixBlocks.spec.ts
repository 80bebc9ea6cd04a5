/** Names of prefix blocks. */
import { expect } from "chai";
import { charactersPerToken, prefixBlocks, type PrefixScope, ScopeKind } from "../prefixBlocks.js";

const blockTokens = 10;
const blockText = (letter: string) => letter.repeat(blockTokens * charactersPerToken);

function scopeOf(fields: Partial<PrefixScope> = {}): PrefixScope {
    return {
        kind: ScopeKind.Account,
        name: "workshop",
        weights: { model: "drafting", version: "1" },
        ...fields,
    };
}

describe("placement: prefix blocks", () => {
    it("gives equal names up to the first difference and different ones after it", () => {
        const left =
            prefixBlocks(scopeOf(), blockText("a") + blockText("b") + blockText("c"), blockTokens).blocks;
        const right =
            prefixBlocks(scopeOf(), blockText("a") + blockText("x") + blockText("c"), blockTokens).blocks;
        expect(left[0]).to.equal(right[0]);
        expect(left[1]).to.not.equal(right[1]);
        expect(left[2]).to.not.equal(right[2]);
    });

    it("gives different names for different accounts, open routes, models, versions and adapters", () => {
        const scopes = [
            scopeOf(),
            scopeOf({ name: "other" }),
            scopeOf({ kind: ScopeKind.OpenRoute }),
            scopeOf({ weights: { model: "lexis", version: "1" } }),
            scopeOf({ weights: { model: "drafting", version: "2" } }),
            scopeOf({ weights: { model: "drafting", version: "1", adapter: "strap" } }),
        ];
        const names = scopes.map((scope) => prefixBlocks(scope, blockText("a"), blockTokens).blocks[0]);
        expect(new Set(names).size).to.equal(scopes.length);
    });

    it("gives equal names to the common head of two chats whose first messages differ in length", () => {
        const chat = (ending: string) => [{ role: "system", content: blockText("a") + ending }];
        const left = prefixBlocks(scopeOf(), chat(blockText("b")), blockTokens).blocks;
        const right = prefixBlocks(scopeOf(), chat(blockText("c").repeat(2)), blockTokens).blocks;
        expect(left[0]).to.equal(right[0]);
        expect(left[1]).to.not.equal(right[1]);
    });

    it("names full blocks only, and counts the instructions of a chat as shared", () => {
        const chat = [
            { role: "system", content: blockText("a") + blockText("b") },
            { role: "user", content: blockText("q") + "tail" },
        ];
        const chain = prefixBlocks(scopeOf(), chat, blockTokens);
        expect(chain.blocks).to.have.length(3);
        expect(chain.sharedBlocks).to.equal(2);
        expect(prefixBlocks(scopeOf(), "short", blockTokens).blocks).to.deep.equal([]);
    });
});
