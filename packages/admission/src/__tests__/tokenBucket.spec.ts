import { expect } from "chai";
import { TokenBucket } from "../decision/tokenBucket.js";

const limits = { tokensPerSecond: 100, burstTokens: 1_000 };

function fullBucket(): TokenBucket {
    const bucket = new TokenBucket(0, limits);
    bucket.advance(10_000, limits);
    return bucket;
}

describe("admission: token bucket", () => {
    it("starts empty and fills up to its burst", () => {
        const bucket = new TokenBucket(50, limits);
        bucket.advance(50, limits);
        expect(bucket.tokens).to.equal(0);
        bucket.advance(1_050, limits);
        expect(bucket.tokens).to.equal(100);
        bucket.advance(100_000, limits);
        expect(bucket.tokens).to.equal(1_000);
    });

    it("refunds what was not spent, once and at most what was taken", () => {
        const bucket = fullBucket();
        expect(bucket.take("a", 600, 10_000, 10_000)).to.equal(600);
        expect(bucket.refund("a", 900)).to.equal(600);
        expect(bucket.refund("a", 600)).to.equal(0);
        expect(bucket.tokens).to.equal(1_000);
    });

    it("does not refund the part that the refill has displaced", () => {
        const bucket = fullBucket();
        bucket.take("a", 1_000, 10_000, 10_000);
        bucket.advance(14_000, limits);
        expect(bucket.tokens).to.equal(400);
        expect(bucket.refund("a", 1_000)).to.equal(600);
        expect(bucket.tokens).to.equal(1_000);
    });

    it("does not refill tokens that may still be spent elsewhere", () => {
        const bucket = fullBucket();
        bucket.take("a", 1_000, 10_300, 10_000);
        bucket.advance(10_299, limits);
        expect(bucket.tokens).to.equal(0);
        bucket.advance(10_400, limits);
        expect(bucket.tokens).to.be.at.most(40);
    });

    it("refills at the lower rate for the time before a change and truncates to a lower burst", () => {
        const bucket = fullBucket();
        bucket.advance(10_000, { tokensPerSecond: 10, burstTokens: 100 });
        expect(bucket.tokens).to.equal(100);
        bucket.take("a", 100, 10_000, 10_000);
        bucket.advance(11_000, limits);
        expect(bucket.tokens).to.equal(10);
    });
});
