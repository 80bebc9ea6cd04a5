/**
 * Bounds what callers make a router hold: connections, heads, bodies, and requests that they send ahead.
 *
 * @module
 */
import {
    BlockPool,
    type BodyRead,
    BoundedConnections,
    type Clock,
    connectionReader,
    type Logger,
    type Milliseconds,
    OpenBodies,
    openRequestBytes,
    openRequestLimit,
    readBody,
    RefusalReason,
    registerGauge,
} from "@redwingpin/common";
import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { Counter, type Registry } from "prom-client";
import { maxBodyBytes, maxPipelinedRequests, maxUnfinishedHeadBytes } from "../constants.js";
import { notRun, type Refusal } from "../decision/refusal.js";

/** Retry delay for callers for whose request there is no memory. */
const memoryRetryAfter: Milliseconds = 500;

/** A body is held as it arrived, and once more as it is passed on. */
const bodyCopies = 2;

/** Dependencies of {@link CallerLimits}. */
export interface CallerLimitsContext {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly registry: Registry;
    readonly maxConnections: number;
    /** Maximum total size in bytes of the request bodies that are held. */
    readonly maxBufferedBytes: number;
}

/** The limits of the callers' port of one router. */
export class CallerLimits {
    private readonly connections: BoundedConnections;
    private readonly bodies: BlockPool;
    private readonly openBodies = new OpenBodies();
    /** Estimated memory of the open requests without their bodies. */
    private headBytes = 0;
    private readonly maxHeadBytes = openRequestLimit();

    constructor(private readonly context: CallerLimitsContext) {
        const closed = new Counter({
            name: "redwingpin_caller_connections_closed_total",
            help: "Connections of callers that were closed since they exceeded a limit, by reason",
            labelNames: ["reason"],
            registers: [context.registry],
        });
        this.connections = new BoundedConnections({
            ...context,
            clients: "callers",
            limits: {
                maxConnections: context.maxConnections,
                maxUnfinishedBytes: maxUnfinishedHeadBytes,
                maxPipelined: maxPipelinedRequests,
            },
            onClosed: (reason) => closed.inc({ reason }),
            onSample: () => this.bodies.trim(),
        });
        this.bodies = new BlockPool(
            context.maxBufferedBytes / bodyCopies,
            () => this.connections.unfinishedBytes,
        );
        registerGauge(
            context.registry,
            "redwingpin_caller_open_request_bytes",
            "Estimated memory of the open requests of callers without their bodies",
            () => this.headBytes,
        );
        registerGauge(
            context.registry,
            "redwingpin_caller_body_bytes",
            "Memory that is reserved for the request bodies of callers",
            () => this.bodies.reservedBytes,
        );
    }

    /** Applies the limits to the connections that a server accepts. */
    attach(server: Server): void {
        server.on("connection", (socket: Socket) => this.connections.add(socket));
        server.on(
            "clientError",
            (error: NodeJS.ErrnoException, socket) =>
                this.connections.handleClientError(error, socket as Socket),
        );
        connectionReader.attach(server, {
            closeExcessive: (socket) => this.connections.closeUnparsed(socket),
        });
    }

    /** Records a request until its response has been sent. Returns false if its connection is closed; it is not served then. */
    begin(request: IncomingMessage, response: ServerResponse): boolean {
        const { socket } = request;
        if (!this.connections.beginRequest(request)) {
            return false;
        }
        const headBytes = openRequestBytes(request);
        this.headBytes += headBytes;
        response.once("close", () => {
            this.headBytes -= headBytes;
            this.connections.endRequest(socket);
        });
        return true;
    }

    /** Returns a refusal if the open requests need too much memory, and none of them can give way. */
    checkMemory(): Result<void, Refusal> {
        const isExceeded = this.headBytes > this.maxHeadBytes && !this.connections.closeMostPipelined()
            && !this.openBodies.yieldSlowest(this.context.clock.now());
        return isExceeded ? err(noMemory("the router serves too many requests at once")) : ok(undefined);
    }

    /** Reads a body; its memory counts until the response has been sent. Resolves with `undefined` if the caller has left. */
    async readBody(
        request: IncomingMessage,
        response: ServerResponse,
    ): Promise<Result<Buffer, Refusal> | undefined> {
        const { bodies: pool, openBodies } = this;
        const read = await readBody({
            request,
            pool,
            openBodies,
            limit: maxBodyBytes,
            clock: this.context.clock,
        });
        if (read.kind !== "read") {
            return refusalOfBody(read);
        }
        const { body } = read;
        if (response.destroyed) {
            body.release();
            return undefined;
        }
        response.once("close", () => body.release());
        return ok(Buffer.concat(body.parts()));
    }
}

function refusalOfBody(
    read: Exclude<BodyRead, { readonly kind: "read"; }>,
): Result<Buffer, Refusal> | undefined {
    switch (read.kind) {
        case "callerGone":
            return undefined;
        case "tooLarge":
            return err(
                notRun(
                    RefusalReason.BodyTooLarge,
                    `the body is larger than the limit of ${read.limit} bytes`,
                ),
            );
        case "noMemory":
            return err(noMemory("the router holds too many bytes of request bodies"));
        case "yielded":
            return err(noMemory("the body made no progress, and the router needs its memory"));
    }
}

function noMemory(message: string): Refusal {
    return notRun(RefusalReason.QueueFull, message, memoryRetryAfter);
}
