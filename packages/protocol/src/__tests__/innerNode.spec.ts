import { RefusalReason, silentLogger, systemClock } from "@redwingpin/common";
import { expect } from "chai";
import fc from "fast-check";
import { encodeFrame, FrameReader } from "../frame.js";
import { type Message, MessageKind, ProcessRole, Topic } from "../messages.js";
import { parseFleetKeys } from "../node/fleetKey.js";
import { InnerNode } from "../node/innerNode.js";
import { ProtocolErrorKind } from "../protocolError.js";

const host = "127.0.0.1";

function node(instance: string, key = "a fleet key for tests", revisions: number[] = []): InnerNode {
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
    });
}

describe("InnerNode", () => {
    it("carries a call and its answer, and the revision of both ends", async () => {
        const revisions: number[] = [];
        const server = node("server", undefined, revisions);
        const client = node("client", undefined, revisions);
        server.handle(Topic.Rates, async (body, from) => ({ echo: body, from: from.instance }));
        const port = await server.listen(host, 0);
        const answer = await client.call({ host, port }, Topic.Rates, { tokens: 5 }, 5_000);
        expect(answer._unsafeUnwrap()).to.deep.equal({ echo: { tokens: 5 }, from: "client" });
        expect(revisions).to.include(7);
        client.stop();
        server.stop();
    });

    it("refuses a peer with another fleet key", async () => {
        const server = node("server");
        const stranger = node("stranger", "another key for tests");
        const port = await server.listen(host, 0);
        const answer = await stranger.connect({ host, port });
        expect(answer._unsafeUnwrapErr().kind).to.equal(ProtocolErrorKind.ConnectFailed);
        stranger.stop();
        server.stop();
    });

    it("answers a handler's failure and an unhandled topic with an error and lives on", async () => {
        const server = node("server");
        const client = node("client");
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
    it("gives back what was encoded, however the bytes are cut", () => {
        const sent: Message[] = [
            { kind: MessageKind.Chunk, exchange: 3, sequence: 0, data: new Uint8Array([1, 2, 3]) },
            { kind: MessageKind.Cancel, exchange: 4 },
        ];
        const bytes = Buffer.concat(sent.map(encodeFrame));
        fc.assert(
            fc.property(fc.array(fc.integer({ min: 1, max: bytes.length - 1 }), { maxLength: 6 }), (cuts) => {
                const reader = new FrameReader();
                const edges = [0, ...[...cuts].sort((left, right) => left - right), bytes.length];
                const received = edges.slice(1).flatMap((edge, index) =>
                    reader.read(bytes.subarray(edges[index], edge))._unsafeUnwrap()
                );
                expect(received).to.have.length(2);
            }),
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

    it("names the missing field of a message", () => {
        const bad = {
            kind: MessageKind.Failed,
            exchange: 1,
            reason: RefusalReason.Stopping,
        } as unknown as Message;
        const result = new FrameReader().read(encodeFrame(bad));
        expect(result._unsafeUnwrapErr().message).to.contain('"mayHaveRun"');
    });
});
