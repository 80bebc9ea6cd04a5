/**
 * Keeps the connections of clients within a {@link ConnectionBudget}.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { CancelTimer, Clock, Milliseconds } from "../clock.js";
import type { Logger } from "../logger.js";
import { answerClientError } from "./clientErrors.js";
import { ConnectionBudget, type ConnectionLimits } from "./connectionBudget.js";
import { connectionReader } from "./connectionReader.js";

/** Interval at which the sizes of unfinished heads are added up. */
const sampleInterval: Milliseconds = 50;

/** Minimum interval between two log lines about closed connections. */
const logInterval: Milliseconds = 1_000;

/** Time after which a connection is closed that is no longer read: its client may connect again at once, which costs more. */
const closeDelay: Milliseconds = 1_000;

/** Why a connection was closed. The value is the label in metrics. */
export enum ClosedConnectionReason {
    TooManyConnections = "too_many_connections",
    UnfinishedHeads = "unfinished_heads",
    Pipelined = "pipelined",
    /** What was read and waits to be parsed exceeds its limit. */
    UnparsedBytes = "unparsed_bytes",
}

/** Dependencies of {@link BoundedConnections}. */
export interface BoundedConnectionsContext {
    readonly clock: Clock;
    readonly logger: Logger;
    /** Who connects, for log lines, such as "callers". */
    readonly clients: string;
    readonly limits: ConnectionLimits;
    /** Called for each connection that is closed since it exceeds a limit. */
    readonly onClosed: (reason: ClosedConnectionReason) => void;
    /** Called after the sizes of unfinished heads have been added up. */
    readonly onSample?: () => void;
}

/** The open connections of clients. */
export class BoundedConnections {
    private readonly budget: ConnectionBudget<Socket>;
    private cancelSample: CancelTimer | undefined;
    private nextLogAt: Milliseconds = -Infinity;
    private readonly closedCounts = new Map<ClosedConnectionReason, number>();
    /** The request whose head was read last on each connection. */
    private readonly latestRequests = new WeakMap<Socket, IncomingMessage>();

    constructor(private readonly context: BoundedConnectionsContext) {
        this.budget = new ConnectionBudget(context.limits);
    }

    /** Size in bytes of the heads that are being read. */
    get unfinishedBytes(): number {
        return this.budget.unfinishedBytes;
    }

    /** Number of open requests of a connection. */
    openRequests(socket: Socket): number {
        return this.budget.openRequests(socket);
    }

    /** Adds an accepted connection until it closes. If there are too many, one of them is closed. */
    add(socket: Socket): void {
        const now = this.context.clock.now();
        const leastActive = this.budget.open(socket, now);
        const isIncomplete = (other: Socket) => this.latestRequests.get(other)?.complete === false;
        // If all others have open requests, one whose body does not arrive gives way to the new connection.
        const victim = leastActive === socket
            ? this.budget.findStalled(isIncomplete, now) ?? socket
            : leastActive;
        socket.once("close", () => this.budget.remove(socket));
        if (victim !== undefined) {
            this.close(victim, ClosedConnectionReason.TooManyConnections);
        }
        this.scheduleSample();
    }

    /** Stops counting a connection that has been authenticated, so that it is no longer one of an unknown client. */
    release(socket: Socket): void {
        this.budget.remove(socket);
    }

    /** Number of connections that count. */
    get size(): number {
        return this.budget.size;
    }

    /** Records the head of a request. Returns false if its connection is closed or was closed now; it is not served then. */
    beginRequest(request: IncomingMessage): boolean {
        const { socket } = request;
        if (socket.destroyed) {
            return false;
        }
        this.latestRequests.set(socket, request);
        if (this.budget.beginRequest(socket, this.context.clock.now())) {
            return true;
        }
        this.close(socket, ClosedConnectionReason.Pipelined);
        return false;
    }

    /** Records that a response was sent or its connection has closed. */
    endRequest(socket: Socket): void {
        this.budget.endRequest(socket, socket.bytesRead, this.context.clock.now());
    }

    /**
     * Answers what cannot be parsed, and drops what follows. After a complete request that is still open the connection is closed
     * instead: a status would be read as the response to that request, which may run.
     */
    handleClientError(error: NodeJS.ErrnoException, socket: Socket): void {
        connectionReader.discard(socket);
        const open = this.budget.openRequests(socket);
        if (open > 1 || (open === 1 && this.latestRequests.get(socket)?.complete === true)) {
            socket.destroy();
            return;
        }
        answerClientError(error, socket);
    }

    /** Closes the connection with the most pipelined requests; returns false if there is none. */
    closeMostPipelined(): boolean {
        const victim = this.budget.findMostPipelined();
        if (victim === undefined) {
            return false;
        }
        this.close(victim, ClosedConnectionReason.Pipelined);
        return true;
    }

    /** Closes a connection of which too many bytes wait to be parsed. It has to be paused, and is closed after a moment. */
    closeUnparsed(socket: Socket): void {
        const cancel = this.context.clock.schedule(closeDelay, () => socket.destroy());
        socket.once("close", cancel);
        this.recordClosed(ClosedConnectionReason.UnparsedBytes);
    }

    private close(socket: Socket, reason: ClosedConnectionReason): void {
        socket.destroy();
        this.budget.remove(socket);
        this.recordClosed(reason);
    }

    private recordClosed(reason: ClosedConnectionReason): void {
        const { clients, clock, logger, onClosed } = this.context;
        onClosed(reason);
        const count = (this.closedCounts.get(reason) ?? 0) + 1;
        this.closedCounts.set(reason, count);
        const now = clock.now();
        if (now >= this.nextLogAt) {
            this.nextLogAt = now + logInterval;
            logger.warn(`closed connections of ${clients}`, { reason, total: count, open: this.budget.size });
        }
    }

    private scheduleSample(): void {
        this.cancelSample ??= this.context.clock.schedule(sampleInterval, () => {
            this.cancelSample = undefined;
            this.budget.sample((socket) => socket.bytesRead, this.context.clock.now())
                .forEach((socket) => this.close(socket, ClosedConnectionReason.UnfinishedHeads));
            this.context.onSample?.();
            if (this.budget.size > 0) {
                this.scheduleSample();
            }
        });
    }
}
