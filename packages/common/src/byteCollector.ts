/**
 * Collects bytes that arrive in chunks, such as the body of an answer. Small chunks are copied together: each chunk of an
 * HTTP parser is an object of some hundred bytes, whatever its size.
 *
 * @module
 */

/** Chunks below this size in bytes are copied together, into parts of this size. */
const partBytes = 16_384;

const initialPartBytes = 1_024;

/** Bytes that have arrived. */
export class ByteCollector {
    private readonly complete: Buffer[] = [];
    private last = Buffer.alloc(0);
    private lastSize = 0;
    private size = 0;

    /** Number of bytes. */
    get length(): number {
        return this.size;
    }

    /** Adds a chunk at the end; it must not change afterwards. */
    append(chunk: Buffer): void {
        this.size += chunk.length;
        if (chunk.length >= partBytes) {
            this.completePart();
            this.complete.push(chunk);
            return;
        }
        for (let copied = 0; copied < chunk.length;) {
            if (this.lastSize === partBytes) {
                this.completePart();
            }
            this.growPart(Math.min(partBytes, this.lastSize + chunk.length - copied));
            const count = chunk.copy(this.last, this.lastSize, copied);
            copied += count;
            this.lastSize += count;
        }
    }

    /** The contents, in order. */
    parts(): readonly Buffer[] {
        this.completePart();
        return this.complete;
    }

    private growPart(needed: number): void {
        if (this.last.length < needed) {
            const size = Math.min(partBytes, Math.max(initialPartBytes, needed, 2 * this.last.length));
            const grown = Buffer.allocUnsafeSlow(size);
            this.last.copy(grown, 0, 0, this.lastSize);
            this.last = grown;
        }
    }

    private completePart(): void {
        if (this.lastSize > 0) {
            this.complete.push(this.last.subarray(0, this.lastSize));
            this.last = Buffer.alloc(0);
            this.lastSize = 0;
        }
    }
}

/** A text has more bytes than its reader accepts. */
export class TextTooLargeError extends Error {}

/** Reads text of at most `maxBytes`. Rejects with {@link TextTooLargeError} if there is more, and stops reading then. */
export async function readText(chunks: AsyncIterable<Buffer>, maxBytes: number): Promise<string> {
    const bytes = new ByteCollector();
    for await (const chunk of chunks) {
        bytes.append(chunk);
        if (bytes.length > maxBytes) {
            throw new TextTooLargeError(`the answer has more than ${maxBytes} bytes`);
        }
    }
    return Buffer.concat(bytes.parts()).toString("utf8");
}
