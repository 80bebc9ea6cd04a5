import { expect } from "chai";
import { IncomingMessage } from "node:http";
import { Socket } from "node:net";
import { joinSmallChunks } from "../connections/smallChunks.js";

function messageWith(
    headers: Record<string, string>,
): { message: IncomingMessage; parts: string[]; chunks: () => number; } {
    const message = new IncomingMessage(new Socket());
    Object.assign(message.headers, headers);
    const parts: string[] = [];
    let chunks = 0;
    joinSmallChunks(message, () => chunks += 1);
    return { message, parts, chunks: () => chunks };
}

const chunked = { "transfer-encoding": "chunked" };
const endOfTurn = () => new Promise((resolve) => setImmediate(resolve));

describe("small chunks of a body", () => {
    // Guards against a process that is ended by chunks of a byte, each an object of some hundred bytes.
    it("are joined while the body is not read, but for the first one", async () => {
        const { chunks, message, parts } = messageWith(chunked);
        "abcdefgh".split("").forEach((letter) => message.push(Buffer.from(letter)));
        await endOfTurn();
        message.on("data", (part: Buffer) => parts.push(part.toString()));
        await endOfTurn();
        expect(parts).to.deep.equal(["a", "bcdefgh"]);
        expect(chunks()).to.equal(8);
    });

    // Guards against bodies whose bytes change places, or that end before all of them have been passed on.
    it("stay in order among large ones, and come before the end", async () => {
        const { message, parts } = messageWith(chunked);
        const large = "L".repeat(5_000);
        ["a", "b", large, "c", "d"].forEach((chunk) => message.push(Buffer.from(chunk)));
        message.push(null); // eslint-disable-line no-restricted-syntax -- node:stream states null
        message.on("data", (part: Buffer) => parts.push(part.toString()));
        await endOfTurn();
        await endOfTurn();
        expect(parts.join("")).to.equal(`ab${large}cd`);
        expect(message.readableEnded).to.equal(true);
    });

    // Guards against connections that are read without bound, since the stream only learns later how much it holds.
    it("count as unread before they are joined", () => {
        const { message } = messageWith(chunked);
        const chunk = Buffer.alloc(1_000);
        let pushed = 1;
        while (message.push(chunk)) {
            pushed += 1;
        }
        expect(pushed * chunk.length).to.be.within(
            message.readableHighWaterMark,
            message.readableHighWaterMark + chunk.length,
        );
    });

    it("are no matter of bodies with a length", async () => {
        const { message, parts } = messageWith({ "content-length": "2" });
        message.push(Buffer.from("a"));
        message.push(Buffer.from("b"));
        message.on("data", (part: Buffer) => parts.push(part.toString()));
        await endOfTurn();
        expect(parts).to.deep.equal(["a", "b"]);
    });
});
