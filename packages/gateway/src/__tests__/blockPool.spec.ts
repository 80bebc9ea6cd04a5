import { type BlockBody, blockBytes, BlockPool, digestOf, EndpointExchange } from "@redwingpin/common";
import { expect } from "chai";
import { createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { endpointStateFixture } from "./gatewayFixture.js";

function textOf(body: BlockBody): string {
    return Buffer.concat(body.parts()).toString();
}

function openBody(pool: BlockPool, contents: Buffer): BlockBody {
    const body = pool.open(contents.length)!;
    expect(body.append(contents)).to.equal(true);
    return body;
}

async function until(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise((resolve) => setTimeout(resolve, 5));
    }
}

describe("block pool", () => {
    it("keeps the bytes of a body that arrives in chunks of any size", () => {
        const pool = new BlockPool(10_000_000);
        const body = pool.open(0)!;
        let expected = "";
        for (const size of [0, 1, blockBytes - 1, 1, 3 * blockBytes, 70_000, 7]) {
            const chunk = String.fromCharCode(97 + size % 26).repeat(size);
            expected += chunk;
            expect(body.append(Buffer.from(chunk))).to.equal(true);
        }
        expect(body.length).to.equal(expected.length);
        expect(textOf(body)).to.equal(expected);
        expect(digestOf("a", body)).to.equal(digestOf("a", Buffer.from(expected)));
    });

    it("reuses blocks only when nobody holds their body any more", () => {
        const pool = new BlockPool(10_000_000);
        const body = openBody(pool, Buffer.alloc(100_000, "a"));
        body.hold();
        body.release();
        const other = openBody(pool, Buffer.alloc(100_000, "b"));
        expect(textOf(body)).to.equal("a".repeat(100_000));
        body.release();
        other.release();
        expect(pool.reservedBytes).to.equal(0);
    });

    // Guards against a router that is ended by its memory, and against small requests that starve beside large ones.
    it("never reserves more than its size, and keeps as much free for others as the largest body has", () => {
        const pool = new BlockPool(64 * blockBytes);
        const bodies = Array.from({ length: 100 }, () => pool.open(8 * blockBytes));
        expect(bodies.filter((body) => body !== undefined)).to.have.length(7);
        expect(pool.open(8 * blockBytes)).to.equal(undefined);
        const small = pool.open(1)!;
        expect(small).not.to.equal(undefined);
        expect(pool.reservedBytes).to.equal(57 * blockBytes);
        expect(small.append(Buffer.alloc(8 * blockBytes))).to.equal(false);
        bodies[0]!.release();
        expect(small.append(Buffer.alloc(4 * blockBytes))).to.equal(true);
    });

    // Guards against bodies and heads that each stay within their limits, and together exceed the memory of the machine.
    it("reserves and keeps only what is left beside other memory", () => {
        let otherBytes = 0;
        const pool = new BlockPool(64 * blockBytes, () => otherBytes);
        const body = openBody(pool, Buffer.alloc(32 * blockBytes));
        const used = new Set(body.parts().map(({ buffer }) => buffer));
        body.release();
        otherBytes = 40 * blockBytes;
        expect(pool.open(13 * blockBytes)).to.equal(undefined);
        expect(pool.open(12 * blockBytes)).not.to.equal(undefined);
        pool.trim();
        const taken = Array.from({ length: 32 }, () => pool.take());
        expect(taken.filter(({ buffer }) => used.has(buffer))).to.have.length(12);
    });

    it("accepts a body of its maximum size when it is empty, and none above", () => {
        const pool = new BlockPool(64 * blockBytes);
        expect(pool.open(pool.maxBodyBytes + 1)).to.equal(undefined);
        expect(pool.open(pool.maxBodyBytes)).not.to.equal(undefined);
    });

    // Guards against endpoints that read another request's bytes after they have answered early.
    it("does not reuse a body's blocks while its endpoint, which has answered, still reads", async () => {
        const contents = Buffer.alloc(8_000_000, "a");
        const pool = new BlockPool(32_000_000);
        let socket: Socket | undefined;
        let received = "";
        const server = createServer((accepted) => {
            socket = accepted;
            accepted.on("error", () => {});
            accepted.once("data", (data) => {
                received += data.toString();
                accepted.pause();
                accepted.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
            });
        });
        await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
        const { port } = server.address() as AddressInfo;
        const body = openBody(pool, contents);
        await new Promise<void>((resolve) => {
            new EndpointExchange({
                endpoint: endpointStateFixture("early", { host: "127.0.0.1", port }).endpoint,
                method: "POST",
                url: "/",
                headers: ["Host", "site", "content-length", String(contents.length)],
                body,
                agent: undefined,
            }, {
                onHead: () => {},
                onData: () => true,
                onExcess: () => {},
                onEnd: resolve,
                onBroken: () => resolve(),
            });
        });
        body.release();
        const other = openBody(pool, Buffer.alloc(8_000_000, "b"));
        socket!.on("data", (data) => received += data.toString()).resume();
        await until(() => pool.reservedBytes === other.length + blockBytes - other.length % blockBytes);
        await until(() => socket!.closed || received.endsWith("\r\n\r\n" + contents.toString()));
        const sent = received.slice(received.indexOf("\r\n\r\n") + 4);
        expect(sent === contents.toString().slice(0, sent.length)).to.equal(true);
        expect(sent.length).to.equal(contents.length);
        server.close();
        socket!.destroy();
    });

    // Guards against one endpoint that answers early and reads no more: its bodies filled the pool for all services.
    it("returns a body's blocks some time after its endpoint has answered without reading it", async () => {
        const contents = Buffer.alloc(24_000_000, "a");
        const pool = new BlockPool(64_000_000);
        const server = createServer((accepted) => {
            accepted.on("error", () => {});
            accepted.once("data", () => {
                accepted.pause();
                accepted.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
            });
        });
        await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
        const { port } = server.address() as AddressInfo;
        const body = openBody(pool, contents);
        await new Promise<void>((resolve) => {
            new EndpointExchange({
                endpoint: endpointStateFixture("early", { host: "127.0.0.1", port }).endpoint,
                method: "POST",
                url: "/",
                headers: ["Host", "site", "content-length", String(contents.length)],
                body,
                agent: undefined,
            }, {
                onHead: () => {},
                onData: () => true,
                onExcess: () => {},
                onEnd: resolve,
                onBroken: () => resolve(),
            });
        });
        body.release();
        expect(pool.reservedBytes).to.be.greaterThan(0);
        await until(() => pool.reservedBytes === 0);
        server.close();
    });
});
