import { FakeClock, sleep, systemClock } from "@redwingpin/common";
import type { DirectRoute } from "@redwingpin/fleet";
import { holdNothing, type HoldSettings } from "@redwingpin/scheduling";
import { expect } from "chai";
import { request as httpRequest } from "node:http";
import type { Socket } from "node:net";
import { accountWeights, weightOf } from "../decision/accountWeights.js";
import { defaultEndpointModel } from "../index.js";
import { HeldRequests } from "../node/heldRequests.js";
import { accountFixture } from "./gatewayFixture.js";
import { type RawEndpoint, startRawEndpoint } from "./rawEndpointFixture.js";
import { answer, routerFixture } from "./routerFixture.js";

const holding: HoldSettings = {
    enabled: true,
    fairShares: false,
    endpointQueue: 0,
    bounds: { requests: 10, bytes: 1_000 },
};

async function until(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await sleep(systemClock, 1);
    }
}

describe("a request for which no endpoint has a slot", () => {
    let endpoint: RawEndpoint | undefined;
    let router: Awaited<ReturnType<typeof routerFixture>> | undefined;
    afterEach(() => {
        router?.stop();
        endpoint?.stop();
    });

    /** A router before an endpoint with one slot; `answerFirst` answers the requests that have arrived. */
    async function start(hold: HoldSettings, more: Partial<DirectRoute> = {}) {
        const received: { socket: Socket; attempt: string; }[] = [];
        endpoint = await startRawEndpoint((socket, _number, text) =>
            received.push({ socket, attempt: /x-attempt: (\w+)/i.exec(text)?.[1] ?? "" })
        );
        const registered = { ...endpoint, endpoint: { ...endpoint.endpoint, slots: 1 } };
        const route = { targetLatency: 16_000, ...more };
        router = await routerFixture([registered], route, { ...defaultEndpointModel, memory: true }, hold);
        const answerAll = () =>
            received.splice(0).map(({ attempt, socket }) => {
                socket.write(answer(attempt, attempt));
                return attempt;
            });
        return { answerAll, received, router };
    }

    // Guards against requests that queue at an endpoint, where they can neither be moved nor withdrawn.
    it("is sent once a slot is free", async () => {
        const site = await start(holding);
        const first = site.router.call("first");
        await until(() => site.received.length === 1);
        const second = site.router.call("second");
        await until(() => site.router.held.length === 1);
        expect(site.answerAll()).to.deep.equal(["first"]);
        expect(await first).to.include({ status: 200, text: "first" });
        await until(() => site.received.length === 1);
        expect(site.answerAll()).to.deep.equal(["second"]);
        expect(await second).to.include({ status: 200, text: "second" });
    });

    it("is sent at once if requests are not to be held", async () => {
        const site = await start(holdNothing);
        const answers = [site.router.call("first"), site.router.call("second")];
        await until(() => site.received.length === 2);
        expect(site.router.held.length).to.equal(0);
        site.answerAll();
        expect((await Promise.all(answers)).map(({ status }) => status)).to.deep.equal([200, 200]);
    });

    // Guards against waits of which callers have no use: the endpoint may have more room than the router believes.
    it("is sent after an eighth of the target latency", async () => {
        const site = await start(holding, { targetLatency: 80 });
        const answers = [site.router.call("first"), site.router.call("second")];
        await until(() => site.received.length === 2);
        site.answerAll();
        expect((await Promise.all(answers)).map(({ status }) => status)).to.deep.equal([200, 200]);
    });

    // Guards against work for callers that have left.
    it("never reaches an endpoint if its caller has left", async () => {
        const site = await start(holding);
        const first = site.router.call("first");
        await until(() => site.received.length === 1);
        const left = httpRequest({
            host: "127.0.0.1",
            port: site.router.port,
            agent: false,
            headers: { "x-attempt": "left" },
        });
        left.on("error", () => {});
        left.end();
        await until(() => site.router.held.length === 1);
        left.destroy();
        await until(() => site.router.held.length === 0);
        expect(site.answerAll()).to.deep.equal(["first"]);
        expect(await first).to.include({ status: 200 });
        const last = site.router.call("last");
        await until(() => site.received.length === 1);
        expect(site.answerAll()).to.deep.equal(["last"]);
        expect(await last).to.include({ status: 200 });
    });

    // Guards against a router that stops with requests of which the callers learn nothing.
    it("is refused as not run when the router stops", async () => {
        const site = await start(holding);
        void site.router.call("first");
        await until(() => site.received.length === 1);
        const second = site.router.call("second");
        await until(() => site.router.held.length === 1);
        site.router.held.stop();
        const { status, text } = await second;
        expect(status).to.equal(503);
        expect(text).to.include("was not run");
        expect(site.received.map(({ attempt }) => attempt)).to.deep.equal(["first"]);
    });
});

describe("held requests", () => {
    // Guards against requests that miss room which only reports of other routers show.
    it("look for room again and again until they leave", async () => {
        const clock = new FakeClock(0);
        const held = new HeldRequests({ clock, settings: () => holding });
        let hasRoom = false;
        const end = held.hold("registry", {
            account: "makers",
            weight: 1,
            urgency: 0,
            bytes: 7,
            deadline: 1_000,
            waitUntil: 500,
            minDuration: 0,
            hasCallerLeft: () => false,
            tryStart: () => hasRoom,
        });
        clock.advance(30);
        expect([held.length, held.bytes, held.isWaiting("registry")]).to.deep.equal([1, 7, true]);
        hasRoom = true;
        clock.advance(10);
        expect(await end).to.deep.equal({ kind: "start" });
        expect(held.length).to.equal(0);
    });
});

describe("the weights of accounts", () => {
    it("are in proportion to their rates within bounds, separately for those that count requests", () => {
        const weights = accountWeights([
            accountFixture({ name: "small", tokensPerSecond: 100 }),
            accountFixture({ name: "large", tokensPerSecond: 300 }),
            accountFixture({ name: "unlimited", tokensPerSecond: 0 }),
            accountFixture({ name: "requests", tokensPerSecond: 5, countsRequests: true }),
        ]);
        const accounts = ["small", "large", "unlimited", "requests", undefined];
        expect(accounts.map((name) => weightOf(weights, name))).to.deep.equal([0.5, 1.5, 1, 1, 1]);
        const uneven = accountWeights(
            Array.from(
                { length: 20 },
                (_, index) =>
                    accountFixture({ name: `${index}`, tokensPerSecond: index === 0 ? 1_000_000 : 1 }),
            ),
        );
        expect([weightOf(uneven, "0"), weightOf(uneven, "1")]).to.deep.equal([4, 0.25]);
    });
});
