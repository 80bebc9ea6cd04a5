/**
 * HTTP server for the callers of direct routes.
 *
 * @module
 */
import {
    type BlockBody,
    BlockPool,
    type BodyReadOptions,
    BoundedConnections,
    type Clock,
    type ConnectionLimits,
    connectionReader,
    listenOn,
    type Logger,
    type Milliseconds,
    OpenBodies,
    openRequestBytes,
    openRequestLimit,
    readBody,
    RefusalReason,
    sleep,
} from "@redwingpin/common";
import type { CallerLimits } from "@redwingpin/fleet";
import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import type { RequestOutcome } from "../decision/attemptPlan.js";
import type { RequestTimeLimits } from "../decision/stopPolicy.js";
import type { HeaderCodec } from "../headerCodec.js";
import { untilSent, writeOwnAnswer } from "./answerWriter.js";
import { refusalOfBody } from "./bodyRefusals.js";
import {
    checkComplete,
    type CheckContext,
    type CheckedHead,
    checkHead,
    requestDeadline,
} from "./callerChecks.js";
import type { DirectRequest } from "./callerRequest.js";
import { defaultConnectionLimits } from "./connectionLimits.js";
import type { GatewayMetrics } from "./gatewayMetrics.js";
import { RequestRefusals, type RequestTimings, roundedTimings } from "./requestRefusals.js";
import { RequestTurns } from "./requestTurns.js";
import { refusalOf } from "./serverRefusals.js";

/** Maximum header size of the HTTP parser; the limit of the configuration is checked afterwards. */
const maxHeaderBytes = 65_536;

/** Interval at which the server checks for requests that take too long to arrive. */
const timeoutCheckInterval: Milliseconds = 1_000;

/** Maximum time for a request to arrive with its body. */
const requestTimeout: Milliseconds = 30_000;

/** Maximum time for accepting the connections that wait when the port closes. */
const maxAcceptTime: Milliseconds = 500;

/** Retry delay for callers when too many requests are open. */
const memoryRetryAfter: Milliseconds = 500;

/** Dependencies of the server. */
export interface DirectServerContext {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: GatewayMetrics;
    readonly headerCodec: HeaderCodec;
    readonly checks: CheckContext;
    /**
     * The latest time at which the current turn of the event loop can have begun; requests that are read in it had arrived.
     * @default now
     */
    readonly turnStartedBy?: () => Milliseconds;
    /** True while the process is stopping: each connection closes after its answer. */
    readonly isStopping: () => boolean;
    /** False if a request with these time limits might not end before the process has to stop. */
    readonly accepts: (limits: RequestTimeLimits) => boolean;
    /**
     * Maximum total of what open requests need without their bodies, in bytes.
     * @default a share of the heap's limit
     */
    readonly maxHeadBytes?: number;
    /** Maximum total size of buffered request bodies, in bytes. */
    readonly maxBufferedBytes: number;
    /** Limits of callers' connections; a default is used for each that is absent. */
    readonly connectionLimits?: Partial<ConnectionLimits>;
    readonly serve: (request: DirectRequest, response: ServerResponse) => Promise<RequestOutcome>;
    /** Returns the tokens that were charged for a request that has not run. */
    readonly refund: (request: DirectRequest) => void;
}

/** Serves callers. */
export class DirectServer {
    private readonly server: Server;
    /** The caller's attempt of each request that is being served, by its answer. */
    private readonly pendingAnswers = new Map<ServerResponse, string>();
    private readonly bodies: BlockPool;
    private readonly turns: RequestTurns;
    private readonly connections: BoundedConnections;
    private readonly openBodies = new OpenBodies();
    private readonly bodyOptions: Pick<BodyReadOptions, "pool" | "openBodies" | "clock">;
    private readonly refusals: RequestRefusals;
    private acceptedConnections = 0;
    /** Time at which each connection that has brought no request yet was accepted. */
    private readonly unusedConnections = new Map<Socket, Milliseconds>();
    private running = 0;
    private arrived = 0;
    /** Number of answers that have been written, but may not have been sent. */
    private unsentAnswers = 0;
    /** Estimated memory of the open requests without their bodies. */
    private headBytes = 0;
    private readonly maxHeadBytes: number;

    constructor(private readonly context: DirectServerContext) {
        this.bodies = new BlockPool(context.maxBufferedBytes, () => this.connections.unfinishedBytes);
        this.bodyOptions = { pool: this.bodies, openBodies: this.openBodies, clock: context.clock };
        this.turns = new RequestTurns(context.clock);
        this.connections = new BoundedConnections({
            ...context,
            clients: "callers",
            onClosed: (reason) => context.metrics.clientLimits.recordClosedConnection(reason),
            limits: { ...defaultConnectionLimits, ...context.connectionLimits },
            onSample: () => this.bodies.trim(),
        });
        this.refusals = new RequestRefusals(context);
        this.maxHeadBytes = context.maxHeadBytes ?? openRequestLimit();
        this.server = createServer({
            maxHeaderSize: maxHeaderBytes,
            connectionsCheckingInterval: timeoutCheckInterval,
            requestTimeout,
        }, (request, response) => void this.handle(request, response));
        connectionReader.attach(this.server, {
            closeExcessive: (socket) => this.connections.closeUnparsed(socket),
        });
        context.metrics.observeWaiting(() => this.turns.waiting);
        this.server.on("connection", (socket) => {
            this.acceptedConnections += 1;
            this.connections.add(socket);
            this.unusedConnections.set(socket, context.clock.now());
            socket.once("close", () => this.unusedConnections.delete(socket));
            context.metrics.recordConnection();
            this.turns.recordConnection();
        });
        this.server.on(
            "clientError",
            (error: NodeJS.ErrnoException, socket) =>
                this.connections.handleClientError(error, socket as Socket),
        );
    }

    /** Number of requests that are being served. */
    get runningRequests(): number {
        return this.running;
    }

    /** Number of requests whose head was read since the start. */
    get arrivedRequests(): number {
        return this.arrived;
    }

    /** True if requests are running, or a connection was accepted within `age` and has brought none yet. */
    isInUse(age: Milliseconds): boolean {
        const earliest = this.context.clock.now() - age;
        return this.running > 0
            || [...this.unusedConnections.values()].some((acceptedAt) => acceptedAt > earliest);
    }

    /** Size in bytes of the request bodies that are buffered. */
    get bufferedBodyBytes(): number {
        return this.bodies.reservedBytes;
    }

    /** Applies the limits of a configuration. */
    setLimits(limits: CallerLimits): void {
        this.server.headersTimeout = limits.headerTimeout;
        this.server.keepAliveTimeout = limits.idleTimeout;
    }

    /** Starts listening; resolves with the port, which differs from the given one only if that is 0. */
    listen(host: string, port: number): Promise<number> {
        return listenOn(this.server, host, port, this.context);
    }

    /**
     * Accepts the connections that the operating system has completed, and reads the requests that have arrived. Each turn of
     * the event loop accepts one connection; resolves after the first turn that accepted none, or after half a second.
     */
    async acceptPending(): Promise<void> {
        const { clock } = this.context;
        const end = clock.now() + maxAcceptTime;
        let before: number;
        do {
            before = this.acceptedConnections;
            await endOfTurn();
        }
        while (this.acceptedConnections !== before && clock.now() < end);
    }

    /** Stops accepting connections and closes the idle ones. */
    closeIdle(): void {
        if (this.server.listening) {
            // The HTTP server's own `close` also closes connections on which the end of an answer has not been sent yet.
            NetServer.prototype.close.call(this.server);
        }
        if (this.unsentAnswers === 0) {
            this.server.closeIdleConnections();
        }
    }

    /**
     * Answers the requests that are still running and whose answer has not begun: they may have run. Those that still wait
     * to be served are refused. Resolves when the answers to running ones have been sent, or after `timeout`.
     */
    async answerRunning(timeout: Milliseconds): Promise<void> {
        const { clock, headerCodec, logger, metrics } = this.context;
        const sent: Promise<unknown>[] = [];
        this.turns.stop();
        // The refusals are written by then.
        await endOfTurn();
        for (const [response, attempt] of this.pendingAnswers) {
            if (response.headersSent || response.destroyed) {
                continue;
            }
            sent.push(once(response, "close"));
            metrics.recordRefusal(RefusalReason.OutcomeUnknown);
            logger.warn("stopped before the answer arrived", { request: attempt });
            writeOwnAnswer(response, {
                status: 502,
                code: RefusalReason.OutcomeUnknown,
                message: "the router had to stop before the answer arrived; the request may have run",
                headers: { ...headerCodec.ownAnswerHeaders(attempt), connection: "close" },
            });
        }
        await Promise.race([Promise.all(sent), sleep(clock, timeout)]);
    }

    /** Closes all connections immediately. */
    stop(): void {
        this.closeIdle();
        this.server.closeAllConnections();
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const { clock, turnStartedBy } = this.context;
        const { socket } = request;
        if (!this.connections.beginRequest(request)) {
            return;
        }
        const readAt = connectionReader.readTime(socket) ?? clock.now();
        const arrival = Math.min(readAt, turnStartedBy?.() ?? readAt);
        this.unusedConnections.delete(socket);
        response.on("error", () => response.destroy());
        // An answer that began before the stop leaves its connection open for one more request: closing it here could cut
        // off a request that has already arrived.
        if (this.context.isStopping()) {
            response.setHeader("connection", "close");
        }
        this.running += 1;
        this.arrived += 1;
        const headBytes = openRequestBytes(request);
        this.headBytes += headBytes;
        const identity: { attempt?: string; } = {};
        try {
            await this.serve(request, response, arrival, identity);
        }
        catch (error) {
            this.refusals.answerInternalError(request, response, error, identity.attempt);
        }
        finally {
            this.unsentAnswers += 1;
            await untilSent(request, response);
            this.unsentAnswers -= 1;
            this.running -= 1;
            this.headBytes -= headBytes;
            this.connections.endRequest(socket);
        }
    }

    /** Serves a request, and sets its attempt in `identity` as soon as it is known. */
    private async serve(
        request: IncomingMessage,
        response: ServerResponse,
        arrival: Milliseconds,
        identity: { attempt?: string; },
    ): Promise<void> {
        if (this.headBytes > this.maxHeadBytes && !this.releaseMemory()) {
            const message = "the router serves too many requests at once";
            this.refusals.refuse(request, response, {
                status: 503,
                reason: RefusalReason.QueueFull,
                message,
                retryAfter: memoryRetryAfter,
            });
            return;
        }
        const head = checkHead(this.context.checks, request);
        if (head.isErr()) {
            // A turn must not grow with the number of refused requests either.
            await this.turns.wait(request, response, arrival + requestTimeout);
            this.refusals.refuse(request, response, head.error);
            return;
        }
        const { attempt, maxWait } = head.value.metadata;
        identity.attempt = attempt;
        if (!this.context.accepts({ timeout: head.value.route.timeout, maxWait })) {
            const message = "the router is stopping; retry at another router";
            this.refusals.refuse(request, response, {
                status: 503,
                reason: RefusalReason.Stopping,
                message,
                retryAfter: 0,
                attempt,
            });
            return;
        }
        const limit = head.value.table.configuration.limits.bodyBytes;
        const read = await readBody({ ...this.bodyOptions, request, limit });
        if (read.kind === "callerGone") {
            return;
        }
        if (read.kind !== "read") {
            this.refusals.refuse(request, response, refusalOfBody(read, attempt));
            return;
        }
        const { body } = read;
        const timings: RequestTimings = { read: this.context.clock.now() - arrival };
        try {
            if (await this.isAdmitted(head.value, request, response, arrival, timings)) {
                await this.serveComplete(head.value, request, response, body, arrival, timings);
            }
        }
        finally {
            body.release();
        }
    }

    /** Ends one request that holds memory without progress; returns false if there is none. */
    private releaseMemory(): boolean {
        return this.connections.closeMostPipelined()
            || this.openBodies.yieldSlowest(this.context.clock.now());
    }

    /** Waits for the turn of a request. Resolves with false if it is not to be served; it has been answered then. */
    private async isAdmitted(
        head: CheckedHead,
        request: IncomingMessage,
        response: ServerResponse,
        arrival: Milliseconds,
        timings: RequestTimings,
    ): Promise<boolean> {
        const { clock, logger, metrics } = this.context;
        const { attempt } = head.metadata;
        const start = clock.now();
        const admission = await this.turns.wait(request, response, requestDeadline(head, arrival));
        const waited = clock.now() - start;
        timings.queued = waited;
        metrics.recordWait(admission.kind, waited);
        if (admission.kind === "serve") {
            return true;
        }
        if (admission.kind === "callerGone") {
            logger.info("caller left before its request was served", {
                request: attempt,
                waited: Math.round(waited),
            });
            return false;
        }
        const { random } = this.context.checks;
        this.refusals.refuse(request, response, { ...refusalOf(admission, random()), status: 503, attempt });
        return false;
    }

    private async serveComplete(
        head: CheckedHead,
        request: IncomingMessage,
        response: ServerResponse,
        body: BlockBody,
        arrival: Milliseconds,
        timings: RequestTimings,
    ): Promise<void> {
        const { checks, clock, logger } = this.context;
        const start = clock.now();
        const checked = await checkComplete(checks, head, request, body, arrival);
        timings.charged = clock.now() - start;
        if (checked.isErr()) {
            this.refusals.refuse(request, response, checked.error, timings);
            return;
        }
        const accepted = checked.value;
        this.pendingAnswers.set(response, accepted.metadata.attempt);
        const outcome = await this.context.serve(accepted, response)
            .finally(() => this.pendingAnswers.delete(response));
        if (outcome.kind === "refused") {
            this.context.refund(accepted);
        }
        logger.info("request", {
            request: accepted.metadata.attempt,
            route: accepted.route.name,
            service: accepted.service.name,
            account: accepted.account?.name,
            outcome: outcome.kind,
            reason: outcome.kind === "refused" ? outcome.reason : undefined,
            detail: outcome.kind === "unknown" ? outcome.detail : undefined,
            tokens: accepted.tokens,
            took: Math.round(clock.now() - arrival),
            ...roundedTimings(timings),
            configuration: accepted.table.configuration.version,
        });
    }
}

/** Resolves at the end of a turn of the event loop, after input has been read. */
function endOfTurn(): Promise<void> {
    return new Promise((resolve) => {
        setImmediate(resolve);
    });
}
