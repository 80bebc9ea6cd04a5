/**
 * Bounds what clients' connections hold besides requests in service: the number of connections, the heads that are still
 * being read, and the requests that one connection has pipelined. What makes no progress gives way first.
 *
 * @module
 */
import type { Milliseconds } from "../clock.js";
import { stallGrace } from "./openBodies.js";

/** Limits of a {@link ConnectionBudget}. */
export interface ConnectionLimits {
    readonly maxConnections: number;
    /** Maximum total size in bytes of the heads that are being read. */
    readonly maxUnfinishedBytes: number;
    /** Maximum number of requests of one connection that are open at once. */
    readonly maxPipelined: number;
    /**
     * Whether connections with open requests give way to new ones: their responses are short, and only left unread.
     * @default false
     */
    readonly closesOpenRequests?: boolean;
}

interface ConnectionEntry {
    /** Number of requests that have begun and whose response has not been sent. */
    requests: number;
    /** Bytes that had been read when the latest request ended. */
    baseBytes: number;
    /** Bytes that had been read at the latest sample. */
    readBytes: number;
    /** Time at which the latest progress was seen. */
    progressAt: Milliseconds;
}

/** The connections of clients; `Connection` is the type by which they are known. */
export class ConnectionBudget<Connection> {
    private readonly entries = new Map<Connection, ConnectionEntry>();

    private totalUnfinishedBytes = 0;

    constructor(private readonly limits: ConnectionLimits) {}

    /** Total size in bytes of the heads that are being read, as of the latest sample, without those that had to be closed. */
    get unfinishedBytes(): number {
        return this.totalUnfinishedBytes;
    }

    /** Number of connections. */
    get size(): number {
        return this.entries.size;
    }

    /** Number of requests of a connection that have begun and whose response has not been sent. */
    openRequests(connection: Connection): number {
        return this.entries.get(connection)?.requests ?? 0;
    }

    /** All connections. */
    connections(): Iterable<Connection> {
        return this.entries.keys();
    }

    /** Adds a connection; the returned one, if any, has to be closed since there are too many. */
    open(connection: Connection, now: Milliseconds): Connection | undefined {
        this.entries.set(connection, { requests: 0, baseBytes: 0, readBytes: 0, progressAt: now });
        return this.entries.size > this.limits.maxConnections ? this.findLeastActive() : undefined;
    }

    /** Removes a connection that has closed. */
    remove(connection: Connection): void {
        this.entries.delete(connection);
    }

    /** Records that the head of a request was read; false if the connection has too many open requests. */
    beginRequest(connection: Connection, now: Milliseconds): boolean {
        const entry = this.entries.get(connection);
        if (entry === undefined) {
            return false;
        }
        entry.progressAt = now;
        entry.requests += 1;
        return entry.requests <= this.limits.maxPipelined;
    }

    /** Records that the response to a request was sent, when `readBytes` had been read from the connection. */
    endRequest(connection: Connection, readBytes: number, now: Milliseconds): void {
        const entry = this.entries.get(connection);
        if (entry !== undefined) {
            entry.requests -= 1;
            entry.baseBytes = readBytes;
            entry.readBytes = readBytes;
            entry.progressAt = now;
        }
    }

    /**
     * Records how many bytes have been read from each connection. Returns the connections that have to be closed, since their
     * unfinished heads, the largest ones, exceed the limit.
     */
    sample(readBytesOf: (connection: Connection) => number, now: Milliseconds): Connection[] {
        const unfinished: { readonly connection: Connection; readonly bytes: number; }[] = [];
        let total = 0;
        for (const [connection, entry] of this.entries) {
            const readBytes = readBytesOf(connection);
            if (readBytes !== entry.readBytes) {
                entry.readBytes = readBytes;
                entry.progressAt = now;
            }
            const bytes = unfinishedBytes(entry);
            if (bytes > 0) {
                unfinished.push({ connection, bytes });
                total += bytes;
            }
        }
        const closed: Connection[] = [];
        if (total > this.limits.maxUnfinishedBytes) {
            unfinished.sort((left, right) => right.bytes - left.bytes);
            while (total > this.limits.maxUnfinishedBytes) {
                const { bytes, connection } = unfinished[closed.length];
                total -= bytes;
                closed.push(connection);
            }
        }
        this.totalUnfinishedBytes = total;
        return closed;
    }

    /** The connection with the most open requests, if it has pipelined some. */
    findMostPipelined(): Connection | undefined {
        let found: Connection | undefined;
        let most = 1;
        for (const [connection, { requests }] of this.entries) {
            if (requests > most) {
                found = connection;
                most = requests;
            }
        }
        return found;
    }

    /**
     * The connection without progress for longest, and for the grace period at least, of those with one open request that has not
     * arrived completely. Those whose request is being served make no progress either.
     */
    findStalled(
        isIncomplete: (connection: Connection) => boolean,
        now: Milliseconds,
    ): Connection | undefined {
        let found: Connection | undefined;
        let earliest = now - stallGrace;
        for (const [connection, { progressAt, requests }] of this.entries) {
            if (requests === 1 && progressAt <= earliest && isIncomplete(connection)) {
                found = connection;
                earliest = progressAt;
            }
        }
        return found;
    }

    /**
     * The connection that may give way and has been without progress for longest. One with an unfinished head comes before
     * others. The latest connection is returned if none of the others may give way.
     */
    private findLeastActive(): Connection | undefined {
        let found: Connection | undefined;
        let foundEntry: ConnectionEntry | undefined;
        for (const [connection, entry] of this.entries) {
            const mayGiveWay = entry.requests === 0 || this.limits.closesOpenRequests === true;
            if (mayGiveWay && (foundEntry === undefined || isLessActive(entry, foundEntry))) {
                found = connection;
                foundEntry = entry;
            }
        }
        return found;
    }
}

function unfinishedBytes({ baseBytes, readBytes, requests }: ConnectionEntry): number {
    return requests === 0 ? readBytes - baseBytes : 0;
}

function isLessActive(left: ConnectionEntry, right: ConnectionEntry): boolean {
    const isLeftUnfinished = unfinishedBytes(left) > 0;
    return isLeftUnfinished === unfinishedBytes(right) > 0
        ? left.progressAt < right.progressAt
        : isLeftUnfinished;
}
