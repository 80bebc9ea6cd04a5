import { expect } from "chai";
import { once } from "node:events";
import type { Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { Registry } from "prom-client";
import { controlConnectionLimits, createControlServer } from "../connections/controlServer.js";
import { listenOn } from "../httpService.js";
import { silentLogger } from "../logger.js";

const get = "GET /x HTTP/1.1\r\nhost: a\r\n\r\n";

describe("a control port", () => {
    const registry = new Registry();
    let server: Server;
    let handled: number;
    let sockets: Socket[];

    beforeEach(async () => {
        handled = 0;
        sockets = [];
        server = createControlServer(
            { port: "test", logger: silentLogger, registry },
            (_request, response) => {
                handled += 1;
                response.end("ok");
            },
        );
        await listenOn(server, "127.0.0.1", 0);
    });

    afterEach(() => {
        sockets.forEach((socket) => socket.destroy());
        server.closeAllConnections();
        server.close();
    });

    /** Sends a text; the returned function resolves with what was received once the connection has closed. */
    function send(text: string): { socket: Socket; untilClosed: () => Promise<string>; } {
        const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
        let received = "";
        socket.on("data", (data) => received += data.toString());
        socket.on("error", () => {});
        const closed = new Promise((resolve) => socket.once("close", resolve));
        sockets.push(socket);
        socket.write(text);
        return { socket, untilClosed: () => closed.then(() => received) };
    }

    for (
        const fields of [
            "content-length: 3000000\r\n",
            "transfer-encoding: chunked\r\n",
            "content-length: 5\r\nexpect: 100-continue\r\n",
        ]
    ) {
        // Guards against bodies that are read to their end, and against a response that a reset connection loses.
        it(`refuses a body with its head, and the client receives it: ${fields.trim()}`, async () => {
            const { socket, untilClosed } = send(`GET /x HTTP/1.1\r\nhost: a\r\n${fields}\r\n`);
            socket.write(Buffer.alloc(500_000, "x"));
            expect(await untilClosed()).to.match(/^HTTP\/1\.1 413 /);
            expect(handled).to.equal(0);
        });
    }

    // Guards against one connection whose requests take the time of all others.
    it("closes a connection that sends many requests ahead", async () => {
        const { untilClosed } = send(get.repeat(500));
        await untilClosed();
        expect(handled).to.be.at.most(controlConnectionLimits.maxPipelined);
    });

    // Guards against connections with unread responses that keep new ones out.
    it("closes the oldest connection for a new one, and counts it by its reason", async () => {
        const first = send("");
        await once(first.socket, "connect");
        for (let count = 0; count < controlConnectionLimits.maxConnections; count++) {
            await once(send("").socket, "connect");
        }
        await first.untilClosed();
        expect(await registry.metrics()).to.include('port="test",reason="too_many_connections"} 1');
    });

    it("serves one request after another on a connection", async () => {
        const { socket } = send(get);
        for (let count = 1; count <= 20; count++) {
            await once(socket, "data");
            expect(handled).to.equal(count);
            socket.write(get);
        }
    });
});
