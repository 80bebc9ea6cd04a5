import { FakeClock, listenOn, systemClock } from "@redwingpin/common";
import { expect } from "chai";
import { createServer, type Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { JsonHttpClient } from "../jsonHttpClient.js";

const requestTimeoutMilliseconds = 150;

/** A server that can fall silent on the connections that are open at that moment. */
async function serverFixture() {
    const connections = new Set<Socket>();
    const silent = new WeakSet<Socket>();
    const pending: (() => void)[] = [];
    const server: Server = createServer((request, response) => {
        if (silent.has(request.socket)) {
            return;
        }
        if (request.url === "/held") {
            pending.push(() => response.end("{}"));
            return;
        }
        response.end("{}");
    });
    server.on("connection", (socket) => connections.add(socket));
    await listenOn(server, "127.0.0.1", 0);
    return {
        address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
        connections,
        heldCalls: () => pending.length,
        answerHeldCalls: () => pending.splice(0).forEach((answer) => answer()),
        silenceConnections: () => connections.forEach((socket) => silent.add(socket)),
        stop: () => {
            server.closeAllConnections();
            server.close();
        },
    };
}

async function until(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise((resolve) => setTimeout(resolve, 5));
    }
}

describe("JSON client", () => {
    let server: Awaited<ReturnType<typeof serverFixture>>;
    let client: JsonHttpClient;

    beforeEach(async () => {
        server = await serverFixture();
        client = new JsonHttpClient({
            address: server.address,
            clock: systemClock,
            requestTimeoutMilliseconds,
        });
    });

    afterEach(async () => {
        await client.close();
        server.stop();
    });

    /** Makes concurrent calls, so that the client keeps as many connections. */
    async function openConnections(count: number): Promise<void> {
        const calls = Array.from({ length: count }, () => client.callText({ method: "GET", path: "/held" }));
        await until(() => server.heldCalls() === count);
        server.answerHeldCalls();
        for (const answer of await Promise.all(calls)) {
            expect(answer.isOk()).to.equal(true);
        }
        expect(server.connections.size).to.equal(count);
        // A connection is idle a few turns of the event loop after its answer.
        await new Promise((resolve) => setTimeout(resolve, 20));
    }

    // Regression test: all kept connections were silent. Each call without an answer was followed by one on the next kept
    // connection, so a router got no configuration for several times the timeout.
    it("uses a new connection after a call without an answer", async () => {
        await openConnections(3);
        server.silenceConnections();
        const lost = await client.callText({ method: "GET", path: "/" });
        expect(lost.isErr()).to.equal(true);
        const next = await client.callText({ method: "GET", path: "/" });
        expect(next.isOk()).to.equal(true);
    });

    // Regression test: such a call was said to have failed on a kept connection, though there was none.
    it("names a new connection if a call has no answer before its connection is established", async () => {
        const clock = new FakeClock();
        const hurried = new JsonHttpClient({ address: server.address, clock, requestTimeoutMilliseconds });
        const answer = hurried.callText({ method: "GET", path: "/held" });
        clock.advance(requestTimeoutMilliseconds);
        expect((await answer)._unsafeUnwrapErr().message).to.equal(
            "/held failed: no answer within 150 ms on a new connection",
        );
        await hurried.close();
    });

    it("lets other calls end that were made before a call without an answer", async () => {
        await openConnections(2);
        const lost = client.callText({ method: "GET", path: "/held" });
        await until(() => server.heldCalls() === 1);
        await new Promise((resolve) => setTimeout(resolve, requestTimeoutMilliseconds / 2));
        const later = client.callText({ method: "GET", path: "/held" });
        expect((await lost).isErr()).to.equal(true);
        server.answerHeldCalls();
        expect((await later).isOk()).to.equal(true);
    });
});
