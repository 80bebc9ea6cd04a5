/**
 * Detects unresponsive agents: probes a connection with open exchanges on which nothing was received for some time, and
 * closes it if the probe isn't answered.
 *
 * @module
 */
import type { CancelTimer, Clock } from "@redwingpin/common";
import { type Connection, Topic } from "@redwingpin/protocol";
import { idleBeforeProbeMilliseconds, probeTimeoutMilliseconds } from "../constants.js";

/** Probes idle connections with open exchanges. */
export class ConnectionProbe {
    private readonly lastReceivedAt = new Map<Connection, number>();
    private readonly probedConnections = new Set<Connection>();
    private cancelTimer: CancelTimer = () => {};

    constructor(
        private readonly clock: Clock,
        private readonly connectionsInUse: () => readonly Connection[],
    ) {}

    start(): void {
        this.cancelTimer = this.clock.schedule(idleBeforeProbeMilliseconds / 2, () => {
            this.checkConnections();
            this.start();
        });
    }

    stop(): void {
        this.cancelTimer();
    }

    /** Records that a message was received on a connection. */
    recordReceived(connection: Connection): void {
        this.lastReceivedAt.set(connection, this.clock.now());
    }

    /** Removes a closed connection. */
    removeConnection(connection: Connection): void {
        this.lastReceivedAt.delete(connection);
        this.probedConnections.delete(connection);
    }

    private checkConnections(): void {
        for (const connection of this.connectionsInUse()) {
            const receivedAt = this.lastReceivedAt.get(connection);
            if (receivedAt === undefined) {
                this.recordReceived(connection);
            }
            else if (
                this.clock.now() - receivedAt >= idleBeforeProbeMilliseconds
                && !this.probedConnections.has(connection)
            ) {
                void this.probe(connection);
            }
        }
    }

    private async probe(connection: Connection): Promise<void> {
        this.probedConnections.add(connection);
        const answer = await connection.call(Topic.Membership, { kind: "ping" }, probeTimeoutMilliseconds);
        this.probedConnections.delete(connection);
        if (answer.isErr()) {
            connection.close();
        }
        else if (!connection.isClosed) {
            this.recordReceived(connection);
        }
    }
}
