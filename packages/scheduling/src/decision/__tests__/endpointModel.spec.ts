/** Model of an endpoint's cache with late and lost events and events of other incarnations. */
import { expect } from "chai";
import {
    type CacheEvent,
    CacheEventKind,
    EndpointModel,
    unconfirmedBlockLifetime,
} from "../endpointModel.js";

function modelOf(maximumBlocks = 8): EndpointModel {
    const model = new EndpointModel({ maximumBlocks });
    model.onIncarnation("first");
    return model;
}

function stored(sequence: number, blocks: readonly string[], incarnation = "first"): CacheEvent {
    return { incarnation, sequence, kind: CacheEventKind.Stored, blocks };
}

describe("scheduling: endpoint model", () => {
    it("counts the leading blocks of a prompt up to the first missing one", () => {
        const model = modelOf();
        model.onCacheEvent(stored(1, ["a", "b", "d"]), 0);
        expect(model.hitBlocks(["a", "b", "c", "d"], 0)).to.equal(2);
    });

    it("removes all blocks when the endpoint restarts, and ignores late events of the old incarnation", () => {
        const model = modelOf();
        model.onCacheEvent(stored(1, ["a"]), 0);
        model.onIncarnation("second");
        model.onCacheEvent(stored(2, ["a"], "first"), 0);
        model.onAnswered("first", ["a"]);
        expect(model.hitBlocks(["a"], 0)).to.equal(0);
    });

    it("removes blocks that are not confirmed within the lifetime after a gap", () => {
        const model = modelOf();
        model.onCacheEvent(stored(1, ["a", "b"]), 0);
        model.onCacheEvent(stored(5, ["c"]), 0);
        model.onAnswered("first", ["a"]);
        expect(model.hitBlocks(["a", "b"], 1)).to.equal(2);
        expect(model.hitBlocks(["a", "b"], unconfirmedBlockLifetime)).to.equal(1);
    });

    it("ignores repeated events", () => {
        const model = modelOf();
        model.onCacheEvent(stored(1, ["a"]), 0);
        model.onCacheEvent(
            { incarnation: "first", sequence: 2, kind: CacheEventKind.Removed, blocks: ["a"] },
            0,
        );
        model.onCacheEvent(stored(1, ["a"]), 0);
        expect(model.hitBlocks(["a"], 0)).to.equal(0);
    });

    it("keeps to its maximum size, and corrects itself by the endpoint's own count of hits", () => {
        const model = modelOf(2);
        model.onAnswered("first", ["a", "b", "c"]);
        expect(model.size).to.equal(2);
        model.onHit("first", ["b", "c"], 1);
        expect(model.hitBlocks(["b", "c"], 0)).to.equal(1);
    });

    it("removes unconfirmed blocks used before one that turned out to be evicted", () => {
        const model = modelOf();
        ["a", "b", "c"].forEach((block, index) => model.onCacheEvent(stored(index + 1, [block]), 0));
        model.onGap(0);
        model.onHit("first", ["b"], 0);
        expect(["a", "b", "c"].map((block) => model.hitBlocks([block], 1))).to.deep.equal([0, 0, 1]);
    });

    it("summarises the level ends of prompts, most recently used first", () => {
        const model = modelOf(64);
        const prompt = (instructions: string, query: string) => ["000000aa", instructions, query];
        const prompts = [
            prompt("000000b1", "000000c1"),
            prompt("000000b1", "000000c2"),
            prompt("000000b2", "000000c3"),
        ];
        prompts.forEach((blocks) => model.addPendingPrompt(blocks));
        expect(model.heldPrefixes(0)).to.include.members([0xaa, 0xb1, 0xb2]);
        expect(model.heldPrefixes(0)).to.not.include.members([0xc1, 0xc2, 0xc3]);
        prompts.forEach((blocks) => model.removePendingPrompt(blocks));
        expect(model.heldPrefixes(0)).to.deep.equal([]);
        prompts.forEach((blocks) => model.onAnswered("first", blocks));
        expect(model.heldPrefixes(0)[0]).to.be.oneOf([0xaa, 0xb2]);
        model.onIncarnation("second");
        expect(model.heldPrefixes(0)).to.deep.equal([]);
    });
});
