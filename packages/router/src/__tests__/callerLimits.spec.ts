import { listenOn, silentLogger, systemClock } from "@redwingpin/common";
import { expect } from "chai";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { Registry } from "prom-client";
import type { Refusal } from "../decision/refusal.js";
import { CallerLimits } from "../node/callerLimits.js";

const bodyBytes = 60_000;
const pipelined = 4;
const post = `POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: ${bodyBytes}\r\n\r\n${"x".repeat(bodyBytes)}`;

async function until(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise((resolve) => setImmediate(resolve));
    }
}

describe("limits of callers", () => {
    let server: Server;
    /** What the server read of each request: its body, or the refusal. */
    let reads: (Buffer | Refusal | undefined)[];

    /** A server with memory for a few bodies, which answers no request. */
    async function listen(): Promise<void> {
        reads = [];
        const limits = new CallerLimits({
            clock: systemClock,
            logger: silentLogger,
            registry: new Registry(),
            maxConnections: 10,
            maxBufferedBytes: 2_000_000,
        });
        server = createServer((request, response) => {
            if (limits.begin(request, response)) {
                void limits.readBody(request, response)
                    .then((read) => reads.push(read?.match((body) => body, (refusal) => refusal)));
            }
        });
        limits.attach(server);
        await listenOn(server, "127.0.0.1", 0);
    }

    afterEach(() => {
        server.closeAllConnections();
        server.close();
    });

    async function send(requests: number): Promise<Socket> {
        const expected = reads.length + requests;
        const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
        socket.on("error", () => {});
        socket.write(post.repeat(requests));
        await until(() => reads.length === expected);
        return socket;
    }

    // Guards against a router that refuses all callers for ever, since the requests of callers who have left still count.
    it("release the bodies of pipelined requests whose caller has left", async () => {
        await listen();
        for (let round = 0; round < 10; round++) {
            const closed = new Promise((resolve) =>
                server.once("connection", (socket: Socket) => socket.once("close", resolve))
            );
            (await send(pipelined)).destroy();
            await closed;
        }
        await send(1);
        expect(reads.map((read) => Buffer.isBuffer(read) ? read.length : read))
            .to.deep.equal(Array(10 * pipelined + 1).fill(bodyBytes));
    });
});
