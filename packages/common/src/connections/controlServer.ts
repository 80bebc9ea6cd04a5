/**
 * HTTP server for a port of operators, load balancers or metrics. Its requests have no body and its responses are short, so it
 * takes no more than that: it shares the event loop and the memory of the process with the port for callers.
 *
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Registry } from "prom-client";
import { type Clock, type Milliseconds, systemClock } from "../clock.js";
import type { Logger } from "../logger.js";
import { BoundedConnections } from "./boundedConnections.js";
import { answerClientError } from "./clientErrors.js";
import { closedConnectionRecorder } from "./closedConnections.js";
import type { ConnectionLimits } from "./connectionBudget.js";
import { connectionReader } from "./connectionReader.js";

/** Default limits. Load balancers and monitoring keep a few connections, and send one request at a time. */
export const controlConnectionLimits: ConnectionLimits = {
    maxConnections: 64,
    maxUnfinishedBytes: 262_144,
    maxPipelined: 4,
    closesOpenRequests: true,
};

/** Maximum size of a head in bytes. */
const maxHeaderBytes = 16_384;

/** Maximum time for a request to arrive, and for a connection without any progress, such as one with an unread response. */
const arrivalTimeout: Milliseconds = 10_000;

/** Interval at which the server checks for requests that take too long to arrive. */
const timeoutCheckInterval: Milliseconds = 1_000;

/** Time for which the rest of a refused request is dropped, so that its client receives the response. */
const discardTimeout: Milliseconds = 2_000;

/** Options of {@link createControlServer}. */
export interface ControlServerOptions {
    /** Name of the port in metrics and log lines. */
    readonly port: string;
    readonly logger: Logger;
    readonly registry: Registry;
    /** @default systemClock */
    readonly clock?: Clock;
    /** @default controlConnectionLimits */
    readonly limits?: ConnectionLimits;
}

/** Handles a request without a body. */
export type ControlHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** Creates a server without listening. */
export function createControlServer(options: ControlServerOptions, handle: ControlHandler): Server {
    const connections = new BoundedConnections({
        clock: options.clock ?? systemClock,
        logger: options.logger,
        clients: `the port for ${options.port}`,
        limits: options.limits ?? controlConnectionLimits,
        onClosed: closedConnectionRecorder(options.registry, options.port),
    });
    const onRequest = (request: IncomingMessage, response: ServerResponse) => {
        const { socket } = request;
        if (!connections.beginRequest(request)) {
            return;
        }
        response.on("error", () => response.destroy());
        response.once("close", () => connections.endRequest(socket));
        if (hasBody(request)) {
            refuseBody(request, response);
        }
        else {
            handle(request, response);
        }
    };
    const server = createServer({
        maxHeaderSize: maxHeaderBytes,
        headersTimeout: arrivalTimeout,
        requestTimeout: arrivalTimeout,
        connectionsCheckingInterval: timeoutCheckInterval,
    }, onRequest);
    server.timeout = arrivalTimeout;
    server.on("checkContinue", onRequest);
    server.on("connection", (socket: Socket) => connections.add(socket));
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
        connectionReader.discard(socket as Socket);
        // A refused request has its response already.
        if (connections.openRequests(socket as Socket) === 0) {
            answerClientError(error, socket as Socket);
        }
    });
    connectionReader.attach(server, {
        maxOpenRequests: 1,
        closeExcessive: (socket) => connections.closeUnparsed(socket),
    });
    return server;
}

/** Whether a request has a body, as far as its head tells. */
export function hasBody({ headers }: IncomingMessage): boolean {
    return headers["transfer-encoding"] !== undefined || Number(headers["content-length"] ?? 0) !== 0;
}

/** Refuses a request with its head; the body is not read. */
export function refuseBody(request: IncomingMessage, response: ServerResponse): void {
    const text = "requests to this path have no body\n";
    response.writeHead(413, {
        "content-type": "text/plain",
        "content-length": Buffer.byteLength(text),
        "connection": "close",
    });
    response.write(text);
    endAfterDiscard(request, response);
}

/**
 * Ends a response that has been written before its request was complete, and the connection. The rest of the request is not
 * parsed, but dropped for a moment: closing a connection with unread bytes resets it, and the client may lose the response.
 */
export function endAfterDiscard({ socket }: IncomingMessage, response: ServerResponse): void {
    connectionReader.discard(socket);
    const end = () => {
        clearTimeout(timer);
        response.end();
    };
    const timer = setTimeout(end, discardTimeout);
    socket.once("end", end);
    socket.once("close", end);
}
