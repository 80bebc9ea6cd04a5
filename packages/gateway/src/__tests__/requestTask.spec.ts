import { expect } from "chai";
import { type Socket } from "node:net";
import { type RawEndpoint, startRawEndpoint } from "./rawEndpointFixture.js";
import { answer, routerFixture } from "./routerFixture.js";

describe("calls that may not be repeated", () => {
    let endpoint: RawEndpoint | undefined;
    let router: Awaited<ReturnType<typeof routerFixture>> | undefined;
    afterEach(() => {
        router?.stop();
        endpoint?.stop();
    });

    async function start(onRequest: (socket: Socket, attempt: string) => void) {
        endpoint = await startRawEndpoint((socket, _number, request) =>
            onRequest(socket, /x-attempt: (\w+)/i.exec(request)?.[1] ?? "")
        );
        router = await routerFixture([endpoint]);
        return { endpoint, router };
    }

    it("use the connection of a call that was answered a moment ago", async () => {
        const site = await start((socket, attempt) => socket.write(answer(attempt, attempt)));
        expect(await site.router.call("first")).to.include({ status: 200, text: "first" });
        expect(await site.router.call("second")).to.include({ status: 200, text: "second" });
        expect(site.endpoint.connections()).to.equal(1);
    });

    it("never get the second copy of an earlier answer that arrives on their connection", async () => {
        const received: string[] = [];
        const site = await start((socket, attempt) => {
            received.push(attempt);
            socket.write(answer(received[0], received[0]));
        });
        expect(await site.router.call("first")).to.include({ status: 200, text: "first" });
        const { status, text } = await site.router.call("second");
        expect(status).to.equal(502);
        expect(text).to.include("may have run");
        expect(received).to.deep.equal(["first", "second"]);
    });
});

describe("a request whose time limit has passed", () => {
    // Guards against requests that run after their time limit, since they waited for other routers before they were sent.
    it("is refused as not run, and no endpoint receives it", async () => {
        const received: string[] = [];
        const endpoint = await startRawEndpoint((_socket, _number, request) => received.push(request));
        const router = await routerFixture([endpoint], { timeout: 0 });
        const { status, text } = await router.call("late");
        router.stop();
        endpoint.stop();
        expect([status, received]).to.deep.equal([503, []]);
        expect(text).to.include("was not run");
    });
});

describe("bytes without end from an endpoint", () => {
    const bytesPerWrite = 65_536;
    const cases = [
        { where: "in a head", first: "HTTP/1.1 200 OK\r\nx-filler: ", filler: "x" },
        { where: "in a body", first: "HTTP/1.1 200 OK\r\n\r\n", filler: "x" },
        {
            where: "in a chunk",
            first: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n",
            filler: "x",
        },
        { where: "in informational heads", first: "", filler: "HTTP/1.1 103 Early Hints\r\n\r\n" },
        { where: "before any head", first: "", filler: "x" },
    ];
    for (const { where, first, filler } of cases) {
        it(`${where} end the call with an unknown outcome and close the connection`, async () => {
            let closed: Promise<void> | undefined;
            const endpoint = await startRawEndpoint((socket) => {
                const bytes = filler.repeat(Math.ceil(bytesPerWrite / filler.length));
                const write = () => {
                    if (!socket.destroyed) {
                        socket.write(bytes, () => setImmediate(write));
                    }
                };
                closed = new Promise((resolve) => socket.once("close", () => resolve()));
                socket.write(first, write);
            });
            const router = await routerFixture([endpoint]);
            const { status, text } = await router.call("endless");
            expect(status).to.be.oneOf([502, 504]);
            expect(text).to.include("may have run");
            await closed;
            router.stop();
            endpoint.stop();
        });
    }
});
