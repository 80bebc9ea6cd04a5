import { ClosedConnectionReason, RefusalReason, silentLogger, systemClock } from "@redwingpin/common";
import { expect } from "chai";
import fc from "fast-check";
import { once } from "node:events";
import { connect } from "node:net";
import { handshakeTimeoutMilliseconds } from "../constants.js";
import { encodeFrame, FrameReader } from "../frame.js";
import { type Message, MessageKind, ProcessRole, Topic } from "../messages.js";
import { parseFleetKeys } from "../node/fleetKey.js";
import { InnerNode } from "../node/innerNode.js";
import { maxHandshakes } from "../node/secureChannel.js";
import { ProtocolErrorKind } from "../protocolError.js";

const host = "127.0.0.1";

function createNode(
    instance: string,
    key = "a fleet key for tests",
    revisions: number[] = [],
    closed: ClosedConnectionReason[] = [],
): InnerNode {
    return new InnerNode({
        role: ProcessRole.Router,
        instance,
        incarnation: "1",
        fleetKeys: parseFleetKeys(key)._unsafeUnwrap(),
        clock: systemClock,
        logger: silentLogger,
        revision: () => 7,
        onRevision: (_peer, revision) => revisions.push(revision),
        onMessage: () => {},
        onClosed: () => {},
        onHandshakeClosed: (reason) => closed.push(reason),
    });
}

describe("InnerNode", () => {
    it("delivers a call and its answer, and the revisions of both ends", async () => {
        const revisions: number[] = [];
        const server = createNode("server", undefined, revisions);
        const client = createNode("client", undefined, revisions);
        server.handle(Topic.Rates, async (body, from) => ({ echo: body, from: from.instance }));
        const port = await server.listen(host, 0);
        const answer = await client.call({ host, port }, Topic.Rates, { tokens: 5 }, 5_000);
        expect(answer._unsafeUnwrap()).to.deep.equal({ echo: { tokens: 5 }, from: "client" });
        expect(revisions).to.include(7);
        client.stop();
        server.stop();
    });

    it("rejects a peer with another fleet key", async () => {
        const server = createNode("server");
        const stranger = createNode("stranger", "another key for tests");
        const port = await server.listen(host, 0);
        const answer = await stranger.connect({ host, port });
        expect(answer._unsafeUnwrapErr().kind).to.equal(ProtocolErrorKind.ConnectFailed);
        stranger.stop();
        server.stop();
    });

    // Guards against descriptors that run out by connections to this port, which need no key.
    it("closes the oldest connections without a handshake for new ones, and serves a peer beside them", async () => {
        const reasons: ClosedConnectionReason[] = [];
        const server = createNode("server", undefined, undefined, reasons);
        server.handle(Topic.Rates, () => Promise.resolve("served"));
        const port = await server.listen(host, 0);
        let closed = 0;
        const silent = Array.from({ length: maxHandshakes + 100 }, () => {
            const socket = connect(port, host);
            socket.on("error", () => {});
            socket.on("close", () => closed += 1);
            return socket;
        });
        await Promise.all(silent.map((socket) => once(socket, "connect")));
        const client = createNode("client");
        const answer = await client.call({ host, port }, Topic.Rates, {}, 5_000);
        expect(answer._unsafeUnwrap()).to.equal("served");
        // All of them would be closed when the time for handshakes is over.
        await new Promise((resolve) => setTimeout(resolve, handshakeTimeoutMilliseconds / 4));
        expect(closed).to.be.within(100, 101);
        expect(reasons).to.deep.equal(Array(closed).fill(ClosedConnectionReason.TooManyConnections));
        const second = await client.call({ host, port }, Topic.Rates, {}, 5_000);
        expect(second._unsafeUnwrap()).to.equal("served");
        silent.forEach((socket) => socket.destroy());
        client.stop();
        server.stop();
    });

    it("answers with an error, and keeps the connection, if a handler fails or a topic has none", async () => {
        const server = createNode("server");
        const client = createNode("client");
        server.handle(Topic.Rates, () => Promise.reject(new Error("broken")));
        const port = await server.listen(host, 0);
        const failed = await client.call({ host, port }, Topic.Rates, {}, 5_000);
        const unhandled = await client.call({ host, port }, Topic.Claims, {}, 5_000);
        expect(failed._unsafeUnwrap()).to.have.property("error");
        expect(unhandled._unsafeUnwrap()).to.have.property("error");
        client.stop();
        server.stop();
    });
});

describe("FrameReader", () => {
    it("decodes every message, however the bytes are split", () => {
        const sent: Message[] = [
            { kind: MessageKind.Chunk, exchange: 3, sequence: 0, data: new Uint8Array([1, 2, 3]) },
            { kind: MessageKind.Cancel, exchange: 4 },
        ];
        const bytes = Buffer.concat(sent.map(encodeFrame));
        fc.assert(
            fc.property(
                fc.array(fc.integer({ min: 1, max: bytes.length - 1 }), { maxLength: 6 }),
                (splits) => {
                    const reader = new FrameReader();
                    const boundaries = [0, ...[...splits].sort((left, right) => left - right), bytes.length];
                    const received = boundaries.slice(1).flatMap((boundary, index) =>
                        reader.read(bytes.subarray(boundaries[index], boundary))._unsafeUnwrap()
                    );
                    expect(received).to.have.length(2);
                },
            ),
            { seed: 1 },
        );
    });

    it("never throws on arbitrary bytes", () => {
        fc.assert(
            fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
                const framed = Buffer.alloc(4 + bytes.length);
                framed.writeUInt32BE(bytes.length);
                framed.set(bytes, 4);
                new FrameReader().read(framed);
                new FrameReader().read(Buffer.from(bytes));
            }),
            { seed: 2, numRuns: 500 },
        );
    });

    it("reports the missing field of a message by name", () => {
        const malformed = {
            kind: MessageKind.Failed,
            exchange: 1,
            reason: RefusalReason.Stopping,
        } as unknown as Message;
        const result = new FrameReader().read(encodeFrame(malformed));
        expect(result._unsafeUnwrapErr().message).to.contain('"mayHaveRun"');
    });
});
