import { expect } from "chai";
import fc from "fast-check";
import type { Socket } from "node:net";
import { startRawEndpoint } from "./rawEndpointFixture.js";
import { answer, resumableRoute, routerFixture } from "./routerFixture.js";

const chunkedHead = "HTTP/1.1 200 OK\r\nx-attempt: odd\r\nTransfer-Encoding: chunked\r\n\r\n";
const emptyLines = ["\n", "\r\n", "\r"];

/** What an endpoint sends first, and what it then repeats without end. */
const positions: readonly { readonly start: string; readonly kinds: readonly string[]; }[] = [
    {
        start: "",
        kinds: [
            ...emptyLines,
            "HTTP/1.1 100 Continue\r\n\r\n",
            "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n",
        ],
    },
    { start: "HTTP/1.1 200 OK\r\n", kinds: ["a: b\r\n", "c:\r\n"] },
    { start: "HTTP/1.1 200 OK\r\na: ", kinds: ["b", " ", "\t"] },
    { start: chunkedHead, kinds: ["0", "000000000"] },
    { start: `${chunkedHead}1;a=`, kinds: ["x", "xxxx"] },
    {
        start: chunkedHead,
        kinds: [`1;${"a".repeat(99)}=b\r\n\n\r\n`, `1;${"c".repeat(200)}\r\n\n\r\n`],
    },
    { start: `${chunkedHead}1`, kinds: [" ", "\t"] },
    { start: `${chunkedHead}5\r\n\n\n\n\n\n\r\n0\r\n`, kinds: ["a: b\r\n", "c: d\r\n"] },
    { start: "HTTP/1.1 200 OK\r\nx-attempt: odd\r\n\r\n", kinds: ["\n", "\r\n"] },
    { start: answer("odd", "complete"), kinds: [...emptyLines, "HTTP/1.1 100 Continue\r\n\r\n", "x"] },
];

const endless = fc.constantFrom(...positions).chain(({ kinds, start }) =>
    fc.record({
        start: fc.constant(start),
        repeated: fc.array(fc.constantFrom(...kinds), { minLength: 1, maxLength: 4 }),
        isStream: fc.boolean(),
    })
);

/** Far below the time limit of the route. */
const maxDuration = 4_000;

/** Growth of the test's process, which holds the endpoint as well. */
const maxGrowth = 120_000_000;

function writeWithoutEnd(socket: Socket, text: string): void {
    const block = Buffer.from(text.repeat(Math.ceil(65_536 / text.length)));
    const pump = () => {
        while (!socket.destroyed && socket.write(block)) {
            // Writes until the connection is full.
        }
    };
    socket.on("drain", pump);
    pump();
}

describe("bytes without end of an endpoint", () => {
    // Guards against a router that reads, until the time limit of a request, what the HTTP parser only skips, and against one
    // whose memory or event loop is exhausted by it.
    it("end its connection, whatever their kind and position, and the next request is answered", async () => {
        const before = process.memoryUsage().rss;
        await fc.assert(
            fc.asyncProperty(endless, async ({ isStream, repeated, start }) => {
                let odd: Socket | undefined;
                const endpoints = await Promise.all(
                    [0, 1, 2].map(() =>
                        startRawEndpoint((socket, _request, text) => {
                            const attempt = /x-attempt: (\w+)/i.exec(text)?.[1] ?? "";
                            if (attempt === "odd") {
                                odd = socket;
                                socket.write(start);
                                writeWithoutEnd(socket, repeated.join(""));
                            }
                            else {
                                socket.write(answer(attempt, "id: 1\ndata: served\n\n"));
                            }
                        })
                    ),
                );
                const kind = isStream ? { ...resumableRoute, attempts: 1 } : {};
                const router = await routerFixture(endpoints, { ...kind, timeout: 30_000 });
                try {
                    const startedAt = Date.now();
                    await router.call("odd");
                    if (!odd!.closed) {
                        await new Promise((resolve) => odd!.once("close", resolve));
                    }
                    expect(Date.now() - startedAt).to.be.lessThan(maxDuration);
                    expect(await router.call("next")).to.include({ status: 200, isComplete: true });
                    expect(process.memoryUsage().rss - before).to.be.lessThan(maxGrowth);
                }
                finally {
                    router.stop();
                    endpoints.forEach((endpoint) => endpoint.stop());
                }
            }),
            { seed: 20_261_206, numRuns: 100 },
        );
    });
});
