import { expect } from "chai";
import { type LinkEnd, transferTime } from "../index.js";

function linkEnd(more: Partial<LinkEnd> = {}): LinkEnd {
    return { address: "10.0.0.1:80", dataCentre: "hobart", megabitsPerSecond: 54_000, ...more };
}

describe("time of a transfer", () => {
    const bytes = 13_300 * 18_432;

    it("follows from the slower link", () => {
        const fast = linkEnd({ megabitsPerSecond: 280_000 });
        const slow = linkEnd({ megabitsPerSecond: 22_000 });
        expect(transferTime(bytes, linkEnd(), fast)).to.be.closeTo(36.3, 0.1);
        expect(transferTime(bytes, fast, slow)).to.be.closeTo(89.1, 0.1);
        expect(transferTime(bytes, slow, fast)).to.be.closeTo(89.1, 0.1);
    });

    it("doubles between data centres, but not if one of them is unknown", () => {
        const elsewhere = linkEnd({ dataCentre: "burnie" });
        const unknown = linkEnd({ dataCentre: undefined });
        expect(transferTime(bytes, linkEnd(), elsewhere)).to.equal(
            2 * transferTime(bytes, linkEnd(), linkEnd()),
        );
        expect(transferTime(bytes, unknown, elsewhere)).to.equal(transferTime(bytes, linkEnd(), linkEnd()));
    });

    it("is that of a slow link if the configuration does not state the capacity", () => {
        const unknown = linkEnd({ megabitsPerSecond: undefined });
        expect(transferTime(bytes, linkEnd(), unknown)).to.be.above(
            transferTime(bytes, linkEnd(), linkEnd()),
        );
    });
});
