import { expect } from "chai";
import {
    EndpointSignal,
    EndpointSignals,
    maxRefusalTime,
    maxRequestLimit,
    minRequestLimit,
    type StatedSignals,
} from "../endpointSignals.js";

function statedFixture(more: Partial<StatedSignals> = {}): StatedSignals {
    return { leaving: false, unusable: [], ...more };
}

const accepted = (sentAt: number) => ({ sentAt, isRefusal: false });
const refused = (sentAt: number) => ({ sentAt, isRefusal: true });

describe("signals of an endpoint", () => {
    it("keep the statement that it leaves", () => {
        const signals = new EndpointSignals();
        expect(signals.observe(statedFixture({ leaving: true }), accepted(0), 10))
            .to.deep.equal([{ signal: EndpointSignal.Leaving }]);
        expect(signals.observe(statedFixture(), accepted(20), 30)).to.deep.equal([]);
        expect(signals.isLeaving).to.equal(true);
    });

    it("refuse requests for the stated time after a refusal, for a bounded time at most", () => {
        const signals = new EndpointSignals();
        signals.observe(statedFixture({ retryAfter: 500 }), accepted(0), 1_000);
        expect(signals.nextRequestAt(1_000)).to.equal(undefined);
        signals.observe(statedFixture({ retryAfter: 500 }), refused(0), 1_000);
        expect(signals.nextRequestAt(1_499)).to.equal(1_500);
        expect(signals.nextRequestAt(1_500)).to.equal(undefined);
        const year = 365 * 86_400_000;
        signals.observe(statedFixture({ retryAfter: year }), refused(0), 2_000);
        expect(signals.nextRequestAt(2_000 + maxRefusalTime)).to.equal(undefined);
        signals.observe(statedFixture({ retryAfter: 10 }), refused(0), 2_000);
        expect(signals.nextRequestAt(2_000 + maxRefusalTime - 1)).to.equal(2_000 + maxRefusalTime);
    });

    // Regression test: requests came 30, 60 and 90 s after an endpoint had asked for none within 120 s.
    it("refuse requests for the whole stated time if it is at most ten minutes", () => {
        for (const retryAfter of [31_000, 120_000, 600_000]) {
            const signals = new EndpointSignals();
            signals.observe(statedFixture({ retryAfter }), refused(0), 1_000);
            expect(signals.nextRequestAt(1_000 + retryAfter - 1)).to.equal(1_000 + retryAfter);
            expect(signals.nextRequestAt(1_000 + retryAfter)).to.equal(undefined);
        }
    });

    it("keep the last limit until an answer to a later request states none", () => {
        const signals = new EndpointSignals();
        expect(signals.observe(statedFixture({ limit: 2.6 }), accepted(0), 10))
            .to.deep.equal([{ signal: EndpointSignal.Limit, value: 2.6 }]);
        expect(signals.observe(statedFixture({ limit: 2.6 }), accepted(5), 15)).to.deep.equal([]);
        expect(signals.observe(statedFixture(), accepted(14), 20)).to.deep.equal([]);
        expect(signals.limit).to.deep.equal({ perSecond: 2.6, statedAt: 15 });
        expect(signals.observe(statedFixture(), accepted(16), 30))
            .to.deep.equal([{ signal: EndpointSignal.NoLimit }]);
        expect(signals.limit).to.equal(undefined);
    });

    it("bound limits, and keep a limit if the next value is unusable", () => {
        const signals = new EndpointSignals();
        signals.observe(statedFixture({ limit: 0 }), accepted(0), 10);
        expect(signals.limit?.perSecond).to.equal(minRequestLimit);
        signals.observe(statedFixture({ limit: 1e14 }), accepted(20), 30);
        expect(signals.limit?.perSecond).to.equal(maxRequestLimit);
        const unusable = statedFixture({ unusable: ["limit: -1"] });
        expect(signals.observe(unusable, accepted(40), 50))
            .to.deep.equal([{ signal: EndpointSignal.Unusable, value: "limit: -1" }]);
        expect(signals.limit?.perSecond).to.equal(maxRequestLimit);
    });

    it("report each unusable field once, and a bounded number of them", () => {
        const signals = new EndpointSignals();
        const observe = (field: string) =>
            signals.observe(statedFixture({ unusable: [field] }), accepted(0), 0);
        expect(observe("limit: x")).to.have.length(1);
        expect(observe("limit: x")).to.have.length(0);
        const reported = Array.from({ length: 1_000 }, (_, index) => observe(`limit: ${index}x`).length);
        expect(reported.reduce((sum, count) => sum + count, 0)).to.be.below(20);
    });
});
