import { expect } from "chai";
import fc from "fast-check";
import { once } from "node:events";
import { createServer, type RequestListener, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { systemClock } from "../clock.js";
import { ConnectionReader } from "../connections/connectionReader.js";
import { listenOn } from "../httpService.js";

/** A request with a body of letters that tell its place; chunks of `chunkBytes` bytes, or a length if that is 0. */
interface SentRequest {
    readonly bytes: number;
    readonly chunkBytes: number;
}

const runs = { numRuns: 40, seed: 56 };
const sentRequest = fc.record({
    bytes: fc.integer({ min: 0, max: 6_000 }),
    chunkBytes: fc.oneof(
        fc.constant(0),
        fc.integer({ min: 1, max: 3 }),
        fc.integer({ min: 100, max: 9_000 }),
    ),
});

function bodyOf({ bytes }: SentRequest, index: number): string {
    return Array.from({ length: bytes }, (_, place) => String.fromCharCode(97 + (place * 7 + index) % 26))
        .join("");
}

function textOf(request: SentRequest, index: number): string {
    const body = bodyOf(request, index);
    const head = "POST /x HTTP/1.1\r\nhost: a\r\n";
    if (request.chunkBytes === 0) {
        return `${head}content-length: ${body.length}\r\n\r\n${body}`;
    }
    const chunks = body.match(new RegExp(`.{1,${request.chunkBytes}}`, "g")) ?? [];
    return `${head}transfer-encoding: chunked\r\n\r\n`
        + chunks.map((chunk) => `${chunk.length.toString(16)}\r\n${chunk}\r\n`).join("") + "0\r\n\r\n";
}

describe("reader of connections", () => {
    let server: Server;
    let closed: number;
    let received: string[];

    const answerWithLength: RequestListener = (request, response) => {
        let body = "";
        request.on("data", (part: Buffer) => body += part.toString());
        request.on("end", () => {
            received.push(body);
            response.end(body.length.toString());
        });
    };

    async function listen(maxHeldBytes?: number, answer = answerWithLength): Promise<void> {
        closed = 0;
        received = [];
        const reader = new ConnectionReader({ clock: systemClock, schedule: setImmediate, maxHeldBytes });
        server = createServer(answer);
        reader.attach(server, {
            closeExcessive: (socket: Socket) => {
                closed += 1;
                socket.destroy();
            },
        });
        await listenOn(server, "127.0.0.1", 0);
    }

    afterEach(() => {
        server.closeAllConnections();
        server.close();
    });

    /** Sends parts one after another; resolves with the received text once it has so many responses, or has closed. */
    function send(parts: readonly string[], responses: number): Promise<string> {
        return new Promise((resolve) => {
            const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
            let text = "";
            socket.on("data", (data) => {
                text += data.toString();
                if (text.split("HTTP/1.1 200 OK").length > responses && text.endsWith("\r\n") === false) {
                    socket.destroy();
                }
            });
            socket.on("error", () => {});
            socket.on("close", () => resolve(text));
            parts.forEach((part) => socket.write(part));
        });
    }

    // Guards against requests whose bytes are lost, repeated or assigned to another request, however they are split.
    it("delivers every request in full and in order", async () => {
        await listen();
        await fc.assert(
            fc.asyncProperty(
                fc.array(sentRequest, { minLength: 1, maxLength: 20 }),
                fc.array(fc.integer({ min: 1, max: 5_000 }), { minLength: 1, maxLength: 8 }),
                async (requests, cuts) => {
                    received = [];
                    let rest = requests.map(textOf).join("");
                    const parts: string[] = [];
                    for (let index = 0; rest !== ""; index++) {
                        const size = cuts[index % cuts.length];
                        parts.push(rest.slice(0, size));
                        rest = rest.slice(size);
                    }
                    await send(parts, requests.length);
                    expect(received).to.deep.equal(requests.map(bodyOf));
                },
            ),
            runs,
        );
    });

    // Guards against ordinary clients that are closed, or not answered, beside heavy ones.
    it("answers ordinary requests beside heavy connections, and closes only those", async () => {
        await listen(200_000);
        const heavy = textOf({ bytes: 60_000, chunkBytes: 1 }, 0);
        const crowd = Array.from({ length: 20 }, () => send([heavy], 1));
        const ordinary = Array.from(
            { length: 40 },
            (_, index) => send([textOf({ bytes: 9_000, chunkBytes: 0 }, index)], 1),
        );
        const answers = await Promise.all(ordinary);
        expect(answers.every((answer) => answer.endsWith("9000"))).to.equal(true);
        const crowdAnswers = await Promise.all(crowd);
        expect(closed).to.be.greaterThan(0);
        expect(crowdAnswers.filter((answer) => answer.endsWith("60000")).length).to.equal(20 - closed);
    });

    // Guards against work, and memory that counts as used, for pipelined requests whose caller has left.
    it("closes the responses of pipelined requests, once each, when their connection closes", async () => {
        const responses: ServerResponse[] = [];
        const closes: number[] = [];
        await listen(undefined, (_request, response) => {
            const index = responses.push(response) - 1;
            response.on("close", () => closes.push(index));
            if (index === 1) {
                response.end("waits for the first one");
            }
        });
        const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
        socket.write(textOf({ bytes: 0, chunkBytes: 0 }, 0).repeat(4));
        while (responses.length < 4) {
            await new Promise((resolve) => setImmediate(resolve));
        }
        const firstClosed = once(responses[0], "close");
        socket.destroy();
        await firstClosed;
        await new Promise((resolve) => setImmediate(resolve));
        expect(closes.sort()).to.deep.equal([0, 1, 2, 3]);
        expect(responses.every(({ destroyed }) => destroyed)).to.equal(true);
    });
});
