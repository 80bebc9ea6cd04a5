/**
 * Finds agents that have stopped answering: a connection with open exchanges that has been silent is asked for an
 * answer, and closed where none comes.
 *
 * @module
 */
import type { CancelTimer, Clock } from "@redwingpin/common";
import { type Connection, Topic } from "@redwingpin/protocol";
import { probeTimeoutMilliseconds, silenceBeforeProbeMilliseconds } from "../constants.js";

/** Probes silent connections. */
export class SilenceProbe {
    private readonly lastHeard = new Map<Connection, number>();
    private readonly probing = new Set<Connection>();
    private cancelTimer: CancelTimer = () => {};

    constructor(
        private readonly clock: Clock,
        private readonly busyConnections: () => readonly Connection[],
    ) {}

    start(): void {
        this.cancelTimer = this.clock.schedule(silenceBeforeProbeMilliseconds / 2, () => {
            this.look();
            this.start();
        });
    }

    stop(): void {
        this.cancelTimer();
    }

    /** Says that something arrived on a connection. */
    heard(connection: Connection): void {
        this.lastHeard.set(connection, this.clock.now());
    }

    /** Forgets a closed connection. */
    forget(connection: Connection): void {
        this.lastHeard.delete(connection);
        this.probing.delete(connection);
    }

    private look(): void {
        for (const connection of this.busyConnections()) {
            const heard = this.lastHeard.get(connection);
            if (heard === undefined) {
                this.heard(connection);
            }
            else if (
                this.clock.now() - heard >= silenceBeforeProbeMilliseconds && !this.probing.has(connection)
            ) {
                void this.probe(connection);
            }
        }
    }

    private async probe(connection: Connection): Promise<void> {
        this.probing.add(connection);
        const answer = await connection.call(Topic.Membership, { kind: "ping" }, probeTimeoutMilliseconds);
        this.probing.delete(connection);
        if (answer.isErr()) {
            connection.close();
        }
        else if (!connection.isClosed) {
            this.heard(connection);
        }
    }
}
