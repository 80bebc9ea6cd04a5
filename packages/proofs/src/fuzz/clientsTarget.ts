/**
 * Fuzzes the limits of callers: whatever clients send, wherever they stop and however they leave, nothing counts for them once
 * they have left, and the next ordinary request is read in full.
 *
 * @module
 */
import { listenOn, silentLogger, systemClock } from "@redwingpin/common";
import { CallerLimits } from "@redwingpin/router";
import fc from "fast-check";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { type Gauge, Registry } from "prom-client";
import type { FuzzTarget } from "./fuzzTarget.js";

enum RequestKind {
    Bodyless = "bodyless",
    WithLength = "withLength",
    SmallChunks = "smallChunks",
    /** A head that is longer than the server accepts. */
    LargeHead = "largeHead",
    /** Bytes that are no request. */
    Unparsable = "unparsable",
}

enum Departure {
    Ends = "ends",
    Resets = "resets",
    /** Stays until all others have sent their bytes. */
    Stays = "stays",
}

interface ClientScript {
    readonly requests: readonly { readonly kind: RequestKind; readonly bytes: number; }[];
    /** Share of the bytes that is sent. */
    readonly sentShare: number;
    readonly writes: number;
    readonly departure: Departure;
}

interface SiteScript {
    readonly clients: readonly ClientScript[];
    /** For each request in turn, whether it is answered as soon as it was read, or after all clients have left. */
    readonly answers: readonly boolean[];
}

const limits = { maxConnections: 5, maxBufferedBytes: 400_000 };
const ordinaryBytes = 40_000;

/** Time in milliseconds in which the server notices that its clients have left. */
const closeTimeout = 10_000;

const clients: fc.Arbitrary<ClientScript> = fc.record({
    requests: fc.array(
        fc.record({
            kind: fc.oneof(
                { weight: 6, arbitrary: fc.constantFrom(RequestKind.Bodyless, RequestKind.WithLength) },
                { weight: 3, arbitrary: fc.constantFrom(...Object.values(RequestKind)) },
            ),
            bytes: fc.oneof(fc.nat(200), fc.nat(60_000)),
        }),
        { minLength: 1, maxLength: 12 },
    ),
    sentShare: fc.oneof(fc.constant(1), fc.double({ min: 0, max: 1, noNaN: true })),
    writes: fc.integer({ min: 1, max: 6 }),
    departure: fc.constantFrom(...Object.values(Departure)),
});

const scripts: fc.Arbitrary<SiteScript> = fc.record({
    clients: fc.array(clients, { minLength: 1, maxLength: 8 }),
    answers: fc.array(fc.boolean(), { minLength: 1, maxLength: 10 }),
});

function textOf({ bytes, kind }: ClientScript["requests"][number]): string {
    const head = "POST /x HTTP/1.1\r\nhost: a\r\n";
    switch (kind) {
        case RequestKind.Bodyless:
            return "GET /x HTTP/1.1\r\nhost: a\r\n\r\n";
        case RequestKind.WithLength:
            return `${head}content-length: ${bytes}\r\n\r\n${"x".repeat(bytes)}`;
        case RequestKind.SmallChunks:
            return `${head}transfer-encoding: chunked\r\n\r\n${
                "2\r\nxx\r\n".repeat(Math.ceil(bytes / 20))
            }0\r\n\r\n`;
        case RequestKind.LargeHead:
            return `${head}x-filler: ${"x".repeat(bytes)}\r\n\r\n`;
        case RequestKind.Unparsable:
            return `no request ${"\u0000".repeat(bytes / 10)}\r\n\r\n`;
    }
}

function* writesOf({ requests, sentShare, writes }: ClientScript): Generator<string> {
    const text = requests.map(textOf).join("");
    const sent = text.slice(0, Math.ceil(text.length * sentShare));
    const size = Math.max(1, Math.ceil(sent.length / writes));
    for (let start = 0; start < sent.length; start += size) {
        yield sent.slice(start, start + size);
    }
}

function leave(socket: Socket, departure: Departure): void {
    switch (departure) {
        case Departure.Ends:
            socket.end();
            return;
        case Departure.Resets:
            socket.resetAndDestroy();
            return;
        case Departure.Stays:
            return;
    }
}

/** A server with small limits. */
class LimitedServer {
    private readonly registry = new Registry();
    private readonly limits = new CallerLimits({
        clock: systemClock,
        logger: silentLogger,
        registry: this.registry,
        ...limits,
    });
    private readonly server: Server;
    private readonly connections = new Set<Socket>();
    private readonly unanswered: ServerResponse[] = [];
    private handled = 0;

    constructor(private answers: readonly boolean[]) {
        this.server = createServer({ maxHeaderSize: 16_384 }, (request, response) => {
            void this.handle(request, response);
        });
        this.server.on("connection", (socket: Socket) => {
            this.connections.add(socket);
            socket.once("close", () => this.connections.delete(socket));
        });
        this.limits.attach(this.server);
    }

    async start(): Promise<void> {
        await listenOn(this.server, "127.0.0.1", 0);
    }

    connect(): Socket {
        const socket = connect((this.server.address() as AddressInfo).port, "127.0.0.1");
        // Connections may be refused or reset.
        socket.on("error", () => {});
        return socket.resume();
    }

    /** Answers all requests, and waits until there are no connections. */
    async finish(): Promise<void> {
        this.answers = [true];
        this.unanswered.forEach((response) => response.end());
        const end = systemClock.now() + closeTimeout;
        while (this.connections.size > 0) {
            if (systemClock.now() > end) {
                throw new Error(`${this.connections.size} connections stay open`);
            }
            await turns(1);
        }
        await turns(3);
    }

    /** Memory that counts, by metric. */
    async countedBytes(): Promise<Record<string, number>> {
        const names = ["redwingpin_caller_open_request_bytes", "redwingpin_caller_body_bytes"];
        const values = names.map(async (name) => {
            const { values: [entry] } = await (this.registry.getSingleMetric(name) as Gauge).get();
            return [name, entry.value] as const;
        });
        return Object.fromEntries(await Promise.all(values));
    }

    stop(): void {
        this.server.closeAllConnections();
        this.server.close();
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (!this.limits.begin(request, response)) {
            return;
        }
        response.on("error", () => response.destroy());
        const isAnswered = this.answers[this.handled++ % this.answers.length];
        const read = this.limits.checkMemory().isOk()
            ? await this.limits.readBody(request, response)
            : undefined;
        if (isAnswered) {
            response.end(String(read?.isOk() === true ? read.value.length : "refused"));
        }
        else {
            this.unanswered.push(response);
        }
    }
}

async function turns(count: number): Promise<void> {
    for (let turn = 0; turn < count; turn++) {
        await new Promise((resolve) => setImmediate(resolve));
    }
}

/** Sends the writes of all clients in turn; a client leaves after its last one. */
async function runClients(server: LimitedServer, { clients: all }: SiteScript): Promise<void> {
    const running = new Map(all.map((script) => [server.connect(), { script, writes: writesOf(script) }]));
    const sockets = [...running.keys()];
    while (running.size > 0) {
        for (const [socket, { script, writes }] of running) {
            const next = writes.next();
            if (next.done === true || socket.destroyed) {
                leave(socket, script.departure);
                running.delete(socket);
            }
            else {
                socket.write(next.value);
            }
        }
        await turns(2);
    }
    sockets.forEach((socket) => socket.destroy());
}

/** Sends a request inside the limits; resolves with the text of the response. */
function callOnce(server: LimitedServer): Promise<string> {
    return new Promise((resolve) => {
        const socket = server.connect();
        let text = "";
        socket.on("data", (data) => text += data.toString());
        socket.once("close", () => resolve(text));
        socket.write(
            `POST /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: ${ordinaryBytes}\r\n\r\n`
                + "x".repeat(ordinaryBytes),
        );
    });
}

async function checkClients(script: SiteScript): Promise<void> {
    const server = new LimitedServer(script.answers);
    await server.start();
    try {
        await runClients(server, script);
        await server.finish();
        for (const [name, bytes] of Object.entries(await server.countedBytes())) {
            if (bytes !== 0) {
                throw new Error(`${name} is ${bytes} after all clients have left`);
            }
        }
        const text = await callOnce(server);
        if (!text.endsWith(String(ordinaryBytes))) {
            throw new Error(`an ordinary request got ${JSON.stringify(text)}`);
        }
    }
    finally {
        server.stop();
    }
}

/** Fuzzes the limits of callers. */
export const clientsTarget: FuzzTarget = {
    name: "clients",
    boundedRuns: 60,
    property: () => fc.asyncProperty(scripts, checkClients),
};
