import { expect } from "chai";
import { defaultEndpointModel, type EndpointModelSettings } from "../index.js";
import { type Load, LoadSimulation } from "./loadSimulation.js";

const load: Load = {
    engines: 31,
    routers: 8,
    duration: 30_000,
    requestsPerSecond: 150,
    memory: 110_000,
    promptTokensPerMillisecond: 60,
    request: () => ({ prompt: 1_000, output: 200 }),
    slowness: (engine, now) => engine < 8 && now >= 5_000 && now < 24_000 ? Infinity : 1,
};

const seed = 1;

describe("choice of endpoints under load", () => {
    // Guards against requests that end on their deadline at engines that send nothing.
    it("serves the requests although eight of 31 engines are unresponsive for 19 s", () => {
        const run = (model: EndpointModelSettings) => new LoadSimulation(load, model, seed).run().timedOut;
        const without = run({ ...defaultEndpointModel, unresponsiveness: false });
        expect(run(defaultEndpointModel)).to.be.lessThan(without / 4);
    });

    // Guards against choices that get worse where there is nothing to detect.
    it("serves all requests in time if the engines are alike and responsive", () => {
        const idle = { ...load, duration: 10_000, slowness: () => 1 };
        const result = new LoadSimulation(idle, defaultEndpointModel, seed).run();
        expect(result).to.include({ late: 0, preempted: 0, timedOut: 0 });
    });
});
