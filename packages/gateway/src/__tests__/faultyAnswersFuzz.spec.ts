import { expect } from "chai";
import fc from "fast-check";
import { startRawEndpoint } from "./rawEndpointFixture.js";
import { answer, resumableRoute, routerFixture } from "./routerFixture.js";

/** Text of any bytes except the line breaks that would end a field. */
const anyBytes = fc.array(fc.integer({ min: 0, max: 255 }), { maxLength: 12 })
    .map((codes) => String.fromCharCode(...codes).replace(/[\r\n]/g, " "));

const status = fc.oneof(
    fc.integer({ min: 0, max: 999 }).map((code) => String(code).padStart(3, "0")),
    fc.constantFrom("200", "204", "304", "100", "101", "103", "503", "2000", "abc"),
);

const oddFields = [
    "x odd: 1",
    ": 1",
    "content-length: 2",
    "content-length: 3",
    "content-length: -1",
    "content-length: 99999999999999999999",
    "content-length: 2, 2",
    "transfer-encoding: chunked",
    "transfer-encoding: gzip, chunked",
    "connection: close",
    "connection: upgrade",
    "connection: keep-alive, content-length",
    "upgrade: websocket",
    "keep-alive: timeout=99999999999, max=-1",
    "keep-alive: timeout=0",
    "keep-alive: timeout=",
    "trailer: x-odd",
    "retry-after: 1e400",
    "retry-after: -7",
    "content-type: text/event-stream",
    "content-encoding: gzip",
    "set-cookie: a",
    "x-not-run: 1",
    " folded",
    "no colon",
];

const field = fc.oneof(
    fc.constantFrom(...oddFields),
    fc.tuple(anyBytes, anyBytes).map(([name, value]) => `${name}: ${value}`),
    anyBytes.map((value) => `x-odd: ${value}`),
);

const body = fc.oneof(
    fc.constantFrom(
        "",
        "ok",
        "2\r\nok\r\n0\r\n\r\n",
        "2;a=b\r\nok\r\n0\r\nx-odd: y\r\n\r\n",
        "ffffffffffffffffff\r\n",
    ),
    fc.constant("id: 1\ndata: 1\n\n"),
    anyBytes,
);

/** What an endpoint does after an answer. */
enum Ending {
    Keep = "keep",
    End = "end",
    EndLater = "endLater",
    Reset = "reset",
    Repeat = "repeat",
}

const faultyAnswer = fc.record({
    version: fc.oneof(
        { weight: 9, arbitrary: fc.constant("HTTP/1.1") },
        fc.constantFrom("HTTP/1.0", "HTTP/9.9", "ICY"),
    ),
    status,
    reason: fc.oneof(fc.constant("Odd"), anyBytes),
    fields: fc.array(field, { maxLength: 3 }),
    body,
    ending: fc.constantFrom(...Object.values(Ending)),
    isStream: fc.boolean(),
});

describe("answers of endpoints with any head", () => {
    // Guards against routers that end by themselves because of an endpoint's answer, and against callers without an answer.
    it("are answered, and neither end the router nor spoil the next request", async () => {
        await fc.assert(
            fc.asyncProperty(faultyAnswer, async (faulty) => {
                const head = [`${faulty.version} ${faulty.status} ${faulty.reason}`, ...faulty.fields].join(
                    "\r\n",
                );
                const bytes = Buffer.from(`${head}\r\n\r\n${faulty.body}`, "latin1");
                const endpoint = await startRawEndpoint((socket, _request, text) => {
                    const attempt = /x-attempt: (\w+)/i.exec(text)?.[1] ?? "";
                    if (attempt !== "odd") {
                        socket.write(answer(attempt, "served"));
                        return;
                    }
                    socket.write(bytes);
                    switch (faulty.ending) {
                        case Ending.Keep:
                            break;
                        case Ending.End:
                            socket.end();
                            break;
                        case Ending.EndLater:
                            setTimeout(() => socket.end(), 10);
                            break;
                        case Ending.Reset:
                            socket.resetAndDestroy();
                            break;
                        case Ending.Repeat:
                            socket.write(bytes);
                            break;
                    }
                });
                const kind = faulty.isStream ? resumableRoute : {};
                const router = await routerFixture([endpoint], { ...kind, timeout: 120 });
                try {
                    const odd = await router.call("odd");
                    expect(odd.status).to.be.a("number");
                    await new Promise((resolve) => setTimeout(resolve, 15));
                    // The endpoint may be left out after its failure; the router has to answer in any case.
                    expect((await router.call("next")).status).to.be.oneOf([200, 502, 503]);
                }
                finally {
                    router.stop();
                    endpoint.stop();
                }
            }),
            { seed: 20_261_206, numRuns: 300 },
        );
    });
});
