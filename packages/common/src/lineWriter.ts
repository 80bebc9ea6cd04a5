/**
 * Writes log lines to a file descriptor without blocking the process. Lines are buffered and written in the
 * background; while the buffer is full because the reader is too slow, lines are dropped and counted.
 *
 * @module
 */
import { write, writeSync } from "node:fs";
import { Writable } from "node:stream";
import type { Clock, Milliseconds } from "./clock.js";

/** File descriptor of standard output. */
export const standardOutput = 1;

/** File descriptor of standard error. */
export const standardError = 2;

/** Time for which lines are collected before they are written together. */
const flushDelay: Milliseconds = 40;

/** Default size of the buffer in bytes. */
const maxPendingBytes = 262_144;

/** Options of {@link LineWriter}. */
export interface LineWriterOptions {
    readonly clock: Clock;
    readonly descriptor: number;
    /**
     * Size of the buffer in bytes. Lines that do not fit are dropped.
     * @default 262144
     */
    readonly maxBytes?: number;
}

/** A stream to which a logger writes its lines. */
export class LineWriter extends Writable {
    private pending: Buffer[] = [];
    private pendingBytes = 0;
    private omittedLines = 0;
    private isWriting = false;
    private isScheduled = false;

    constructor(private readonly options: LineWriterOptions) {
        super({ decodeStrings: true });
    }

    override _write(chunk: Buffer, _encoding: string, callback: () => void): void {
        if (this.pendingBytes + chunk.length > (this.options.maxBytes ?? maxPendingBytes)) {
            this.omittedLines += 1;
        }
        else {
            this.pending.push(chunk);
            this.pendingBytes += chunk.length;
            this.schedule();
        }
        callback();
    }

    /** Writes the buffered lines synchronously, at the end of the process. */
    flushSync(): void {
        const bytes = this.takePending();
        try {
            for (let written = 0; written < bytes.length;) {
                written += writeSync(this.options.descriptor, bytes, written);
            }
        }
        catch {
            // The reader has closed its end or does not read, and there is no other output to report this to.
        }
    }

    private schedule(): void {
        if (!this.isScheduled && !this.isWriting) {
            this.isScheduled = true;
            this.options.clock.schedule(flushDelay, () => this.flush());
        }
    }

    private flush(): void {
        this.isScheduled = false;
        const bytes = this.takePending();
        if (bytes.length > 0) {
            this.isWriting = true;
            this.writeAll(bytes);
        }
    }

    private writeAll(bytes: Buffer): void {
        write(this.options.descriptor, bytes, (error, written) => {
            if (!error && written < bytes.length) {
                this.writeAll(bytes.subarray(written));
                return;
            }
            this.isWriting = false;
            if (error?.code === "EAGAIN") {
                // Node.js makes pipes non-blocking, and the reader is behind.
                this.pending.unshift(bytes);
                this.pendingBytes += bytes.length;
            }
            if (this.pending.length > 0) {
                this.schedule();
            }
        });
    }

    private takePending(): Buffer {
        if (this.omittedLines > 0) {
            this.pending.push(
                Buffer.from(
                    `${
                        JSON.stringify({
                            level: "warn",
                            message: "log lines left out",
                            omitted: this.omittedLines,
                        })
                    }\n`,
                ),
            );
            this.omittedLines = 0;
        }
        const bytes = Buffer.concat(this.pending);
        this.pending = [];
        this.pendingBytes = 0;
        return bytes;
    }
}
