/**
 * Joins the small chunks of a message's body. The HTTP parser creates a buffer for each chunk, whatever its size, and a stream
 * that is not read at once keeps each of them: one read of 64 KB has up to eleven thousand chunks of a byte, which take
 * megabytes.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";

/** Chunks from this size in bytes on are passed on as they are. */
const smallBytes = 4_096;

/** Chunks of up to so many bytes are copied byte by byte: a call that copies takes longer. */
const fewBytes = 16;

/** Size in bytes of the buffers into which small chunks are copied. */
const joinedBytes = 16_384;

/**
 * Joins the small chunks of a message that the parser delivers in one turn, but for the first one, which is passed on at once.
 * Has to be called before the first chunk arrives. `onChunk` is called for each chunk of the parser.
 */
export function joinSmallChunks(message: IncomingMessage, onChunk: () => void = () => {}): void {
    if (message.headers["transfer-encoding"] === undefined) {
        // Other bodies are delivered as they were read.
        return;
    }
    const push = message.push.bind(message);
    const maxUnread = message.readableHighWaterMark;
    const joiner = new ChunkJoiner(
        (chunk) => void (message.destroyed || push(chunk)),
        () => message.readableLength,
    );
    message.push = (chunk: Buffer | null, encoding?: BufferEncoding) => {
        if (!chunk) {
            joiner.flush();
            return push(chunk, encoding);
        }
        onChunk();
        return joiner.add(chunk) < maxUnread;
    };
}

class ChunkJoiner {
    private joined: Buffer | undefined;
    private size = 0;
    private isInTurn = false;
    /** Number of bytes that had been passed on and not read at the latest one that was passed on. */
    private passedUnread = 0;

    constructor(
        private readonly push: (chunk: Buffer) => void,
        private readonly unreadBytes: () => number,
    ) {}

    /** Passes a chunk on, now or at the end of the turn; returns the number of bytes that have not been read yet. */
    add(chunk: Buffer): number {
        if (!this.isInTurn) {
            this.isInTurn = true;
            process.nextTick(() => {
                this.isInTurn = false;
                this.flush();
            });
            this.pass(chunk);
        }
        else if (chunk.length >= smallBytes) {
            this.flush();
            this.pass(chunk);
        }
        else {
            this.join(chunk);
        }
        return this.passedUnread + this.size;
    }

    /** Passes on what has been joined. */
    flush(): void {
        const { joined, size } = this;
        if (joined !== undefined) {
            this.joined = undefined;
            this.size = 0;
            this.pass(joined.subarray(0, size));
        }
    }

    private pass(bytes: Buffer): void {
        this.push(bytes);
        this.passedUnread = this.unreadBytes();
    }

    private join(chunk: Buffer): void {
        if (this.size + chunk.length > joinedBytes) {
            this.flush();
        }
        this.joined ??= Buffer.allocUnsafe(joinedBytes);
        if (chunk.length > fewBytes) {
            this.size += chunk.copy(this.joined, this.size);
            return;
        }
        for (const byte of chunk) {
            this.joined[this.size] = byte;
            this.size += 1;
        }
    }
}
