import { listenOn, silentLogger, systemClock } from "@redwingpin/common";
import {
    Delivery,
    type DirectConfiguration,
    DirectServiceKind,
    FactKind,
    FleetState,
} from "@redwingpin/fleet";
import { expect } from "chai";
import { ok } from "neverthrow";
import { createServer } from "node:http";
import { type AddressInfo, type Socket } from "node:net";
import { Registry } from "prom-client";
import {
    CrashTracker,
    DemandTracker,
    EndpointTable,
    FleetRetryBudget,
    type HeaderCodec,
    PrefixIndex,
    RouteTable,
} from "../index.js";
import { CrashProbe } from "../node/crashProbe.js";
import { EndpointConnections } from "../node/endpointConnections.js";
import { GatewayMetrics } from "../node/gatewayMetrics.js";
import { serveRequest } from "../node/requestTask.js";
import { type RawEndpoint, startRawEndpoint } from "./rawEndpointFixture.js";

const headerCodec: HeaderCodec = {
    readRequest: () =>
        ok({ attempt: "", promptTokens: 0, outputTokens: 0, hasTokenCounts: false, parts: [] }),
    endpointHeaders: (caller) => [...caller],
    readAnswer: (headers) => {
        const index = headers.indexOf("x-attempt");
        return { attempt: index < 0 ? undefined : headers[index + 1], sealed: true, notRun: false };
    },
    ownAnswerHeaders: () => ({}),
};

const configuration: DirectConfiguration = {
    version: 1,
    routes: [{
        name: "stamps",
        host: "site.example",
        prefix: "/",
        targets: [{ service: "registry", weight: 1 }],
        delivery: Delivery.Whole,
        repeatable: false,
        timeout: 2_000,
        targetLatency: 100,
        attempts: 1,
        priority: 0,
        open: true,
    }],
    services: [{ name: "registry", kind: DirectServiceKind.Plain, healthPath: "/", maxConnections: 8 }],
    accounts: [],
    limits: { headerBytes: 10_000, bodyBytes: 10, headerTimeout: 1_000, idleTimeout: 1_000 },
};

/** A router before one endpoint, for calls that may not be repeated; `call` resolves with the caller's answer. */
async function routerFixture(endpoint: RawEndpoint) {
    const state = new FleetState();
    const endpointTable = new EndpointTable(() => {});
    const connections = new EndpointConnections();
    const { instance } = endpoint.endpoint;
    const registered = { ...endpoint.endpoint, service: "registry" };
    state.applyFact(
        { kind: FactKind.Endpoint, revision: 1, instance, endpoint: registered },
        systemClock.now(),
    );
    endpointTable.update(state);
    const table = new RouteTable(configuration);
    const context = {
        clock: systemClock,
        logger: silentLogger,
        headerCodec,
        dataCentre: "hobart",
        state,
        endpointTable,
        prefixIndex: new PrefixIndex(),
        connections,
        crashProbe: new CrashProbe(),
        retryBudget: new FleetRetryBudget({ ratio: 0.2, window: 10_000, slack: 10 }),
        crashTracker: new CrashTracker(),
        demandTracker: new DemandTracker(),
        weightsBounds: () => ({ reducedWorthAfter: 1_500, worthReduction: 0.2, forbiddenAfter: 9_500 }),
        metrics: new GatewayMetrics(new Registry()),
        routerCount: () => 1,
        random: () => 0,
    };
    const server = createServer((request, response) => {
        const arrival = systemClock.now();
        const attempt = String(request.headers["x-attempt"]);
        void serveRequest(context, {
            metadata: { attempt, promptTokens: 0, outputTokens: 0, hasTokenCounts: false, parts: [] },
            table,
            route: configuration.routes[0],
            service: configuration.services[0],
            account: undefined,
            method: "GET",
            url: "/",
            rawHeaders: ["x-attempt", attempt],
            body: Buffer.alloc(0),
            arrival,
            deadline: arrival + configuration.routes[0].timeout,
            fingerprint: attempt,
            tokens: 0,
        }, response);
    });
    await listenOn(server, "127.0.0.1", 0);
    const { port } = server.address() as AddressInfo;
    return {
        call: async (attempt: string) => {
            const answer = await fetch(`http://127.0.0.1:${port}/`, { headers: { "x-attempt": attempt } });
            return { status: answer.status, text: await answer.text() };
        },
        stop: () => {
            connections.stop();
            server.close();
            server.closeAllConnections();
        },
    };
}

function answer(attempt: string, text: string): string {
    return `HTTP/1.1 200 OK\r\nx-attempt: ${attempt}\r\nContent-Length: ${text.length}\r\n\r\n${text}`;
}

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
        router = await routerFixture(endpoint);
        return { endpoint, router };
    }

    it("use the connection of a call that was answered a moment ago", async () => {
        const site = await start((socket, attempt) => socket.write(answer(attempt, attempt)));
        expect(await site.router.call("first")).to.deep.equal({ status: 200, text: "first" });
        expect(await site.router.call("second")).to.deep.equal({ status: 200, text: "second" });
        expect(site.endpoint.connections()).to.equal(1);
    });

    it("never get the second copy of an earlier answer that arrives on their connection", async () => {
        const received: string[] = [];
        const site = await start((socket, attempt) => {
            received.push(attempt);
            socket.write(answer(received[0], received[0]));
        });
        expect(await site.router.call("first")).to.deep.equal({ status: 200, text: "first" });
        const { status, text } = await site.router.call("second");
        expect(status).to.equal(502);
        expect(text).to.include("may have run");
        expect(received).to.deep.equal(["first", "second"]);
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
            const router = await routerFixture(endpoint);
            const { status, text } = await router.call("endless");
            expect(status).to.be.oneOf([502, 504]);
            expect(text).to.include("may have run");
            await closed;
            router.stop();
            endpoint.stop();
        });
    }
});
