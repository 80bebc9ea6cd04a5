import { expect } from "chai";
import type { AddressInfo } from "node:net";
import { Registry } from "prom-client";
import { systemClock } from "../clock.js";
import { startHealthServer } from "../httpService.js";
import { silentLogger } from "../logger.js";
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

    // Guards against scrapes that fail without a cause in the log.
    it("is answered with an error, which is logged, if it cannot be encoded", async () => {
        const registry = new Registry();
        registry.metrics = () => Promise.reject(new Error("no such value"));
        const errors: unknown[] = [];
        const logger = { ...silentLogger, error: (...line: unknown[]) => void errors.push(line) };
        const server = await startHealthServer("127.0.0.1", 0, { registry, ready: () => true, logger });
        const { port } = server.address() as AddressInfo;
        const response = await fetch(`http://127.0.0.1:${port}/metrics`);
        server.closeAllConnections();
        server.close();
        expect(response.status).to.equal(500);
        expect(errors).to.deep.equal([["metrics cannot be encoded", { error: "Error: no such value" }]]);
    });
});
