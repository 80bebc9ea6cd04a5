import { FakeClock, type Logger, seededRandom, silentLogger } from "@redwingpin/common";
import type { PermitReply } from "@redwingpin/fleet";
import { expect } from "chai";
import type { Choice } from "../index.js";
import { EndpointPermits } from "../node/endpointPermits.js";
import { endpointStateFixture } from "./gatewayFixture.js";

/** A router that owns no endpoint, and an endpoint with a limit whose owner gives the reply. */
function permitsFixture(reply: PermitReply | undefined) {
    const clock = new FakeClock(10_000);
    const warnings: string[] = [];
    const logger: Logger = { ...silentLogger, warn: (message) => void warnings.push(message) };
    const permits = new EndpointPermits({
        clock,
        logger,
        random: seededRandom(1),
        ownName: "router-1",
        liveRouterNames: () => ["router-2"],
        unresponsiveRouterCount: () => 0,
        askRouter: () => Promise.resolve(reply),
    });
    const endpointState = endpointStateFixture("limited");
    const stated = { leaving: false, limit: 2, unusable: [] };
    endpointState.signals.observe(stated, { sentAt: 0, isRefusal: false }, 1);
    const choice: Choice = {
        endpointState,
        version: undefined,
        tokensToProcess: 100,
        likelyCachedTokens: 0,
        fetchTime: 0,
        latency: 0,
        cost: 0,
        serviceLatency: 0,
        startsIn: 0,
        fits: true,
        memoryTokens: 0,
        worth: 1,
    };
    return { acquire: () => permits.acquire(choice), signals: endpointState.signals, warnings };
}

describe("permits of a router", () => {
    // Regression test: an owner without an answer kept requests from an endpoint, and no log line said so.
    it("withhold the endpoint for a short time and log it if its owner does not answer", async () => {
        const { acquire, signals, warnings } = permitsFixture(undefined);
        expect(await acquire()).to.equal(false);
        expect(signals.nextRequestAt(10_000)).to.equal(10_300);
        expect(warnings).to.deep.equal(["owner of an endpoint did not answer a request for a permit"]);
    });

    it("withhold the endpoint for the time that its owner states", async () => {
        const { acquire, signals, warnings } = permitsFixture({ kind: "denied", retryAfter: 700 });
        expect(await acquire()).to.equal(false);
        expect(signals.nextRequestAt(10_000)).to.equal(10_700);
        expect(warnings).to.deep.equal([]);
    });

    it("end the limit if its owner knows that it is no longer stated", async () => {
        const { acquire, signals } = permitsFixture({ kind: "unlimited", age: 50 });
        expect(await acquire()).to.equal(true);
        expect(signals.limit).to.equal(undefined);
    });
});
