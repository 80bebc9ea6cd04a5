/**
 * Client for JSON over HTTP to one platform address, over undici. Its failures state whether a call can have reached
 * the platform.
 *
 * @module
 */
import { type Clock, type Milliseconds, readText, TextTooLargeError } from "@redwingpin/common";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { Agent, type Dispatcher, request } from "undici";
import { maximumAnswerBytes, maximumConnections } from "./constants.js";

/** Failure of a call. */
export type HttpFailure =
    /** The call was not sent. */
    | { readonly kind: "notSent"; readonly message: string; }
    /** The platform answered with an error status. */
    | { readonly kind: "status"; readonly status: number; readonly message: string; }
    /** The answer has more bytes than the client reads. */
    | { readonly kind: "tooLarge"; readonly message: string; }
    /** The call was or may have been sent, and no complete answer was received. */
    | { readonly kind: "noAnswer"; readonly message: string; };

/** Options of {@link JsonHttpClient}. */
export interface JsonHttpClientOptions {
    /** Base address without a trailing slash. */
    readonly address: string;
    readonly clock: Clock;
    readonly requestTimeoutMilliseconds: Milliseconds;
    /**
     * Maximum size of an answer. A larger one is not read to its end.
     * @default 67108864
     */
    readonly maxAnswerBytes?: number;
}

/** Request of one call. */
export interface JsonCall {
    readonly method: "GET" | "POST";
    /** Path relative to the base address. */
    readonly path: string;
    readonly body?: unknown;
    /** Headers other than `content-type` and `accept`. */
    readonly headers?: Readonly<Record<string, string>>;
    /**
     * Time limit of the call.
     * @default the client's
     */
    readonly timeout?: Milliseconds;
}

/** Errors while connecting, after which the platform cannot have received the call. */
const connectErrorCodes: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "ENOTFOUND",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EADDRNOTAVAIL",
    "EAI_AGAIN",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/** Answer to a call. */
export interface TextAnswer {
    readonly status: number;
    /** By name in lower case. */
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly text: string;
}

const maximumQuotedCharacters = 200;

/** Client of one address. */
export class JsonHttpClient {
    /** Holds the connections that new calls use. */
    private agent: Agent;
    /** Agents that have been replaced, whose calls have not all ended. */
    private readonly replacedAgents = new Set<Agent>();
    /** Number of connections that have been opened. */
    private openedConnections = 0;
    /** Number of open connections of {@link agent}. */
    private keptConnections = 0;

    constructor(private readonly options: JsonHttpClientOptions) {
        this.agent = this.createAgent();
    }

    /** Makes a call and resolves with the text of its answer. */
    callText(call: JsonCall): ResultAsync<string, HttpFailure> {
        return this.call(call).map(({ text }) => text);
    }

    /** Makes a call and resolves with its answer. */
    call(call: JsonCall): ResultAsync<TextAnswer, HttpFailure> {
        return new ResultAsync(
            this.withTimeout(call, (signal) => this.readAnswer(call, signal)).then(
                (answer) => answerResult(call, answer),
                (error: unknown) => failureResult(call, error),
            ),
        );
    }

    /** Makes a call whose answer is a stream. The timeout applies only until the answer's headers arrive. */
    async openStream(call: JsonCall, signal: AbortSignal): Promise<Dispatcher.ResponseData> {
        return this.withTimeout(call, (timeout) => this.send(call, AbortSignal.any([signal, timeout])));
    }

    /** Closes every connection. Pending calls fail. */
    async close(): Promise<void> {
        await Promise.all([this.agent, ...this.replacedAgents].map((agent) => agent.destroy()));
    }

    private createAgent(): Agent {
        const agent = new Agent({
            connections: maximumConnections,
            maxResponseSize: this.options.maxAnswerBytes ?? maximumAnswerBytes,
            connect: { timeout: this.options.requestTimeoutMilliseconds },
            headersTimeout: 0,
            bodyTimeout: 0,
        });
        this.keptConnections = 0;
        agent.on("connect", () => {
            this.openedConnections += 1;
            this.keptConnections += agent === this.agent ? 1 : 0;
        });
        agent.on("disconnect", () => this.keptConnections -= agent === this.agent ? 1 : 0);
        return agent;
    }

    /**
     * Makes further calls use new connections. What silenced the connection of a call without an answer may have silenced
     * every other connection that is kept open. Calls that are running continue.
     */
    private replaceAgent(agent: Agent): void {
        if (agent !== this.agent) {
            return;
        }
        this.agent = this.createAgent();
        this.replacedAgents.add(agent);
        void agent.close().finally(() => this.replacedAgents.delete(agent));
    }

    private async withTimeout<T>(
        call: JsonCall,
        operation: (signal: AbortSignal) => Promise<T>,
    ): Promise<T> {
        const timeout = call.timeout ?? this.options.requestTimeoutMilliseconds;
        const controller = new AbortController();
        const { agent, openedConnections: openedBefore } = this;
        const hasKept = this.keptConnections > 0;
        const cancel = this.options.clock.schedule(timeout, () => {
            // A connection that a concurrent call has opened counts as this call's.
            const connection = hasKept && this.openedConnections === openedBefore ? "a kept" : "a new";
            controller.abort(new Error(`no answer within ${timeout} ms on ${connection} connection`));
            this.replaceAgent(agent);
        });
        try {
            return await operation(controller.signal);
        }
        finally {
            cancel();
        }
    }

    private async readAnswer(call: JsonCall, signal: AbortSignal): Promise<TextAnswer> {
        const response = await this.send(call, signal);
        const maxBytes = this.options.maxAnswerBytes ?? maximumAnswerBytes;
        const { headers, statusCode: status } = response;
        return { status, headers, text: await readText(response.body, maxBytes) };
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

/** Code of undici's error for an answer that exceeds its maximum size. */
const answerTooLargeCode = "UND_ERR_RES_EXCEEDED_MAX_SIZE";

const firstErrorStatus = 300;

function answerResult(call: JsonCall, answer: TextAnswer): Result<TextAnswer, HttpFailure> {
    if (answer.status < firstErrorStatus) {
        return ok(answer);
    }
    const message = `${call.path} answered status ${answer.status}: ${quote(answer.text)}`;
    return err({ kind: "status", status: answer.status, message });
}

function failureResult(call: JsonCall, error: unknown): Result<never, HttpFailure> {
    return err({ kind: failureKind(error), message: `${call.path} failed: ${describeError(error)}` });
}

function failureKind(error: unknown): "notSent" | "tooLarge" | "noAnswer" {
    if (error instanceof TextTooLargeError || errorCode(error) === answerTooLargeCode) {
        return "tooLarge";
    }
    return connectErrorCodes.has(errorCode(error)) ? "notSent" : "noAnswer";
}

function errorCode(error: unknown): string {
    return error instanceof Error && "code" in error ? String(error.code) : "";
}

/** Returns the message of an error, or its code or name if the message is empty. */
export function describeError(error: unknown): string {
    if (!(error instanceof Error)) {
        return String(error);
    }
    return error.message === "" ? errorCode(error) || error.name : error.message;
}

/** Quotes the start of a text from the platform, for an error message. */
export function quote(text: string): string {
    return JSON.stringify(text.slice(0, maximumQuotedCharacters));
}
