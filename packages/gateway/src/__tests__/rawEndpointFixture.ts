import { EndpointExchange } from "@redwingpin/common";
import type { DirectEndpoint } from "@redwingpin/fleet";
import { once } from "node:events";
import type { Agent } from "node:http";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { bodyFixture, endpointStateFixture } from "./gatewayFixture.js";

/** An endpoint that answers over a raw socket, as scripted. */
export interface RawEndpoint {
    readonly endpoint: DirectEndpoint;
    readonly connections: () => number;
    /** Accepts no more connections; the open ones stay open. */
    closePort(): void;
    /** Resolves when all connections that were opened have closed. */
    allClosed(): Promise<void>;
    stop(): void;
}

/** The end of a request line. Other bytes are no request: the router writes a line feed to a connection that has ended. */
const requestLineEnd = "HTTP/1.1\r\n";

/** Starts an endpoint; `answer` answers the n-th request on a connection, whose bytes are `text`. */
export async function startRawEndpoint(
    answer: (socket: Socket, request: number, text: string) => void,
): Promise<RawEndpoint> {
    let connections = 0;
    const sockets = new Set<Socket>();
    const server: Server = createServer((socket) => {
        connections += 1;
        sockets.add(socket);
        let requests = 0;
        socket.on("error", () => {});
        socket.on("data", (data) => {
            const text = data.toString();
            if (text.includes(requestLineEnd)) {
                answer(socket, requests++, text);
            }
        });
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    return {
        endpoint: endpointStateFixture("raw", { host: "127.0.0.1", port }).endpoint,
        connections: () => connections,
        closePort: () => void server.close(),
        allClosed: async () => {
            await Promise.all(
                [...sockets].filter(({ closed }) => !closed).map((socket) => once(socket, "close")),
            );
        },
        stop: () => {
            sockets.forEach((socket) => socket.destroy());
            server.close();
        },
    };
}

/** How an exchange ended. */
export interface ExchangeResult {
    readonly kind: "ended" | "broken";
    readonly text: string;
    readonly sent: boolean;
}

/** What is sent with {@link exchange}, and how its answer is read. */
export interface ExchangeOptions {
    readonly body?: string;
    /** Pause in milliseconds before the answer is read, and after each chunk. */
    readonly pause?: number;
}

/** Sends a request, without a body unless stated otherwise. */
export function exchange(
    endpoint: DirectEndpoint,
    agent?: Agent,
    method = "GET",
    { body = "", pause }: ExchangeOptions = {},
): Promise<ExchangeResult> {
    return new Promise((resolve) => {
        let text = "";
        const length = body === "" ? [] : ["Content-Length", String(body.length)];
        const headers = ["Host", "site", ...length];
        const running = new EndpointExchange(
            { endpoint, method, url: "/", headers, body: bodyFixture(body), agent },
            {
                onHead: () => {},
                onData: (chunk) => {
                    text += chunk.toString();
                    if (pause !== undefined) {
                        setTimeout(() => running.resume(), pause);
                    }
                    return pause === undefined;
                },
                onExcess: () => {},
                onEnd: () => resolve({ kind: "ended", text, sent: true }),
                onBroken: (_detail, sent) => resolve({ kind: "broken", text, sent }),
            },
        );
    });
}
