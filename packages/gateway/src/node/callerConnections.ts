/**
 * Keeps the connections of callers within a {@link ConnectionBudget}.
 *
 * @module
 */
import type { CancelTimer, Clock, Logger, Milliseconds } from "@redwingpin/common";
import type { Socket } from "node:net";
import { ConnectionBudget, type ConnectionLimits } from "../decision/connectionBudget.js";
import type { GatewayMetrics } from "./gatewayMetrics.js";

/**
 * Defaults. Machines with few descriptors set a lower number of connections, so that some remain for endpoints, peers, the store
 * and the readiness port. The largest heads of 1,000 callers take 16 MB.
 */
export const defaultConnectionLimits: ConnectionLimits = {
    maxConnections: 2_000,
    maxUnfinishedBytes: 16_777_216,
    maxPipelined: 64,
};

/** Interval at which the sizes of unfinished heads are added up. */
const sampleInterval: Milliseconds = 50;

/** Maximum interval between two log lines about closed connections. */
const logInterval: Milliseconds = 1_000;

/** Why a connection was closed. The value is the label in metrics. */
export enum ClosedConnectionReason {
    TooManyConnections = "too_many_connections",
    UnfinishedHeads = "unfinished_heads",
    Pipelined = "pipelined",
}

/** Dependencies of {@link CallerConnections}. */
export interface CallerConnectionsContext {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Pick<GatewayMetrics, "clientLimits">;
    readonly limits: ConnectionLimits;
    /** Called after the sizes of unfinished heads have been added up. */
    readonly onSample?: () => void;
}

/** The open connections of callers. */
export class CallerConnections {
    private readonly budget: ConnectionBudget<Socket>;
    private cancelSample: CancelTimer | undefined;
    private nextLogAt: Milliseconds = -Infinity;
    private readonly closedCounts = new Map<ClosedConnectionReason, number>();

    constructor(private readonly context: CallerConnectionsContext) {
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
        const victim = this.budget.open(socket, this.context.clock.now());
        socket.once("close", () => this.remove(socket));
        if (victim !== undefined) {
            this.close(victim, ClosedConnectionReason.TooManyConnections);
        }
        this.scheduleSample();
    }

    /** Records the head of a request. Returns false if its connection is closed or was closed now; it is not served then. */
    beginRequest(socket: Socket): boolean {
        if (socket.destroyed) {
            return false;
        }
        if (this.budget.beginRequest(socket, this.context.clock.now())) {
            return true;
        }
        this.close(socket, ClosedConnectionReason.Pipelined);
        this.deferReads();
        return false;
    }

    /** Records that a response was sent or its connection has closed. */
    endRequest(socket: Socket): void {
        this.budget.endRequest(socket, socket.bytesRead, this.context.clock.now());
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

    /**
     * Reads nothing more until the connections that were closed in this turn of the event loop have been freed, which follows
     * its `setImmediate` callbacks. The requests of one read take some megabytes, and many reads may be due in a turn.
     */
    private deferReads(): void {
        const paused = [...this.budget.connections()].filter((socket) => !socket.isPaused());
        paused.forEach((socket) => socket.pause());
        setImmediate(() => setImmediate(() => paused.forEach((socket) => socket.resume())));
    }

    private remove(socket: Socket): void {
        this.budget.remove(socket);
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

    private close(socket: Socket, reason: ClosedConnectionReason): void {
        const { clock, logger, metrics } = this.context;
        socket.destroy();
        this.budget.remove(socket);
        metrics.clientLimits.recordClosedConnection(reason);
        const count = (this.closedCounts.get(reason) ?? 0) + 1;
        this.closedCounts.set(reason, count);
        const now = clock.now();
        if (now >= this.nextLogAt) {
            this.nextLogAt = now + logInterval;
            logger.warn("closed connections of callers", { reason, total: count, open: this.budget.size });
        }
    }
}
