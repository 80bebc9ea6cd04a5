/**
 * One HTTP request to an endpoint and its answer.
 *
 * @module
 */
import { type Agent, type ClientRequest, type IncomingMessage, request as httpRequest } from "node:http";
import type { Milliseconds } from "./clock.js";
import { joinSmallChunks } from "./connections/smallChunks.js";
import { ResponseGuard } from "./responseGuard.js";

/** A live endpoint accepts a connection within milliseconds; one without power never answers. */
export const connectTimeoutMilliseconds = 350;

/** Time for which an endpoint that has answered may read the rest of the body. */
const unreadBodyTimeoutMilliseconds = 2_000;

/** A request body, whose memory its holders share. */
export interface ExchangeBody {
    hold(): void;
    release(): void;
    parts(): Buffer[];
}

/** The request to send. */
export interface ExchangeRequest {
    readonly endpoint: { readonly host: string; readonly port: number; };
    /** @default 350 */
    readonly connectTimeout?: Milliseconds;
    readonly method: string;
    /** Path and query as sent by the caller. */
    readonly url: string;
    /** Name, value, name, value. */
    readonly headers: readonly string[];
    readonly body: ExchangeBody;
    /** Pool of connections; if absent, a new connection is opened and closed after the answer. */
    readonly agent: Agent | undefined;
}

/** Receives the parts of an answer as they arrive. */
export interface ExchangeListener {
    /** `isReused` is true if the connection may have carried earlier answers. */
    onHead(status: number, rawHeaders: readonly string[], isReused: boolean): void;
    /** Returns false to pause the answer until {@link EndpointExchange.resume}. */
    onData(chunk: Buffer): boolean;
    /** The answer is complete. */
    onEnd(): void;
    /** The connection is closed since the endpoint sent too much that is no part of a body; also after the answer. */
    onExcess(): void;
    /**
     * The exchange failed before the answer was complete; `isSent` is false if no part of the request can have arrived.
     */
    onBroken(detail: string, isSent: boolean): void;
}

/** A running exchange. */
export class EndpointExchange {
    private readonly request: ClientRequest;
    private readonly guard: ResponseGuard;
    private answer: IncomingMessage | undefined;
    private releaseBody: () => void = () => {};
    private hasSocket = false;
    private isSent = false;
    private isReused = false;
    private isOver = false;
    private isAborted = false;
    /** The listener has paused the answer. */
    private isPaused = false;
    /** The answer waits for a later turn of the event loop. */
    private isWaitingForTurn = false;

    constructor(options: ExchangeRequest, private readonly listener: ExchangeListener) {
        this.request = httpRequest({
            host: options.endpoint.host,
            port: options.endpoint.port,
            method: options.method,
            path: options.url,
            headers: options.headers as unknown as NodeJS.Dict<string>,
            agent: options.agent ?? false,
            setHost: false,
        });
        const { host, port } = options.endpoint;
        this.guard = new ResponseGuard(this.request, `${host}:${port}`, {
            onExcess: () => this.endExcess(),
            onTurnEnd: () => this.waitForTurn(),
        });
        this.request.once("socket", (socket) => {
            this.hasSocket = true;
            if (socket.connecting) {
                const timeout = options.connectTimeout ?? connectTimeoutMilliseconds;
                const timer = setTimeout(() => this.fail(`no connection within ${timeout} ms`), timeout);
                socket.once("connect", () => this.isSent = true);
                socket.once("connect", () => clearTimeout(timer));
                socket.once("close", () => clearTimeout(timer));
            }
            else if (!socket.destroyed) {
                // A connection that failed immediately is destroyed already, and carries nothing.
                this.isSent = true;
                this.isReused = true;
            }
        });
        this.request.once("response", (answer) => this.onResponse(answer));
        this.request.once("upgrade", (_answer, socket) => {
            socket.destroy();
            this.fail("the endpoint switched to another protocol");
        });
        this.request.on("error", (error) => {
            // The parser fails on bytes that follow a complete answer in the same read. They belong to no request.
            if (this.answer?.complete !== true) {
                this.fail(error.message);
            }
        });
        this.request.once("close", () => {
            if (this.answer === undefined) {
                this.fail("the connection closed without an answer");
            }
        });
        this.sendBody(options.body);
    }

    /** Sends the body and holds it until it has been written, also if the endpoint answers earlier, or can't be any more. */
    private sendBody(body: ExchangeBody): void {
        const { request } = this;
        body.hold();
        this.releaseBody = () => {
            this.releaseBody = () => {};
            body.release();
        };
        request.once("finish", () => this.releaseBody());
        request.once("close", () => this.releaseBody());
        const parts = body.parts();
        const last = parts.pop();
        request.cork();
        parts.forEach((part) => request.write(part));
        request.end(last);
        request.uncork();
    }

    /** An endpoint that has answered may still read the body, but it may also never do so and hold the body's memory. */
    private limitUnreadBody(): void {
        const { request } = this;
        if (!request.writableFinished) {
            const timer = setTimeout(() => this.destroyRequest(), unreadBodyTimeoutMilliseconds);
            request.once("finish", () => clearTimeout(timer));
            request.once("close", () => clearTimeout(timer));
        }
    }

    /** Destroys the request. One that still waits for a connection writes nothing, and closes only when it gets one. */
    private destroyRequest(): void {
        this.request.destroy();
        if (!this.hasSocket) {
            this.releaseBody();
        }
    }

    /** Continues a paused answer. */
    resume(): void {
        this.isPaused = false;
        if (!this.isWaitingForTurn) {
            this.answer?.resume();
        }
    }

    /** Closes the connection; the listener is not called any more. */
    abort(): void {
        this.isOver = true;
        this.isAborted = true;
        this.destroyRequest();
    }

    private onResponse(answer: IncomingMessage): void {
        if (this.isOver) {
            return;
        }
        this.answer = answer;
        this.guard.observeResponse(answer);
        joinSmallChunks(answer);
        answer.on("data", (chunk: Buffer) => {
            this.guard.recordDelivered(chunk.length);
            if (!this.isOver && !this.listener.onData(chunk)) {
                this.isPaused = true;
                answer.pause();
            }
        });
        answer.on("error", (error) => this.fail(error.message));
        answer.on("end", () => {
            if (!answer.complete) {
                this.fail("the answer ended before it was complete");
            }
            else {
                this.end();
            }
        });
        answer.on("close", () => {
            if (!answer.readableEnded) {
                this.fail("the connection closed in the middle of the answer");
            }
        });
        this.listener.onHead(answer.statusCode ?? 0, answer.rawHeaders, this.isReused);
    }

    private end(): void {
        if (this.guard.wasReset) {
            this.fail("the connection was reset in the middle of an answer without a length");
        }
        else if (!this.isOver) {
            this.isOver = true;
            this.limitUnreadBody();
            this.listener.onEnd();
        }
    }

    private waitForTurn(): (() => void) | undefined {
        const { answer } = this;
        if (answer === undefined || this.isWaitingForTurn) {
            return undefined;
        }
        this.isWaitingForTurn = true;
        answer.pause();
        return () => {
            this.isWaitingForTurn = false;
            if (!this.isPaused) {
                answer.resume();
            }
        };
    }

    /** Also after the answer, while the rest of the request is sent. */
    private endExcess(): void {
        if (!this.isAborted) {
            this.listener.onExcess();
        }
        this.fail("the endpoint sent too many bytes that are no part of a body");
        this.abort();
    }

    private fail(detail: string): void {
        if (!this.isOver) {
            this.isOver = true;
            this.destroyRequest();
            this.listener.onBroken(detail, this.isSent);
        }
    }
}
