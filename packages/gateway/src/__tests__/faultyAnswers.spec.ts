import { expect } from "chai";
import type { Socket } from "node:net";
import { exchange, type RawEndpoint, startRawEndpoint } from "./rawEndpointFixture.js";
import { answer, resumableRoute, routerFixture } from "./routerFixture.js";

const streamHead = "HTTP/1.1 200 OK\r\nx-attempt: a\r\ncontent-type: text/event-stream\r\n";

function event(identifier: number): string {
    return `id: ${identifier}\ndata: ${identifier}\n\n`;
}

function refusal(attempt?: string): string {
    const identifier = attempt === undefined ? "" : `x-attempt: ${attempt}\r\n`;
    return `HTTP/1.1 503 Full\r\n${identifier}x-not-run: 1\r\nContent-Length: 0\r\n\r\n`;
}

function attemptIn(request: string): string {
    return /x-attempt: (\w+)/i.exec(request)?.[1] ?? "";
}

describe("faulty answers of endpoints", () => {
    const started: { stop(): void; }[] = [];
    afterEach(() => started.splice(0).forEach(({ stop }) => stop()));

    /** Endpoints that answer all requests in their order of arrival, whichever of them receives a request. */
    async function start(
        count: number,
        script: (socket: Socket, request: number, text: string) => void,
        more: Parameters<typeof routerFixture>[1] = {},
    ) {
        let requests = 0;
        const endpoints: RawEndpoint[] = [];
        for (let index = 0; index < count; index++) {
            endpoints.push(
                await startRawEndpoint((socket, _number, text) => script(socket, requests++, text)),
            );
        }
        const router = await routerFixture(endpoints, more);
        started.push(...endpoints, router);
        return { router, requests: () => requests };
    }

    describe("that repeat an earlier refusal on a kept connection", () => {
        // Guards against "not run" for a call that an endpoint has run or still runs.
        for (const identified of [true, false]) {
            const which = identified ? "with the identifier of the earlier call" : "without an identifier";
            it(`${which} are not taken for a refusal of the next call, which may have run`, async () => {
                const { requests, router } = await start(2, (socket, request, text) => {
                    const first = identified ? "first" : undefined;
                    socket.write(request === 0 ? answer(attemptIn(text), "served") : refusal(first));
                });
                expect((await router.call("first")).status).to.equal(200);
                const second = await router.call("second");
                expect(second.status).to.equal(502);
                expect(second.text).to.include("may have run");
                expect(requests()).to.equal(2);
            });
        }

        it("together with the first copy do not answer the next call", async () => {
            const { router } = await start(1, (socket, _request, text) => {
                const attempt = attemptIn(text);
                socket.write(attempt === "first" ? refusal("first").repeat(2) : answer(attempt, "served"));
            });
            expect((await router.call("first")).status).to.equal(503);
            await new Promise((resolve) => setTimeout(resolve, 400));
            expect(await router.call("second")).to.include({ status: 200, text: "served" });
        });
    });

    it("without an identifier are accepted on a new connection, where no earlier call can be meant", async () => {
        const { router } = await start(1, (socket) => socket.write(refusal()));
        const refused = await router.call("first");
        expect(refused.status).to.equal(503);
        expect(refused.text).to.include("not run");
    });

    describe("that follow a stream that has broken off", () => {
        const nextAnswers = [
            ["an error", "HTTP/1.1 500 Failed\r\nx-attempt: a\r\nContent-Length: 9\r\n\r\nan error\n"],
            ["an error in the form of events", `HTTP/1.1 500 Failed\r\nx-attempt: a\r\n\r\n${event(2)}`],
            ["a refusal", refusal("a")],
            ["a client error", "HTTP/1.1 404 Missing\r\nx-attempt: a\r\nContent-Length: 9\r\n\r\nan error\n"],
            ["a text instead of events", `${streamHead}Content-Length: 9\r\n\r\nan error\n`],
            ["bytes that are no answer", "an error\r\n\r\n"],
            ["a head that ends with its connection", `${streamHead}\r\n`],
            ["half an event", `${streamHead}\r\nid: 2\ndata`],
        ];
        // Guards against the next endpoint's error in the middle of a stream, and against a broken stream that looks complete.
        for (const [what, next] of nextAnswers) {
            it(`end the stream visibly incomplete if the next endpoint sends ${what}`, async () => {
                const { router } = await start(3, (socket, request) => {
                    if (request === 0) {
                        socket.write(
                            `${streamHead}Transfer-Encoding: chunked\r\n\r\nf\r\n${event(1)}\r\n`,
                            () => socket.destroy(),
                        );
                    }
                    else {
                        socket.end(next);
                    }
                }, resumableRoute);
                const received = await router.call("a");
                expect(received).to.deep.equal({ status: 200, text: event(1), isComplete: false });
            });
        }

        it("continue it whole, also if the first endpoint stated a length and the next one has fewer bytes left", async () => {
            const { router } = await start(2, (socket, request) => {
                if (request === 0) {
                    socket.write(
                        `${streamHead}Content-Length: 1000\r\n\r\n${event(1)}`,
                        () => socket.destroy(),
                    );
                }
                else {
                    socket.end(`${streamHead}\r\n${event(2)}`);
                }
            }, resumableRoute);
            const received = await router.call("a");
            expect(received).to.deep.equal({ status: 200, text: event(1) + event(2), isComplete: true });
        });
    });

    describe("whose status is not one of HTTP's final statuses", () => {
        const statuses = ["000", "042", "099", "600", "999"];
        const whole = (status: string, attempt: string) =>
            answer(attempt, "spoiled").replace("200 OK", `${status} Odd`);

        // Guards against an exception outside of any request, which ends the process and all its requests.
        for (const status of statuses) {
            it(`${status}: end only their own call, with an unknown outcome`, async () => {
                const { requests, router } = await start(2, (socket, _request, text) => {
                    const attempt = attemptIn(text);
                    if (attempt === "spoiled") {
                        socket.write(whole(status, attempt));
                    }
                    else {
                        setTimeout(() => socket.write(answer(attempt, "served")), 50);
                    }
                });
                const sound = router.call("sound");
                const spoiled = await router.call("spoiled");
                expect(spoiled.status).to.equal(502);
                expect(spoiled.text).to.include("may have run");
                expect(await sound).to.include({ status: 200, text: "served" });
                expect(requests()).to.equal(2);
            });
        }

        it("make a call that may be repeated go on at another endpoint", async () => {
            for (const status of statuses) {
                const { router } = await start(2, (socket, request, text) => {
                    const attempt = attemptIn(text);
                    socket.write(request === 0 ? whole(status, attempt) : answer(attempt, "served"));
                }, { repeatable: true, attempts: 2 });
                expect(await router.call("a"), status).to.include({ status: 200, text: "served" });
            }
        });

        it("are not taken for a proof that the call has not run", async () => {
            const { router } = await start(1, (socket) => socket.write(refusal("a").replace("503", "099")));
            const { status, text } = await router.call("a");
            expect(status).to.equal(502);
            expect(text).to.include("may have run");
        });
    });

    // Guards against an exception outside of any request, which ends the process and all its requests.
    for (const field of ["X Odd: 1", ": 1", "X\tOdd: 1"]) {
        it(`whose head has the field "${field}" end only their own call, and one that may be repeated goes on`, async () => {
            const odd = (attempt: string) =>
                answer(attempt, "odd").replace("x-attempt", `${field}\r\nx-attempt`);
            const { router } = await start(1, (socket, _request, text) => socket.write(odd(attemptIn(text))));
            const { status, text } = await router.call("a");
            expect(status).to.equal(502);
            expect(text).to.include("may have run");
            const repeating = await start(2, (socket, request, text) => {
                const attempt = attemptIn(text);
                socket.write(request === 0 ? odd(attempt) : answer(attempt, "served"));
            }, { repeatable: true, attempts: 2 });
            expect(await repeating.router.call("a")).to.include({ status: 200, text: "served" });
        });
    }

    // Guards against any further fault of this kind: an exception in the handler of an answer ended the process.
    it("that the router can't handle end only their own call", async () => {
        const { router } = await start(2, (socket, _request, text) => {
            const attempt = attemptIn(text);
            const field = attempt === "odd" ? "x-unexpected: 1\r\n" : "";
            socket.write(answer(attempt, "served").replace("x-attempt", `${field}x-attempt`));
        });
        expect((await router.call("odd")).status).to.equal(500);
        expect(await router.call("sound")).to.include({ status: 200, text: "served" });
    });

    // Guards against a caller that waits for its time limit, since no answer to its request follows.
    it("that switch protocols end their call at once", async () => {
        const switching =
            "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: odd\r\n\r\nbytes";
        const { router } = await start(1, (socket) => socket.write(switching));
        const { status, text } = await router.call("a");
        expect(status).to.equal(502);
        expect(text).to.include("may have run");
    });

    // Guards against a success that its caller takes for incomplete: an answer without a body states no length.
    it("of status 204 that state a length reach their caller without it", async () => {
        const { router } = await start(
            1,
            (socket, _request, text) =>
                socket.write(answer(attemptIn(text), "body").replace("200 OK", "204 No Content")),
        );
        expect(await router.call("a")).to.deep.equal({ status: 204, text: "", isComplete: true });
    });

    // Guards against a complete answer that its caller does not get: bytes after it, in the same read, make the parser fail.
    for (const status of ["200 OK", "204 No Content"]) {
        for (const after of ["stray", "\0\0", "HTTP/1.1 2000\r\n\r\n", "stray".repeat(4_000)]) {
            const what = `${status} and ${after.length} further bytes`;
            it(`of status ${what} reach their caller, and the connection is not used again`, async () => {
                const sockets: Socket[] = [];
                const { router } = await start(1, (socket, _request, text) => {
                    const complete = status === "200 OK"
                        ? answer(attemptIn(text), "served")
                        : `HTTP/1.1 ${status}\r\nx-attempt: ${attemptIn(text)}\r\n\r\n`;
                    sockets.push(socket);
                    socket.write(complete + (attemptIn(text) === "odd" ? after : ""));
                });
                const expected = {
                    status: Number(status.slice(0, 3)),
                    text: status === "200 OK" ? "served" : "",
                    isComplete: true,
                };
                expect(await router.call("odd")).to.deep.equal(expected);
                expect(await router.call("next")).to.deep.equal(expected);
                expect(new Set(sockets).size).to.equal(2);
            });
        }
    }

    // Guards against an empty or short success that is framed as whole.
    it("that stop anywhere before their end are never complete", async () => {
        const whole = "HTTP/1.1 200 OK\r\nx-attempt: a\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody";
        for (let length = 0; length < whole.length; length++) {
            const endpoint = await startRawEndpoint((socket) => socket.end(whole.slice(0, length)));
            const { kind } = await exchange(endpoint.endpoint);
            endpoint.stop();
            expect(kind, JSON.stringify(whole.slice(0, length))).to.equal("broken");
        }
    });

    it("that stop in their head end the call with an unknown outcome", async () => {
        for (
            const head of [
                "HTTP/1.1 200 OK\r\nx-att",
                "HTTP/1.1 200 OK\r\nx-attempt: a\r\n",
                "HTTP/1.1 200 OK\r\n\r",
            ]
        ) {
            const { router } = await start(1, (socket) => socket.end(head));
            const { status, text } = await router.call("a");
            expect(status).to.equal(502);
            expect(text).to.include("may have run");
        }
    });
});
