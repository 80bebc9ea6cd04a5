import { seededRandom } from "@redwingpin/common";
import { expect } from "chai";
import { EndpointEstimate, ServiceNorm } from "../endpointEstimate.js";
import { StepTime } from "../stepTime.js";

/** A service whose times scatter by half, and an endpoint whose times are multiplied by a factor. */
function estimateFixture() {
    const norm = new ServiceNorm();
    const random = seededRandom(7);
    const scattered = () => 40 * Math.exp(random.unit() - 0.5);
    for (let index = 0; index < 500; index++) {
        norm.observe(scattered(), 40);
    }
    const estimate = new EndpointEstimate();
    let now = 0;
    const answer = (factor: number, count: number) => {
        for (let index = 0; index < count; index++) {
            now += 200;
            estimate.observe("answer", norm.observe(scattered() * factor, 40), now);
        }
        return estimate.slowness;
    };
    return { answer, estimate, norm, now: () => now };
}

describe("endpoint estimate", () => {
    it("stays close to that of the service at endpoints that are alike", () => {
        const { answer } = estimateFixture();
        const values = Array.from({ length: 200 }, () => answer(1, 1));
        expect(Math.max(...values)).to.be.lessThan(1.25);
        expect(values.filter((value) => value === 1).length).to.be.greaterThan(150);
    });

    // Guards against endpoints that are avoided for one slow answer, and against slow ones that keep their share.
    it("ignores one slow answer, and detects a slow phase and its end within some answers", () => {
        const { answer } = estimateFixture();
        answer(1, 9);
        expect(answer(6, 1)).to.be.lessThan(1.1);
        expect(answer(6, 7)).to.be.greaterThan(2);
        expect(answer(1, 7)).to.be.lessThan(1.2);
    });

    // Guards against endpoints that get no requests any more which would show their recovery.
    it("returns to that of the service while there are no answers", () => {
        const { answer, estimate, now } = estimateFixture();
        const slow = answer(6, 9);
        estimate.update(now() + 6_000);
        expect(estimate.slowness).to.be.lessThan(slow * 0.9);
        estimate.update(now() + 12_000);
        expect(estimate.slowness).to.equal(1);
    });

    it("follows the reports of other routers until they stop", () => {
        const { answer, estimate, now } = estimateFixture();
        const other = estimateFixture();
        other.answer(6, 9);
        estimate.observePeer("other", other.estimate.report(other.now()), now());
        expect(answer(1, 1)).to.be.greaterThan(2);
        estimate.update(now() + 3_000);
        expect(estimate.slowness).to.equal(1);
        expect(estimate.report(now())).to.equal(undefined);
    });

    // Guards against a third of the endpoints being taken for the usual ones.
    it("compares with the majority of the service", () => {
        const { estimate, norm } = estimateFixture();
        for (let index = 0; index < 3_000; index++) {
            const time = norm.observe(index % 3 === 0 ? 240 : 40, 40);
            if (index % 3 === 0) {
                estimate.observe("answer", time, index);
            }
        }
        expect(estimate.slowness).to.be.greaterThan(2.5);
    });
});

describe("step time", () => {
    // Guards against engines that are taken for slow ones since they run more requests.
    it("is learned as a function of the running requests", () => {
        const stepTime = new StepTime();
        expect(stepTime.predict(10)).to.equal(undefined);
        for (let running = 1; running <= 60; running++) {
            stepTime.observe(running, 3 + 0.12 * running);
        }
        expect(stepTime.predict(10)).to.be.closeTo(4.2, 0.01);
    });
});
