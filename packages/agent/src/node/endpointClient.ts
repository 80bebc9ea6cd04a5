/**
 * The HTTP client for the agent's endpoint.
 *
 * @module
 */
import type { HeaderField } from "@redwingpin/protocol";
import { ResultAsync } from "neverthrow";
import { type Dispatcher, Pool } from "undici";

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
const connectFailureCodes: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "UND_ERR_CONNECT_TIMEOUT",
]);
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
    private readonly pool: Pool;

    constructor(address: string, connections: number) {
        this.pool = new Pool(address, {
            connections,
            connect: { timeout: connectTimeoutMilliseconds },
            headersTimeout: 0,
            bodyTimeout: 0,
            pipelining: 1,
        });
    }

    /** Sends a request at most once; resolves with the head of the answer. */
    send(request: EndpointRequest): ResultAsync<EndpointAnswer, EndpointFailure> {
        const answer = this.pool.request({
            method: request.method as Dispatcher.HttpMethod,
            path: request.path,
            headers: request.headers.flatMap((header) => [header.name, header.value]),
            body: request.body.length > 0 ? request.body : undefined,
            signal: request.signal,
        });
        return ResultAsync.fromPromise(answer, describeFailure).map((response) => ({
            status: response.statusCode,
            headers: toHeaderFields(response.headers),
            body: response.body,
        }));
    }

    /** Closes all connections, also those in use. */
    stop(): Promise<void> {
        return this.pool.destroy();
    }
}

function describeFailure(error: unknown): EndpointFailure {
    const code = (error as { code?: string; }).code ?? "";
    return { mayHaveRun: !connectFailureCodes.has(code), message: `${code} ${String(error)}`.trim() };
}

function toHeaderFields(headers: Readonly<Record<string, string | string[] | undefined>>): HeaderField[] {
    return Object.entries(headers)
        .filter(([name]) => !connectionHeaders.has(name))
        .flatMap(([name, value]) => [value ?? []].flat().map((single) => ({ name, value: single })));
}
