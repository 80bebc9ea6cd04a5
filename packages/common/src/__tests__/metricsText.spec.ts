import { expect } from "chai";
import { Registry } from "prom-client";
import { systemClock } from "../clock.js";
import { MetricsText } from "../metricsText.js";

describe("text of the metrics", () => {
    // Guards against scrapes that keep a process from all other work.
    it("is shared by requests at the same time, and reused for a multiple of the time that it took", async () => {
        let now = 0;
        let encoded = 0;
        const registry = new Registry();
        registry.metrics = () => {
            encoded += 1;
            now += 10;
            return Promise.resolve(`text ${encoded}`);
        };
        const text = new MetricsText(registry, { ...systemClock, now: () => now });
        expect(await Promise.all([text.read(), text.read()])).to.deep.equal(["text 1", "text 1"]);
        now += 80;
        expect(await text.read()).to.equal("text 1");
        now += 20;
        expect(await text.read()).to.equal("text 2");
    });
});
