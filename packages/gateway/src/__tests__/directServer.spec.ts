import { FakeClock, type LogFields, sha256Hex, silentLogger, systemClock } from "@redwingpin/common";
import { Delivery, type DirectConfiguration, DirectServiceKind, type TokenReply } from "@redwingpin/fleet";
import { expect } from "chai";
import { ok } from "neverthrow";
import { once } from "node:events";
import { Agent, request as httpRequest } from "node:http";
import { connect } from "node:net";
import { Registry } from "prom-client";
import { type HeaderCodec, noTolerance, RouteTable, SharedLedger } from "../index.js";
import { AccountTokens } from "../node/accountTokens.js";
import { DirectServer } from "../node/directServer.js";
import { GatewayMetrics } from "../node/gatewayMetrics.js";
import { accountFixture } from "./gatewayFixture.js";

const headerCodec: HeaderCodec = {
    readRequest: () =>
        ok({
            attempt: "a",
            credential: "key",
            promptTokens: 0,
            outputTokens: 0,
            hasTokenCounts: false,
            parts: [],
        }),
    endpointHeaders: () => [],
    readAnswer: () => ({ sealed: false, notRun: false, signals: { leaving: false, unusable: [] } }),
    ownAnswerHeaders: () => ({ "x-attempt": "a" }),
};

const configuration: DirectConfiguration = {
    version: 1,
    routes: [{
        name: "r",
        host: "site.example",
        prefix: "/",
        targets: [{ service: "s", weight: 1 }],
        delivery: Delivery.EventStream,
        repeatable: false,
        timeout: 1_000,
        targetLatency: 100,
        attempts: 1,
        priority: 0,
        open: true,
    }],
    services: [{ name: "s", kind: DirectServiceKind.Plain, healthPath: "/", maxConnections: 1 }],
    accounts: [],
    limits: { headerBytes: 10_000, bodyBytes: 10, headerTimeout: 1_000, idleTimeout: 1_000 },
};

/** A server that counts the requests that passed its checks. */
async function serverFixture(
    accepts: boolean,
    more: Partial<DirectConfiguration> = {},
    peers: readonly string[] = ["b", "c", "d"],
) {
    const askedHolders: string[] = [];
    const replies: (TokenReply | undefined)[] = [];
    let served = 0;
    let isStopping = !accepts;
    let turnDelay = 0;
    let answersAllowed = Promise.resolve();
    let beginning: string | undefined;
    const registry = new Registry();
    const errors: (LogFields | undefined)[] = [];
    const table = new RouteTable({ ...configuration, ...more });
    const ledger = new SharedLedger({ startsFull: true, tolerance: noTolerance, ownName: "own" });
    ledger.configure(table.configuration.accounts, 0);
    ledger.updateFleet({ live: peers, unresponsive: [] }, 0);
    const accountTokens = new AccountTokens({
        clock: new FakeClock(),
        ledger,
        sync: {
            deliverReports: () => {
                peers.forEach((peer) => ledger.recordDelivery(peer, ledger.spent()));
                return Promise.resolve();
            },
            liveRouterNames: () => [...peers],
            unresponsiveRouterNames: () => [],
            requestTokens: (holder, { account, tokens }) => {
                askedHolders.push(`${holder}: ${tokens} of ${account}`);
                return Promise.resolve(replies.shift());
            },
        },
    });
    const server = new DirectServer({
        clock: systemClock,
        logger: { ...silentLogger, error: (_message, fields) => void errors.push(fields) },
        metrics: new GatewayMetrics(registry),
        headerCodec,
        checks: { headerCodec, accountTokens, table: () => table, random: () => 0 },
        turnStartedBy: () => systemClock.now() - turnDelay,
        isStopping: () => isStopping,
        accepts: () => accepts,
        maxBufferedBytes: 1_000_000,
        maxHeadBytes: 10_000_000,
        serve: async (_request, response) => {
            served += 1;
            if (beginning !== undefined) {
                response.write(beginning);
            }
            await answersAllowed;
            response.end("served");
            return { kind: "delivered" };
        },
        refund: () => {},
    });
    const port = await server.listen("127.0.0.1", 0);
    return {
        server,
        port,
        registry,
        /** Fields of the lines that were logged as errors. */
        errors,
        served: () => served,
        /** Requests arrive this long before they are read. */
        setTurnDelay: (delay: number) => turnDelay = delay,
        /** Requests for tokens that were sent to other routers. */
        askedHolders,
        /** The answers to them, in order. */
        replies,
        ledger,
        beginStop: () => isStopping = true,
        /** Sends the beginning of each answer at once. */
        beginAnswers: (text: string) => beginning = text,
        /** Delays all answers until the given promise resolves. */
        delayAnswers: (until: Promise<void>) => answersAllowed = until,
    };
}

function send(
    port: number,
    body = "",
    agent: Agent | false = false,
): Promise<{ status?: number; headers: NodeJS.Dict<string | string[]>; localPort?: number; }> {
    return new Promise((resolve, reject) => {
        const request = httpRequest(
            { host: "127.0.0.1", port, method: "POST", headers: { host: "site.example" }, agent },
            (response) => {
                response.resume();
                const { headers, statusCode: status } = response;
                const { localPort } = response.socket;
                response.on("error", reject);
                response.on("end", () => resolve({ status, headers, localPort }));
            },
        );
        request.on("error", reject);
        request.end(body);
    });
}

async function until(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise((resolve) => setImmediate(resolve));
    }
}

describe("direct server", () => {
    let server: DirectServer | undefined;
    afterEach(() => server?.stop());

    // Guards against "may have run" for a request that was never sent: Node's client throws for these names.
    for (const field of ["X Odd: 1", ": 1"]) {
        it(`refuses a request with the field "${field}"`, async () => {
            const fixture = await serverFixture(true);
            server = fixture.server;
            const socket = connect(fixture.port, "127.0.0.1");
            socket.write(`GET / HTTP/1.1\r\nHost: site.example\r\n${field}\r\n\r\n`);
            const [head] = await once(socket, "data") as [Buffer];
            socket.destroy();
            expect(head.toString()).to.match(/^HTTP\/1\.1 400 /);
            expect(fixture.served()).to.equal(0);
        });
    }

    it("immediately refuses, as not run, a request that might not end before the process has to stop", async () => {
        const fixture = await serverFixture(false);
        server = fixture.server;
        const { headers, status } = await send(fixture.port);
        expect(status).to.equal(503);
        expect(headers).to.include({ "connection": "close", "retry-after": "0", "x-attempt": "a" });
        expect(fixture.served()).to.equal(0);
    });

    it("serves a request that passes the checks, and refuses a body above the limit", async () => {
        const fixture = await serverFixture(true);
        server = fixture.server;
        expect((await send(fixture.port, "small")).status).to.equal(200);
        expect((await send(fixture.port, "far too large a body")).status).to.equal(413);
        expect(fixture.served()).to.equal(1);
    });

    // Guards against callers that lose the answer to a refused request, since their connection is reset while they send.
    it("answers a caller whose long body it refuses, and reads the body so that the connection can be used again", async () => {
        const fixture = await serverFixture(true);
        server = fixture.server;
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        const localPorts = new Set<number | undefined>();
        for (let request = 0; request < 3; request++) {
            const { localPort, status } = await send(fixture.port, "x".repeat(8_000_000), agent);
            expect(status).to.equal(413);
            localPorts.add(localPort);
        }
        expect(localPorts.size).to.equal(1);
        agent.destroy();
    });

    // Guards against routers that read large bodies, and hold their memory, before they refuse them.
    it("refuses a body that states a size for which there is no memory, before it has arrived", async () => {
        const limits = { ...configuration.limits, bodyBytes: 4_000_000 };
        const fixture = await serverFixture(true, { limits });
        server = fixture.server;
        const first = connect(fixture.port, "127.0.0.1");
        const head = (bytes: number) =>
            `POST / HTTP/1.1\r\nHost: site.example\r\nContent-Length: ${bytes}\r\n\r\n`;
        first.write(head(450_000));
        await until(() => fixture.server.bufferedBodyBytes > 0);
        const second = connect(fixture.port, "127.0.0.1");
        let received = "";
        second.on("data", (data) => received += data.toString());
        second.write(head(450_000));
        await until(() => received.includes("\r\n\r\n"));
        expect(received).to.match(/^HTTP\/1.1 503 /);
        expect(received).to.match(/^retry-after: /im);
        expect((await send(fixture.port, "small")).status).to.equal(200);
        first.destroy();
        second.destroy();
        await until(() => fixture.server.bufferedBodyBytes === 0);
    });

    // Guards against requests that are run but never answered, since their connection was closed after an earlier answer.
    it("answers every request that it runs on a connection whose first answer began before the stop", async () => {
        const fixture = await serverFixture(true);
        server = fixture.server;
        let allowAnswers = () => {};
        fixture.delayAnswers(new Promise((resolve) => allowAnswers = resolve));
        const socket = connect(fixture.port, "127.0.0.1");
        let received = "";
        socket.on("data", (data) => received += data.toString());
        const closed = new Promise<void>((resolve) => socket.once("close", () => resolve()));
        const post = "POST / HTTP/1.1\r\nHost: site.example\r\nContent-Length: 0\r\n\r\n";
        socket.write(post);
        await until(() => fixture.served() === 1);
        fixture.beginStop();
        socket.write(post);
        await until(() => fixture.served() === 2);
        allowAnswers();
        await closed;
        expect(received.match(/HTTP\/1.1 200 OK/g)?.length).to.equal(2);
        expect(received).to.match(/^connection: close/im);
    });

    // Guards against requests that reach endpoints long after their callers have left, when a router was short of processor time.
    it("does not run a request whose caller had left before the router read it", async () => {
        const fixture = await serverFixture(true);
        server = fixture.server;
        const leave = () =>
            new Promise<void>((resolve) => {
                const socket = connect(fixture.port, "127.0.0.1", () => {
                    socket.write("POST / HTTP/1.1\r\nHost: site.example\r\nContent-Length: 0\r\n\r\n");
                    socket.end();
                });
                socket.resume().once("close", () => resolve());
            });
        await leave();
        expect(fixture.served()).to.equal(0);
    });

    // Guards against a closed connection in place of an answer where a request fails by a fault of the router.
    // Guards against a status that a caller takes for the response to a request that runs, as not run or invalid.
    it("sends no status after what follows a running request can't be parsed", async () => {
        const fixture = await serverFixture(true);
        server = fixture.server;
        let allowAnswers = () => {};
        fixture.delayAnswers(new Promise((resolve) => allowAnswers = resolve));
        const socket = connect(fixture.port, "127.0.0.1");
        let received = "";
        socket.on("data", (chunk) => received += chunk.toString());
        socket.on("error", () => {});
        socket.write("POST / HTTP/1.1\r\nhost: site.example\r\ncontent-length: 0\r\n\r\n");
        while (fixture.served() === 0) {
            await new Promise((resolve) => setTimeout(resolve, 5));
        }
        socket.write("no request\r\n\r\n");
        await once(socket, "close");
        allowAnswers();
        expect(received).to.equal("");
    });

    it("answers a request that fails inside the router as one that may have run", async () => {
        const fixture = await serverFixture(true);
        server = fixture.server;
        let fail = () => {};
        fixture.delayAnswers(new Promise((_resolve, reject) => fail = () => reject(new Error("a fault"))));
        const answer = send(fixture.port, "small");
        await until(() => fixture.served() === 1);
        fail();
        const { headers, status } = await answer;
        expect(status).to.equal(502);
        expect(headers).to.include({ "x-attempt": "a" });
        expect(headers).not.to.have.property("retry-after");
        expect(fixture.errors).to.deep.equal([{ request: "a", error: "Error: a fault" }]);
        const metrics = await fixture.registry.metrics();
        expect(metrics).to.include("redwingpin_direct_internal_errors_total 1");
        expect(metrics).to.include('redwingpin_refusals_total{reason="outcome_unknown"} 1');
    });

    // Guards against an answer that looks complete although the router failed in the middle of it.
    it("closes the connection if a request fails inside the router after its answer has begun", async () => {
        const fixture = await serverFixture(true);
        server = fixture.server;
        let fail = () => {};
        fixture.beginAnswers("begun");
        fixture.delayAnswers(new Promise((_resolve, reject) => fail = () => reject(new Error("a fault"))));
        const answer = send(fixture.port, "small").then(() => "complete", () => "incomplete");
        await until(() => fixture.served() === 1);
        fail();
        expect(await answer).to.equal("incomplete");
    });

    it("reports to the other routers before it refuses a request for which the account has enough tokens", async () => {
        const account = accountFixture({
            keyDigests: [sha256Hex("key")],
            burstTokens: 500,
            tokensPerSecond: 1,
        });
        const routes = configuration.routes.map((route) => ({ ...route, open: false }));
        const fixture = await serverFixture(true, { accounts: [account], routes });
        server = fixture.server;
        const statuses = [];
        for (let request = 0; request < 3; request++) {
            statuses.push((await send(fixture.port)).status);
        }
        expect(statuses).to.deep.equal([200, 200, 429]);
    });

    // Guards against requests that run after their caller's time limit, since they waited in the socket of a busy router.
    it("counts the time limit of a request from its arrival, before the router read it", async () => {
        const fixture = await serverFixture(true);
        server = fixture.server;
        fixture.setTurnDelay(900);
        expect((await send(fixture.port)).status).to.equal(200);
        fixture.setTurnDelay(1_100);
        expect((await send(fixture.port)).status).to.equal(503);
        expect(fixture.served()).to.equal(1);
    });

    describe("in a fleet in which a few routers hold each account", () => {
        const account = accountFixture({
            keyDigests: [sha256Hex("key")],
            burstTokens: 500,
            tokensPerSecond: 1,
        });
        const routes = configuration.routes.map((route) => ({ ...route, open: false }));
        const peers = Array.from({ length: 67 }, (_, index) => `peer-${index}`);
        const largeFixture = () => serverFixture(true, { accounts: [account], routes }, peers);

        it("serves a request whose tokens a holder grants, without reports to all routers", async () => {
            const fixture = await largeFixture();
            server = fixture.server;
            fixture.replies.push({ kind: "granted" }, { kind: "granted" });
            expect([(await send(fixture.port)).status, (await send(fixture.port)).status]).to.deep.equal([
                200,
                200,
            ]);
            const [holder] = fixture.ledger.holdersOf("makers");
            const asked = `${holder}: 200 of makers`;
            expect(fixture.askedHolders).to.deep.equal([asked, asked]);
        });

        it("refuses a request whose tokens a holder denies, and does not ask again before the time that it named", async () => {
            const fixture = await largeFixture();
            server = fixture.server;
            fixture.replies.push({ kind: "denied", level: 30, retryAfter: 5_000 });
            const first = await send(fixture.port);
            expect([first.status, first.headers["retry-after"]]).to.deep.equal([429, "5"]);
            const second = await send(fixture.port);
            expect([second.status, second.headers["retry-after"]]).to.deep.equal([429, "5"]);
            expect(fixture.askedHolders).to.have.length(1);
        });

        it("asks the next holder if one does not answer, and then spends its own share", async () => {
            const fixture = await largeFixture();
            server = fixture.server;
            fixture.replies.push(undefined, { kind: "granted" }, undefined, undefined);
            expect((await send(fixture.port)).status).to.equal(200);
            expect((await send(fixture.port)).status).to.equal(200);
            const [first, second] = fixture.ledger.holdersOf("makers");
            expect(fixture.askedHolders.map((asked) => asked.split(":")[0]))
                .to.deep.equal([first, second, first, second]);
        });
    });
});
