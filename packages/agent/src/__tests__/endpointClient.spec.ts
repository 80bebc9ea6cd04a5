import { listenOn } from "@redwingpin/common";
import { expect } from "chai";
import { createServer, type Server, type Socket } from "node:net";
import { EndpointClient } from "../node/endpointClient.js";

const lost = "the outcome is unknown";

describe("client of an agent's endpoint", () => {
    let server: Server | undefined;
    let client: EndpointClient | undefined;
    afterEach(() => {
        client?.stop();
        server?.close();
    });

    /** Sends a request to an endpoint that answers over a raw socket; resolves with the body or with how the request failed. */
    async function send(script: (socket: Socket) => void, size = 0, pause = 0): Promise<string> {
        client?.stop();
        server?.close();
        server = createServer({ allowHalfOpen: true }, (socket) => {
            socket.on("error", () => {});
            socket.once("data", () => {
                socket.pause();
                script(socket);
            });
        });
        const port = await listenOn(server, "127.0.0.1", 0);
        client = new EndpointClient(`http://127.0.0.1:${port}`, 2);
        const answer = await client.send({
            method: "POST",
            path: "/",
            headers: [{ name: "x-odd", value: "1" }],
            body: Buffer.alloc(size, "b"),
            signal: new AbortController().signal,
        });
        if (answer.isErr()) {
            return answer.error.mayHaveRun ? lost : "not run";
        }
        let text = "";
        try {
            for await (const chunk of answer.value.body) {
                text += chunk.toString();
                await new Promise((resolve) => setTimeout(resolve, pause));
            }
        }
        catch {
            return lost;
        }
        return `${answer.value.status} ${text}`;
    }

    for (const size of [0, 65_536, 1_048_576, 4_000_000]) {
        // Guards against the received part of an answer as a complete one: undici accepts an answer that was reset.
        it(`fails on an answer without a length that is reset, with ${size} bytes of a body`, async () => {
            for (const pause of [0, 20]) {
                for (let delay = 0; delay < 60; delay += 6) {
                    const received = await send(
                        (socket) =>
                            void setTimeout(() => {
                                socket.write("HTTP/1.1 200 OK\r\n\r\npart");
                                socket.resetAndDestroy();
                            }, delay),
                        size,
                        pause,
                    );
                    expect(received, `after ${delay} ms`).to.equal(lost);
                }
            }
        });

        it(`completes an answer that ends while the endpoint reads on, with ${size} bytes of a body`, async () => {
            const received = await send((socket) => {
                socket.end("HTTP/1.1 200 OK\r\n\r\nwhole");
                socket.resume();
            }, size);
            expect(received).to.equal("200 whole");
        });
    }

    // Guards against a truncated answer that looks complete: undici accepts it if the endpoint announced to close.
    it("fails on a chunked answer that ends before its last chunk", async () => {
        const head = "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
        expect(await send((socket) => socket.end(`${head}4\r\npart\r\n`))).to.equal(lost);
    });

    // Guards against an answer whose status no caller can receive.
    for (const status of ["000", "042", "099", "600", "999"]) {
        it(`fails on an answer of status ${status}`, async () => {
            const received = await send((socket) =>
                void socket.write(`HTTP/1.1 ${status} Odd\r\nContent-Length: 2\r\n\r\nok`)
            );
            expect(received).to.equal(lost);
        });
    }

    it("reports that nothing was sent if nothing listens at the endpoint", async () => {
        const unused = new EndpointClient("http://127.0.0.1:1", 2);
        const answer = await unused.send({
            method: "GET",
            path: "/",
            headers: [],
            body: Buffer.alloc(0),
            signal: new AbortController().signal,
        });
        expect(answer._unsafeUnwrapErr().mayHaveRun).to.equal(false);
        unused.stop();
    });

    // Guards against an agent that reads for ever what the HTTP parser only skips.
    for (
        const [start, repeated] of [
            ["", "\n"],
            ["", "HTTP/1.1 103 Early Hints\r\n\r\n"],
            ["HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"],
        ]
    ) {
        it(`fails on ${JSON.stringify(repeated)} without end`, async () => {
            const block = repeated.repeat(Math.ceil(65_536 / repeated.length));
            const received = await send((socket) => {
                const pump = () => {
                    while (!socket.destroyed && socket.write(block)) {
                        // Writes until the connection is full.
                    }
                };
                socket.write(start);
                socket.on("drain", pump);
                pump();
            });
            expect(received).to.equal(lost);
        });
    }
});
