/**
 * The body of a response as an asynchronous sequence of its chunks. It fails if the response was not complete.
 *
 * @module
 */

/** Size in bytes of the chunks that wait for their reader, above which the response is paused. */
const maxWaitingBytes = 65_536;

/** A body that is received while it is read. */
export class ResponseBody implements AsyncIterable<Buffer> {
    private readonly chunks: Buffer[] = [];
    private waitingBytes = 0;
    private isEnded = false;
    private failure: string | undefined;
    private wakeReader: (() => void) | undefined;

    /** `resume` continues a paused response; `abort` ends one whose reader has stopped. */
    constructor(private readonly resume: () => void, private readonly abort: () => void) {}

    /** Appends a chunk. Returns false to pause the response. */
    append(chunk: Buffer): boolean {
        this.chunks.push(chunk);
        this.waitingBytes += chunk.length;
        this.wakeReader?.();
        return this.waitingBytes < maxWaitingBytes;
    }

    /** The response is complete. */
    end(): void {
        this.isEnded = true;
        this.wakeReader?.();
    }

    /** The response is not complete. Chunks that wait are still read first. */
    fail(message: string): void {
        this.failure ??= message;
        this.wakeReader?.();
    }

    async *[Symbol.asyncIterator](): AsyncGenerator<Buffer> {
        try {
            while (this.chunks.length > 0 || !this.isEnded) {
                if (this.chunks.length === 0) {
                    if (this.failure !== undefined) {
                        throw new Error(this.failure);
                    }
                    await new Promise<void>((resolve) => this.wakeReader = resolve);
                    continue;
                }
                const waiting = Buffer.concat(this.chunks.splice(0));
                this.waitingBytes = 0;
                this.resume();
                yield waiting;
            }
        }
        finally {
            if (!this.isEnded) {
                this.abort();
            }
        }
    }
}
