import { expect } from "chai";
import type { Socket } from "node:net";
import { defaultEndpointModel } from "../index.js";
import { startRawEndpoint } from "./rawEndpointFixture.js";
import { resumableRoute, routerFixture } from "./routerFixture.js";

const events = 12;
const eventInterval = 30;
const checkInterval = 50;
const answersToLearnFrom = 20;

/** Sends a stream of events; `isSilent` ends the sending, and the connection stays open. */
function answerStream(socket: Socket, request: string, isSilent: () => boolean): void {
    const attempt = /x-attempt: (\w+)/i.exec(request)?.[1] ?? "";
    let event = Number(/last-event-id: (\d+)/i.exec(request)?.[1] ?? 0);
    socket.write(
        `HTTP/1.1 200 OK\r\nx-attempt: ${attempt}\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n`,
    );
    const timer = setInterval(() => {
        if (isSilent() || socket.destroyed || event >= events) {
            clearInterval(timer);
            if (event >= events) {
                socket.end();
            }
            return;
        }
        event += 1;
        socket.write(`id: ${event}\ndata: ${event}\n\n`);
    }, eventInterval);
}

/** A router before two endpoints, of which the one of the last stream becomes silent in the middle of it. */
async function silentEndpointFixture(model = defaultEndpointModel, isRepeatable = true) {
    const silent = new Set<number>();
    let lastIndex = 0;
    const closed: number[] = [];
    const endpoints = await Promise.all([0, 1].map((index) =>
        startRawEndpoint((socket, _number, request) => {
            lastIndex = index;
            socket.once("close", () => closed.push(index));
            answerStream(socket, request, () => silent.has(index));
        })
    ));
    const route = { ...resumableRoute, repeatable: isRepeatable, timeout: 3_000 };
    const router = await routerFixture(endpoints, route, model);
    let timer: NodeJS.Timeout | undefined;
    const found = new Promise<void>((resolve) => {
        timer = setInterval(() => {
            if (router.checkResponses().length > 0) {
                resolve();
            }
        }, checkInterval);
    });
    await Promise.all(
        Array.from({ length: answersToLearnFrom }, (_, index) => router.call(`first${index}`)),
    );
    const stream = router.call("stream");
    await new Promise((resolve) => setTimeout(resolve, 5 * eventInterval));
    const silentIndex = lastIndex;
    silent.add(silentIndex);
    return {
        router,
        stream,
        silentIndex,
        found,
        closed,
        lastIndex: () => lastIndex,
        stop: () => {
            clearInterval(timer);
            router.stop();
            endpoints.forEach((endpoint) => endpoint.stop());
        },
    };
}

describe("an endpoint that sends nothing more in the middle of a stream", () => {
    let site: Awaited<ReturnType<typeof silentEndpointFixture>> | undefined;
    afterEach(() => site?.stop());

    // Guards against streams that wait for an unresponsive endpoint until their deadline.
    it("loses the stream to another one, with every event once, and its connection is closed first", async () => {
        site = await silentEndpointFixture();
        const { isComplete, text } = await site.stream;
        expect(isComplete).to.equal(true);
        const expected = Array.from({ length: events }, (_, index) => `id: ${index + 1}`);
        expect(text.match(/id: \d+/g)).to.deep.equal(expected);
        expect(site.closed).to.include(site.silentIndex);
        await site.router.call("next");
        expect(site.lastIndex()).not.to.equal(site.silentIndex);
    });

    // Shows that the part makes the difference.
    it("keeps the stream until its deadline if the part is switched off", async () => {
        site = await silentEndpointFixture({ ...defaultEndpointModel, unresponsiveness: false });
        expect((await site.stream).isComplete).to.equal(false);
    });

    // Guards against requests that run twice.
    it("keeps a stream that may not run again, and gets no new ones", async () => {
        site = await silentEndpointFixture(defaultEndpointModel, false);
        await site.found;
        await site.router.call("next");
        expect(site.lastIndex()).not.to.equal(site.silentIndex);
        expect((await site.stream).isComplete).to.equal(false);
    });
});
