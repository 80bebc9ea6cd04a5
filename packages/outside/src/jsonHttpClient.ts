/**
 * JSON over HTTP to one platform address, by undici, with a failure type that says whether a call can have reached
 * the platform.
 *
 * @module
 */
import type { Clock, Milliseconds } from "@redwingpin/common";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { Agent, type Dispatcher, request } from "undici";
import { maximumAnswerBytes, maximumConnections } from "./constants.js";

/** How a call failed. */
export type HttpFailure =
    /** No byte of the call left this process. */
    | { readonly kind: "notSent"; readonly message: string; }
    /** The platform answered with an error status. */
    | { readonly kind: "status"; readonly status: number; readonly message: string; }
    /** The call was sent, or may have been, and its answer did not arrive whole. */
    | { readonly kind: "noAnswer"; readonly message: string; };

/** Options of {@link JsonHttpClient}. */
export interface JsonHttpClientOptions {
    /** Base address without a trailing slash. */
    readonly address: string;
    readonly clock: Clock;
    readonly requestTimeoutMilliseconds: Milliseconds;
}

/** What one call sends. */
export interface JsonCall {
    readonly method: "GET" | "POST";
    /** Path that is appended to the base address. */
    readonly path: string;
    readonly body?: unknown;
    /** Header fields beside those of the encoding. */
    readonly headers?: Readonly<Record<string, string>>;
}

/** Errors of the connect phase: the platform cannot have received anything. */
const connectErrorCodes: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "ENOTFOUND",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EADDRNOTAVAIL",
    "EAI_AGAIN",
    "UND_ERR_CONNECT_TIMEOUT",
]);

const maximumQuotedCharacters = 200;

/** A client of one address. */
export class JsonHttpClient {
    private readonly agent: Agent;

    constructor(private readonly options: JsonHttpClientOptions) {
        this.agent = new Agent({
            connections: maximumConnections,
            maxResponseSize: maximumAnswerBytes,
            connect: { timeout: options.requestTimeoutMilliseconds },
            headersTimeout: 0,
            bodyTimeout: 0,
        });
    }

    /** Makes a call and gives its whole answer as text. */
    callText(call: JsonCall): ResultAsync<string, HttpFailure> {
        return new ResultAsync(
            this.withTimeout((signal) => this.readWhole(call, signal)).then(
                (answer) => answerResult(call, answer),
                (error: unknown) => failureResult(call, error),
            ),
        );
    }

    /** Opens a call whose answer arrives as a stream; the time-out covers its head only. */
    async open(call: JsonCall, signal: AbortSignal): Promise<Dispatcher.ResponseData> {
        return this.withTimeout((timeout) => this.send(call, AbortSignal.any([signal, timeout])));
    }

    /** Closes every connection; calls that wait fail. */
    async close(): Promise<void> {
        await this.agent.destroy();
    }

    private async withTimeout<T>(work: (signal: AbortSignal) => Promise<T>): Promise<T> {
        const limit = this.options.requestTimeoutMilliseconds;
        const controller = new AbortController();
        const cancel = this.options.clock.schedule(limit, () => {
            controller.abort(new Error(`no answer within ${limit} ms`));
        });
        try {
            return await work(controller.signal);
        }
        finally {
            cancel();
        }
    }

    private async readWhole(call: JsonCall, signal: AbortSignal): Promise<WholeAnswer> {
        const response = await this.send(call, signal);
        return { status: response.statusCode, text: await response.body.text() };
    }

    private send(call: JsonCall, signal: AbortSignal): Promise<Dispatcher.ResponseData> {
        const body = call.body === undefined ? undefined : JSON.stringify(call.body);
        return request(`${this.options.address}${call.path}`, {
            dispatcher: this.agent,
            method: call.method,
            headers: { "content-type": "application/json", "accept": "application/json", ...call.headers },
            body,
            signal,
        });
    }
}

interface WholeAnswer {
    readonly status: number;
    readonly text: string;
}

const firstErrorStatus = 300;

function answerResult(call: JsonCall, answer: WholeAnswer): Result<string, HttpFailure> {
    if (answer.status < firstErrorStatus) {
        return ok(answer.text);
    }
    const message = `${call.path} answered status ${answer.status}: ${quote(answer.text)}`;
    return err({ kind: "status", status: answer.status, message });
}

function failureResult(call: JsonCall, error: unknown): Result<string, HttpFailure> {
    return err({
        kind: connectErrorCodes.has(errorCode(error)) ? "notSent" : "noAnswer",
        message: `${call.path} failed: ${describeError(error)}`,
    });
}

function errorCode(error: unknown): string {
    return error instanceof Error && "code" in error ? String(error.code) : "";
}

/** Text of an error for a person. */
export function describeError(error: unknown): string {
    if (!(error instanceof Error)) {
        return String(error);
    }
    return error.message === "" ? errorCode(error) || error.name : error.message;
}

/** The start of a text that came from outside, for an error message. */
export function quote(text: string): string {
    return JSON.stringify(text.slice(0, maximumQuotedCharacters));
}
