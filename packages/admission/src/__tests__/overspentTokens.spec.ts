import { expect } from "chai";
import fc from "fast-check";
import { type AdmittedRequest, type LimitsInForce, overspentTokens } from "../trial/overspentTokens.js";

const limits: LimitsInForce[] = [
    { from: 0, tokensPerSecond: 100, burstTokens: 500 },
    { from: 5_000, tokensPerSecond: 10, burstTokens: 50 },
    { from: 9_000, tokensPerSecond: 100, burstTokens: 500 },
];

/** Applies the definition to every interval. */
function byDefinition(admissions: readonly AdmittedRequest[]): number {
    let worst = 0;
    for (const [first, start] of admissions.entries()) {
        let spent = 0;
        for (const end of admissions.slice(first)) {
            spent += end.charge;
            worst = Math.max(worst, spent - boundOf(start.at, end.at));
        }
    }
    return worst;
}

function boundOf(from: number, to: number): number {
    let burst = 0;
    let refill = 0;
    for (const [index, piece] of limits.entries()) {
        const start = Math.max(from, piece.from);
        const end = Math.min(to, limits[index + 1]?.from ?? Infinity);
        const last = index === limits.length - 1 || to < limits[index + 1].from;
        if (end > start || (end === start && last)) {
            burst = Math.max(burst, piece.burstTokens);
            refill += (end - start) * piece.tokensPerSecond / 1000;
        }
    }
    return burst + refill;
}

describe("admission: overspent tokens", () => {
    it("agrees with the definition over every interval", () => {
        const admission = fc.record({ at: fc.nat({ max: 14_000 }), charge: fc.nat({ max: 300 }) });
        fc.assert(
            fc.property(fc.array(admission, { maxLength: 30 }), (drawn) => {
                const admissions = drawn
                    .map((fields) => ({ account: "a", ...fields }))
                    .sort((left, right) => left.at - right.at);
                expect(overspentTokens(admissions, limits)).to.be.closeTo(byDefinition(admissions), 0.001);
            }),
            { seed: 3, numRuns: 500 },
        );
    });
});
