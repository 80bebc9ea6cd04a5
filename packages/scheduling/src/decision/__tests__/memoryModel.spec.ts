import { expect } from "chai";
import { EndpointMemory, type EngineReport, ServiceMemory } from "../memoryModel.js";

const total = 100_000;

function memoryFixture() {
    const memory = new EndpointMemory();
    const service = new ServiceMemory();
    service.observe(9_000, 2_000);
    const predict = (
        report: Partial<EngineReport> = {},
        more: { tokens?: number; othersRunning?: number; } = {},
    ) => memory.predict({
        tokens: 9_000,
        report: { at: 10_000, running: 0, queued: 0, cacheUsed: 0, cacheTotal: total, ...report },
        // The other routers report the requests that the engine reports.
        othersRunning: (report.running ?? 0) + (report.queued ?? 0),
        now: 10_200,
        slots: 64,
        service,
        ...more,
    });
    return { memory, predict, service };
}

describe("memory model", () => {
    // Guards against requests that preempt the streams of others in an engine whose slots are mostly free.
    it("finds that a request does not fit into what cannot be evicted, and when it will", () => {
        const { predict } = memoryFixture();
        expect(predict({ running: 9, cacheUsed: 91_000 }).fits).to.equal(true);
        const full = predict({ running: 11, cacheUsed: 99_000 });
        expect(full.fits).to.equal(false);
        expect(full.freeIn).to.be.closeTo(2_000 * 8_000 / 99_000, 1);
        expect(predict({ running: 11, cacheUsed: 99_000 }, { tokens: 900 }).fits).to.equal(true);
    });

    // Guards against all routers sending to an engine between two of its reports.
    it("adds what was sent since the report and what the engine had queued, and subtracts what has ended", () => {
        const { memory, predict } = memoryFixture();
        const full = { running: 10, cacheUsed: 88_000 };
        expect(predict(full).fits).to.equal(true);
        expect(predict({ ...full, queued: 1 }).fits).to.equal(false);
        expect(predict(full, { othersRunning: 11 }).fits).to.equal(false);
        const earlier = memory.open(9_000, 9_000);
        const others = { othersRunning: 9 };
        expect(predict(full, others).fits).to.equal(true);
        memory.open(9_000, 10_100);
        expect(predict(full, others).fits).to.equal(false);
        earlier(10_200);
        expect(predict(full, others).fits).to.equal(true);
    });

    it("learns from the reports that requests share parts of their prompts", () => {
        const { predict, service } = memoryFixture();
        const full = { running: 20, cacheUsed: 96_000 };
        expect(predict(full).fits).to.equal(false);
        for (let reports = 0; reports < 30; reports++) {
            service.observeReport({ running: 20, cacheUsed: 60_000 });
        }
        expect(predict(full).fits).to.equal(true);
    });

    it("limits the requests to the slots, and assumes that a request fits if the engine has not reported", () => {
        const { memory, predict } = memoryFixture();
        expect(predict({ running: 64 }, { tokens: 10 }).fits).to.equal(false);
        expect(predict({ running: 63 }, { tokens: 10 }).fits).to.equal(true);
        expect(predict({ cacheTotal: 0, running: 64 }).fits).to.equal(true);
        expect(
            memory.predict({
                tokens: 10,
                report: undefined,
                othersRunning: 90,
                now: 10_200,
                slots: 64,
                service: new ServiceMemory(),
            }).fits,
        ).to.equal(true);
    });
});
