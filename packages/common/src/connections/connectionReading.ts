/**
 * What was read from one connection and waits to be parsed.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Milliseconds } from "../clock.js";
import { OpenResponses } from "./openResponses.js";
import { SlicePace } from "./readTurns.js";

/** Size in bytes of what is dropped before a connection is closed: the largest legal body. */
const maxDiscardedBytes = 16_777_216;

/** Options of {@link ConnectionReading}. */
export interface ConnectionReadingOptions {
    /** Number of open requests from which on the next one waits for a response. */
    readonly maxOpenRequests: number;
    /** Bytes that wait may be parsed again. */
    readonly onUnblocked: () => void;
    readonly onHeld: (addedBytes: number) => void;
}

interface WaitingRead {
    readonly bytes: Buffer;
    readonly readAt: Milliseconds;
    /** Number of bytes that have been parsed. */
    parsed: number;
}

/** The reading of one connection; `deliver` parses bytes. */
export class ConnectionReading {
    readonly pace = new SlicePace();
    private waiting: WaitingRead[] = [];
    private held = 0;
    private sliceReadAt: Milliseconds | undefined;
    private latest: IncomingMessage | undefined;
    private readonly openResponses = new OpenResponses();
    private isHeld = false;
    private isDiscarding = false;
    private discardedBytes = 0;
    /** The server wants no bytes: responses, or parts of a body, have to be read first. */
    private isPausedByServer = false;
    private readonly pauseSocket: () => Socket;
    private readonly resumeSocket: () => Socket;

    constructor(
        readonly socket: Socket,
        private readonly deliver: (bytes: Buffer) => void,
        private readonly options: ConnectionReadingOptions,
    ) {
        this.pauseSocket = socket.pause.bind(socket);
        this.resumeSocket = socket.resume.bind(socket);
        // The server's parser fails on bytes that are passed on while the server has paused the connection.
        socket.pause = () => {
            this.isPausedByServer = true;
            return this.pauseSocket();
        };
        socket.resume = () => {
            this.isPausedByServer = false;
            if (!this.isHeld) {
                return this.resumeSocket();
            }
            this.options.onUnblocked();
            return socket;
        };
    }

    get hasBytes(): boolean {
        return this.waiting.length > 0;
    }

    /** Size of the reads that wait, in bytes; a read counts until all of it has been parsed. */
    get heldBytes(): number {
        return this.held;
    }

    /** Time at which the bytes that are being parsed were read. */
    get readTime(): Milliseconds | undefined {
        return this.sliceReadAt;
    }

    /** True if bytes wait and may be parsed. */
    get canParse(): boolean {
        return this.hasBytes && !this.isPausedByServer && !this.socket.destroyed
            && (this.openResponses.size < this.options.maxOpenRequests || this.latest?.complete === false);
    }

    /** True while a slice is being parsed. */
    get isParsing(): boolean {
        return this.sliceReadAt !== undefined;
    }

    /** True if the connection is not one of an ordinary client: its slices take many steps, or it sends requests ahead. */
    get mayBeClosed(): boolean {
        return this.pace.isHeavy || (this.openResponses.size > 0 && this.latest?.complete === true);
    }

    /** Adds what was read. */
    add(bytes: Buffer, readAt: Milliseconds): void {
        if (!this.isDiscarding) {
            this.waiting.push({ bytes, readAt, parsed: 0 });
            this.addHeld(bytes.length);
            return;
        }
        this.discardedBytes += bytes.length;
        if (this.discardedBytes > maxDiscardedBytes) {
            this.socket.destroy();
        }
    }

    /** Parses one slice. `takenSteps` returns the steps that it has taken. */
    parseSlice(takenSteps: () => number): void {
        const [read] = this.waiting;
        const isWhole = read.parsed === 0 && read.bytes.length <= this.pace.sliceBytes;
        const slice = isWhole
            ? read.bytes
            : read.bytes.subarray(read.parsed, read.parsed + this.pace.sliceBytes);
        read.parsed += slice.length;
        this.sliceReadAt = read.readAt;
        try {
            this.deliver(slice);
        }
        finally {
            this.sliceReadAt = undefined;
        }
        this.pace.record(slice.length, takenSteps(), this.latest?.complete === false);
        if (read.parsed === read.bytes.length && this.waiting.at(0) === read) {
            this.waiting.shift();
            this.addHeld(-read.bytes.length);
        }
    }

    /** Records that the head of a request was parsed. */
    beginRequest(request: IncomingMessage, response: ServerResponse): void {
        this.latest = request;
        this.openResponses.add(response, () => {
            if (this.isHeld) {
                this.options.onUnblocked();
            }
        });
    }

    /** Drops what waits and closes the responses that wait, since the connection has closed. */
    end(): void {
        this.discard();
        this.openResponses.closeWaiting();
    }

    /** Stops reading. */
    hold(): void {
        if (!this.isHeld) {
            this.isHeld = true;
            this.pauseSocket();
        }
    }

    /** Continues reading. */
    resume(): void {
        if (this.isHeld) {
            this.isHeld = false;
            if (!this.isPausedByServer) {
                this.resumeSocket();
            }
        }
    }

    /** Drops what waits and what is read from now on. */
    discard(): void {
        this.isDiscarding = true;
        this.waiting = [];
        this.addHeld(-this.held);
    }

    private addHeld(bytes: number): void {
        this.held += bytes;
        this.options.onHeld(bytes);
    }
}
