/**
 * Writes log lines to a file descriptor without ever blocking the process: lines are gathered and written in the
 * background, and counted and left out while the reader falls behind.
 *
 * @module
 */
import { write, writeSync } from "node:fs";
import { Writable } from "node:stream";
import type { Clock, Milliseconds } from "./clock.js";

/** File descriptor of standard output. */
export const standardOutput = 1;

/** Lines wait at most this long before they are written. */
const gatherTime: Milliseconds = 40;

/** Bytes that wait at most; lines beyond are left out. */
const maxWaitingBytes = 262_144;

/** Options of {@link LineWriter}. */
export interface LineWriterOptions {
    readonly clock: Clock;
    readonly descriptor: number;
    /**
     * Bytes that wait at most.
     * @default 262144
     */
    readonly maxBytes?: number;
}

/** A stream of lines for a logger. */
export class LineWriter extends Writable {
    private waiting: Buffer[] = [];
    private waitingBytes = 0;
    private omitted = 0;
    private isWriting = false;
    private scheduled = false;

    constructor(private readonly options: LineWriterOptions) {
        super({ decodeStrings: true });
    }

    override _write(chunk: Buffer, _encoding: string, callback: () => void): void {
        if (this.waitingBytes + chunk.length > (this.options.maxBytes ?? maxWaitingBytes)) {
            this.omitted += 1;
        }
        else {
            this.waiting.push(chunk);
            this.waitingBytes += chunk.length;
            this.schedule();
        }
        callback();
    }

    /** Writes what waits, at the end of the process. */
    flushSync(): void {
        const bytes = this.take();
        try {
            writeSync(this.options.descriptor, bytes);
        }
        catch {
            // The reader is gone or does not read; there is nobody to tell.
        }
    }

    private schedule(): void {
        if (!this.scheduled && !this.isWriting) {
            this.scheduled = true;
            this.options.clock.schedule(gatherTime, () => this.flush());
        }
    }

    private flush(): void {
        this.scheduled = false;
        const bytes = this.take();
        if (bytes.length > 0) {
            this.isWriting = true;
            this.writeOut(bytes);
        }
    }

    private writeOut(bytes: Buffer): void {
        write(this.options.descriptor, bytes, (error, written) => {
            if (!error && written < bytes.length) {
                this.writeOut(bytes.subarray(written));
                return;
            }
            this.isWriting = false;
            if (this.waiting.length > 0) {
                this.schedule();
            }
        });
    }

    private take(): Buffer {
        if (this.omitted > 0) {
            this.waiting.push(
                Buffer.from(
                    `${
                        JSON.stringify({
                            level: "warn",
                            message: "log lines left out",
                            omitted: this.omitted,
                        })
                    }\n`,
                ),
            );
            this.omitted = 0;
        }
        const bytes = Buffer.concat(this.waiting);
        this.waiting = [];
        this.waitingBytes = 0;
        return bytes;
    }
}
