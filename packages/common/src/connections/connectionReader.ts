/**
 * Parses what arrives on the connections of HTTP servers in {@link ReadTurns}. A process has one reader for all its servers,
 * since they share the event loop.
 *
 * Node.js parses all bytes of a read at once. The reader takes the place of the server's `data` listener and passes the
 * bytes on to it in slices. While slices wait, the connection is not read.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { type Clock, type Milliseconds, systemClock } from "../clock.js";
import { ConnectionReading } from "./connectionReading.js";
import { ReadTurns, stepsOfRequest } from "./readTurns.js";
import { recordReceivedBytes } from "./receivedBytes.js";
import { joinSmallChunks } from "./smallChunks.js";

/** Maximum total size in bytes of the reads that wait to be parsed; a read has up to 64 KB. */
const defaultMaxHeldBytes = 2_097_152;

/** Options of {@link ConnectionReader}. */
export interface ConnectionReaderOptions {
    readonly clock: Clock;
    /** Runs a function in the next turn of the event loop. */
    readonly schedule: (run: () => void) => void;
    /** @default 2 MiB */
    readonly maxHeldBytes?: number;
}

/** Open requests of a connection from which on the next one waits for a response. Ordinary clients have one at a time. */
const defaultMaxOpenRequests = 8;

/** Options of the connections of one server. */
export interface ServerReadingOptions {
    /** @default 8 */
    readonly maxOpenRequests?: number;
    /**
     * Closes a connection, which is no longer read: the reads that wait to be parsed exceed their limit, and it is not one of an
     * ordinary client.
     */
    readonly closeExcessive: (socket: Socket) => void;
}

/** Reads the connections of a process. */
export class ConnectionReader {
    private readonly turns = new ReadTurns<ConnectionReading>();
    private readonly readings = new WeakMap<Socket, ConnectionReading>();
    /** Connections with bytes that wait to be parsed, and the options of their servers. */
    private readonly holding = new Map<ConnectionReading, ServerReadingOptions>();
    private readonly maxHeldBytes: number;
    private isScheduled = false;
    private heldBytes = 0;
    private steps = 0;

    constructor(private readonly options: ConnectionReaderOptions) {
        this.maxHeldBytes = options.maxHeldBytes ?? defaultMaxHeldBytes;
    }

    /** Reads the connections that a server accepts from now on. */
    attach(server: Server, options: ServerReadingOptions): void {
        server.on("connection", (socket) => this.open(socket, options));
        server.prependListener("request", (request, response) => this.beginRequest(request, response));
    }

    /** Time at which the bytes that are being parsed were read; `undefined` if no bytes of the connection are being parsed. */
    readTime(socket: Socket): Milliseconds | undefined {
        return this.readings.get(socket)?.readTime;
    }

    /** Drops what arrives on a connection from now on, without parsing it, and closes it after 16 MiB. */
    discard(socket: Socket): void {
        const reading = this.readings.get(socket);
        if (reading !== undefined) {
            reading.discard();
            this.remove(reading);
            reading.resume();
        }
    }

    private open(socket: Socket, options: ServerReadingOptions): void {
        const deliver = socket.listeners("data").at(0) as ((bytes: Buffer) => void) | undefined;
        if (deliver === undefined) {
            return;
        }
        const reading = new ConnectionReading(socket, (bytes) => deliver.call(socket, bytes), {
            maxOpenRequests: options.maxOpenRequests ?? defaultMaxOpenRequests,
            onUnblocked: () => this.advance(reading, options),
            onHeld: (addedBytes) => this.heldBytes += addedBytes,
        });
        this.readings.set(socket, reading);
        socket.off("data", deliver);
        socket.on("data", (bytes: Buffer) => this.receive(reading, bytes, options));
        socket.once("close", () => {
            reading.end();
            this.remove(reading);
        });
    }

    private remove(reading: ConnectionReading): void {
        this.turns.remove(reading);
        this.holding.delete(reading);
    }

    private beginRequest(request: IncomingMessage, response: ServerResponse): void {
        this.steps += stepsOfRequest(request.rawHeaders.length);
        joinSmallChunks(request, () => this.steps += 1);
        this.readings.get(request.socket)?.beginRequest(request, response);
    }

    private receive(reading: ConnectionReading, bytes: Buffer, options: ServerReadingOptions): void {
        recordReceivedBytes(bytes.length);
        reading.add(bytes, this.options.clock.now());
        this.advance(reading, options);
        if (this.heldBytes > this.maxHeldBytes) {
            this.closeLargest();
        }
    }

    /** Parses what waits on a connection now, if its slices are those of ordinary requests and no others wait; else in its turn. */
    private advance(reading: ConnectionReading, options: ServerReadingOptions): void {
        if (reading.isParsing) {
            return;
        }
        while (reading.canParse && !reading.pace.isHeavy && !this.turns.isBusy && !this.turns.isOver) {
            this.parseSlice(reading);
        }
        this.continue(reading, options);
    }

    /** Reads on, or puts the connection at the end of its queue if bytes are left to parse. */
    private continue(reading: ConnectionReading, options: ServerReadingOptions): void {
        if (!reading.hasBytes) {
            this.holding.delete(reading);
            reading.resume();
            return;
        }
        this.holding.set(reading, options);
        reading.hold();
        if (reading.canParse) {
            this.turns.add(reading, reading.pace.isHeavy);
            this.schedule();
        }
    }

    private parseSlice(reading: ConnectionReading): void {
        const before = this.steps;
        reading.parseSlice(() => this.steps - before);
        if (this.turns.record(this.steps - before)) {
            this.schedule();
        }
    }

    /** Closes the connection that holds most, but none of an ordinary client. */
    private closeLargest(): void {
        let largest: ConnectionReading | undefined;
        for (const reading of this.holding.keys()) {
            if (reading.mayBeClosed && reading.heldBytes > (largest?.heldBytes ?? 0)) {
                largest = reading;
            }
        }
        if (largest !== undefined) {
            const options = this.holding.get(largest);
            largest.discard();
            this.remove(largest);
            options?.closeExcessive(largest.socket);
        }
    }

    private schedule(): void {
        if (!this.isScheduled) {
            this.isScheduled = true;
            this.options.schedule(() => {
                this.isScheduled = false;
                this.runTurn();
            });
        }
    }

    private runTurn(): void {
        this.turns.beginTurn();
        for (let reading = this.turns.next(); reading !== undefined; reading = this.turns.next()) {
            const options = this.holding.get(reading);
            if (reading.canParse) {
                this.parseSlice(reading);
            }
            if (options !== undefined) {
                this.continue(reading, options);
            }
        }
        if (this.turns.isBusy) {
            this.schedule();
        }
    }
}

/** The reader of this process. */
export const connectionReader = new ConnectionReader({ clock: systemClock, schedule: setImmediate });
