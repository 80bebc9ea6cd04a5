/**
 * The HTTP client for the agent's endpoint. It uses Node's client, since undici accepts a response without a length whose
 * connection was reset as complete.
 *
 * @module
 */
import { EndpointAgent, EndpointExchange, type ExchangeBody } from "@redwingpin/common";
import type { HeaderField } from "@redwingpin/protocol";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { validateHeaderName, validateHeaderValue } from "node:http";
import { ResponseBody } from "./responseBody.js";

/** One request to the endpoint. */
export interface EndpointRequest {
    readonly method: string;
    /** Path with query. */
    readonly path: string;
    readonly headers: readonly HeaderField[];
    readonly body: Buffer;
    readonly signal: AbortSignal;
}

/** The head of the endpoint's answer, and its body as a stream. */
export interface EndpointAnswer {
    readonly status: number;
    readonly headers: readonly HeaderField[];
    readonly body: AsyncIterable<Buffer>;
}

/** Failure of a request to the endpoint. */
export interface EndpointFailure {
    /** False only if no byte of the request can have reached the endpoint. */
    readonly mayHaveRun: boolean;
    readonly message: string;
}

const connectTimeoutMilliseconds = 1_000;
const firstFinalStatus = 200;
const lastFinalStatus = 599;

/** Header fields that apply to one connection and so are not forwarded (RFC 9110, section 7.6.1). */
const connectionHeaders: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
]);

/** Sends requests to one endpoint over pooled connections. */
export class EndpointClient {
    private readonly agent: EndpointAgent;
    private readonly url: URL;

    constructor(address: string, connections: number) {
        this.url = new URL(address);
        this.agent = new EndpointAgent({ maxSockets: connections });
    }

    /** Sends a request at most once; resolves with the head of the answer. */
    send(request: EndpointRequest): ResultAsync<EndpointAnswer, EndpointFailure> {
        return new ResultAsync(new Promise((resolve) => this.start(request, resolve)));
    }

    /** Closes all connections, also those in use. */
    stop(): void {
        this.agent.destroy();
    }

    private start(
        request: EndpointRequest,
        resolve: (result: Result<EndpointAnswer, EndpointFailure>) => void,
    ): void {
        const fail = (mayHaveRun: boolean, message: string) => resolve(err({ mayHaveRun, message }));
        if (request.signal.aborted) {
            fail(false, "the request was cancelled");
            return;
        }
        const onAbort = () => {
            exchange.abort();
            body.fail("the request was cancelled");
            fail(true, "the request was cancelled");
        };
        const body = new ResponseBody(() => exchange.resume(), () => exchange.abort());
        const exchange: EndpointExchange = new EndpointExchange({
            endpoint: { host: this.url.hostname, port: Number(this.url.port || "80") },
            connectTimeout: connectTimeoutMilliseconds,
            method: request.method,
            url: request.path,
            headers: requestHeaders(request, this.url.host),
            body: bodyOf(request.body),
            agent: this.agent,
        }, {
            onHead: (status, rawHeaders) => {
                const problem = findProblem(status, rawHeaders);
                if (problem === undefined) {
                    resolve(ok({ status, headers: toHeaderFields(rawHeaders), body }));
                }
                else {
                    exchange.abort();
                    fail(true, problem);
                }
            },
            onData: (chunk) => body.append(chunk),
            onEnd: () => {
                request.signal.removeEventListener("abort", onAbort);
                body.end();
            },
            onBroken: (detail, isSent) => {
                body.fail(detail);
                fail(isSent, detail);
            },
            onExcess: () => {},
        });
        // Not after the end of the answer, when the connection may serve another request.
        request.signal.addEventListener("abort", onAbort, { once: true });
    }
}

function requestHeaders({ body, headers, method }: EndpointRequest, host: string): string[] {
    const kept = headers.filter(({ name }) => !connectionHeaders.has(name.toLowerCase()));
    const fields = kept.flatMap(({ name, value }) => [name, value]);
    if (!kept.some(({ name }) => name.toLowerCase() === "host")) {
        fields.push("host", host);
    }
    if (body.length > 0 || (method !== "GET" && method !== "HEAD")) {
        fields.push("content-length", String(body.length));
    }
    return fields;
}

/** The memory of the body is released with the request that holds it. */
function bodyOf(body: Buffer): ExchangeBody {
    return { hold: () => {}, release: () => {}, parts: () => body.length > 0 ? [body] : [] };
}

/** Reason why an answer can't be passed on: the HTTP parser accepts heads that no server may send. */
function findProblem(status: number, rawHeaders: readonly string[]): string | undefined {
    if (status < firstFinalStatus || status > lastFinalStatus) {
        return `${status} is not the status of an answer`;
    }
    for (let index = 0; index < rawHeaders.length; index += 2) {
        try {
            validateHeaderName(rawHeaders[index]);
            validateHeaderValue(rawHeaders[index], rawHeaders[index + 1]);
        }
        catch {
            return `the answer has a field that HTTP does not allow: ${JSON.stringify(rawHeaders[index])}`;
        }
    }
    return undefined;
}

function toHeaderFields(rawHeaders: readonly string[]): HeaderField[] {
    const fields: HeaderField[] = [];
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = rawHeaders[index].toLowerCase();
        if (!connectionHeaders.has(name)) {
            fields.push({ name, value: rawHeaders[index + 1] });
        }
    }
    return fields;
}
