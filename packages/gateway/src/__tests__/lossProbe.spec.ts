import { connectTimeoutMilliseconds, systemClock } from "@redwingpin/common";
import { expect } from "chai";
import type { Socket } from "node:net";
import { type RawEndpoint, startRawEndpoint } from "./rawEndpointFixture.js";
import { resumableRoute, routerFixture } from "./routerFixture.js";

const events = 30;
const eventInterval = 40;

/** Time of a busy machine in addition to the connect timeout. */
const slack = 250;

const head = (attempt: string) =>
    `HTTP/1.1 200 OK\r\nx-attempt: ${attempt}\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n`;

/** Sends the events after `first`, one at each interval, and ends the connection; `isSilent` ends the sending. */
function sendEvents(socket: Socket, first: number, isSilent: () => boolean): void {
    let event = first;
    const timer = setInterval(() => {
        if (isSilent() || socket.destroyed) {
            clearInterval(timer);
            return;
        }
        event += 1;
        socket.write(`id: ${event}\ndata: ${event}\n\n`);
        if (event >= events) {
            clearInterval(timer);
            socket.end();
        }
    }, eventInterval);
}

/** A router before two endpoints, and a stream that runs at one of them. */
async function runningStreamFixture() {
    const arrivals: { readonly index: number; readonly at: number; }[] = [];
    let closedEarly = 0;
    let silentIndex: number | undefined;
    const startEndpoint = (index: number): Promise<RawEndpoint> =>
        startRawEndpoint((socket, _number, request) => {
            arrivals.push({ index, at: systemClock.now() });
            socket.once("close", () => closedEarly += socket.writableFinished ? 0 : 1);
            socket.write(head(/x-attempt: (\w+)/i.exec(request)?.[1] ?? ""));
            const last = Number(/last-event-id: (\d+)/i.exec(request)?.[1] ?? 0);
            sendEvents(socket, last, () => silentIndex === index);
        });
    const endpoints = [await startEndpoint(0), await startEndpoint(1)];
    const router = await routerFixture(endpoints, resumableRoute);
    const received = router.call("stream");
    await new Promise((resolve) => setTimeout(resolve, 5 * eventInterval));
    return {
        arrivals,
        router,
        received,
        first: arrivals[0].index,
        closedEarly: () => closedEarly,
        closePort: (index: number) => endpoints[index].closePort(),
        silence: (index: number) => silentIndex = index,
        stop: () => {
            router.stop();
            endpoints.forEach((endpoint) => endpoint.stop());
        },
    };
}

function expectedText(): string {
    return Array.from({ length: events }, (_, index) => `id: ${index + 1}\ndata: ${index + 1}\n\n`).join("");
}

describe("a stream at an endpoint whose registration is removed", () => {
    let site: Awaited<ReturnType<typeof runningStreamFixture>>;

    beforeEach(async () => {
        site = await runningStreamFixture();
    });

    afterEach(() => site.stop());

    // Regression test: the stream was taken from an endpoint that served on, and ran at two endpoints at the same time.
    it("stays there while the endpoint serves on", async () => {
        site.router.unregister(site.first);
        expect(await site.received).to.deep.equal({ status: 200, text: expectedText(), isComplete: true });
        expect([site.arrivals.length, site.closedEarly()]).to.deep.equal([1, 0]);
    });

    // Guards against a loss declared too soon: an endpoint that stops may close its port before its last answers end.
    it("stays there while the endpoint sends events, although it accepts no more connections", async () => {
        site.closePort(site.first);
        site.router.unregister(site.first);
        expect(await site.received).to.deep.equal({ status: 200, text: expectedText(), isComplete: true });
        expect([site.arrivals.length, site.closedEarly()]).to.deep.equal([1, 0]);
    });

    // Guards against streams that end only at their time limit: connections to an endpoint without power stay open.
    it("continues elsewhere within the connect timeout if the endpoint is silent and accepts no connections", async () => {
        site.silence(site.first);
        site.closePort(site.first);
        const removedAt = systemClock.now();
        site.router.unregister(site.first);
        expect(await site.received).to.deep.equal({ status: 200, text: expectedText(), isComplete: true });
        expect(site.arrivals.map(({ index }) => index)).to.deep.equal([site.first, 1 - site.first]);
        expect(site.arrivals[1].at - removedAt).to.be.lessThan(connectTimeoutMilliseconds + slack);
    });
});
