/**
 * Shared by all stand-ins: an HTTP listener that can be closed and reopened on the same port, and helpers that read
 * requests and write JSON.
 *
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** Answers one request. If it throws an error, the answer has status 400. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void> | void;

/** A running stand-in. */
export interface Standin {
    /** Base address of the simulated system. */
    readonly address: string;
    /** Base address of the control paths. */
    readonly controlAddress: string;
    /** Closes every connection and listener. */
    stop(): Promise<void>;
}

/** Options of every stand-in. */
export interface StandinOptions {
    /**
     * Port to listen on; 0 chooses a free one.
     * @default 0
     */
    readonly port?: number;
    /**
     * Port of the control paths; 0 chooses a free one.
     * @default 0
     */
    readonly controlPort?: number;
}

/** Address that stand-ins listen on. */
export const standinHost = "127.0.0.1";

const statusBadRequest = 400;
const maximumHeaderBytes = 65_536;

/** An HTTP listener on loopback. */
export class HttpListener {
    private server: Server | undefined;

    constructor(private port: number, private readonly handler: RequestHandler) {}

    get address(): string {
        return `http://${standinHost}:${this.port}`;
    }

    /** Starts listening. Reopening a closed listener uses the same port. */
    async open(): Promise<void> {
        if (this.server) {
            return;
        }
        const options = { requestTimeout: 0, maxHeaderSize: maximumHeaderBytes };
        const server = createServer(options, (request, response) => void this.handle(request, response));
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(this.port, standinHost, resolve);
        });
        this.port = (server.address() as AddressInfo).port;
        this.server = server;
    }

    /** Stops listening and closes every connection. */
    async close(): Promise<void> {
        const server = this.server;
        this.server = undefined;
        if (server) {
            const closed = new Promise((resolve) => server.close(resolve));
            server.closeAllConnections();
            await closed;
        }
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        try {
            await this.handler(request, response);
        }
        catch (error) {
            if (response.headersSent || response.destroyed) {
                response.destroy();
                return;
            }
            const message = error instanceof Error ? error.message : String(error);
            sendJson(response, statusBadRequest, { error: message, message, code: 3 });
        }
    }
}

export async function readBody(request: IncomingMessage): Promise<Buffer> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks);
}

/** Reads a body and parses it with {@link parseJson}. */
export async function readJson<T extends object>(request: IncomingMessage): Promise<Partial<T>> {
    return parseJson<T>(await readBody(request));
}

/** Parses a JSON object; an empty body is an empty object. Throws if the body is anything else. */
export function parseJson<T extends object>(body: Buffer): Partial<T> {
    const value: unknown = body.length === 0 ? {} : JSON.parse(body.toString("utf8"));
    if (typeof value !== "object" || !value) {
        throw new Error("the body is not a JSON object");
    }
    return value as Partial<T>;
}

export function sendJson(response: ServerResponse, status: number, body: unknown): void {
    const text = JSON.stringify(body);
    response.writeHead(status, { "content-type": "application/json" });
    response.end(text);
}

/** Returns the path of a request without its query. */
export function pathOf(request: IncomingMessage): string {
    return (request.url ?? "/").split("?")[0]!;
}

/** Resolves after a number of milliseconds, or when `signal` aborts. */
export function sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    if (milliseconds <= 0 || signal?.aborted) {
        return Promise.resolve();
    }
    return new Promise((resolve) => {
        const finish = () => {
            clearTimeout(timer);
            signal?.removeEventListener("abort", finish);
            resolve();
        };
        const timer = setTimeout(finish, milliseconds);
        signal?.addEventListener("abort", finish);
    });
}

/** Returns a signal that aborts if the caller disconnects before its answer is complete. */
export function disconnectSignal(response: ServerResponse): AbortSignal {
    const controller = new AbortController();
    response.once("close", () => {
        if (!response.writableFinished) {
            controller.abort();
        }
    });
    return controller.signal;
}
