/**
 * Passes the answer of one request to its caller, over all attempts: short answers in one piece once they are
 * complete, completion streams event by event, long answers as they come.
 *
 * @module
 */
import type { HeaderField } from "@redwingpin/protocol";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { maxHeldAnswerBytes } from "../constants.js";
import { AnswerProgress } from "../decision/attemptLoop.js";
import { countTokens, errorEvent, EventStreamReader } from "../decision/eventStream.js";
import type { Refusal } from "../decision/refusal.js";

/** A complete answer that was held, for replay. */
export interface HeldAnswer {
    readonly status: number;
    readonly headers: readonly HeaderField[];
    readonly body: Buffer;
}

enum Mode {
    /** Held until it is complete. */
    Held,
    /** A completion stream, passed on in whole events. */
    Events,
    /** Passed on as it comes, because it is too long to hold. */
    Passing,
}

/** Options of {@link AnswerRelay}. */
export interface AnswerRelayOptions {
    /** True where the caller asked for a completion as a stream. */
    readonly isCompletionStream: boolean;
    /** Called once, when the first byte of the answer is sent. */
    readonly onFirstByte: () => void;
}

/** Owns the caller's response for the time of one request. */
export class AnswerRelay {
    private mode = Mode.Held;
    private status = 0;
    private headers: readonly HeaderField[] = [];
    private held: Uint8Array[] = [];
    private heldBytes = 0;
    private events = new EventStreamReader();
    private tokens = 0;
    private sawEnd = false;
    private committed = false;

    constructor(private readonly response: ServerResponse, private readonly options: AnswerRelayOptions) {}

    /** Tokens of a completion stream that the caller has been sent. */
    get deliveredTokens(): number {
        return this.tokens;
    }

    /** How much of the answer the caller has. */
    get progress(): AnswerProgress {
        if (!this.committed) {
            return AnswerProgress.Nothing;
        }
        return this.mode === Mode.Events ? AnswerProgress.Resumable : AnswerProgress.Partial;
    }

    /** True once the caller has a whole stream, also where the message that says so was lost. */
    get isWholeStream(): boolean {
        return this.mode === Mode.Events && this.sawEnd;
    }

    /** True once the caller has closed its connection. */
    get callerGone(): boolean {
        return this.response.destroyed && !this.response.writableFinished;
    }

    /** Starts the answer of an attempt; what an earlier attempt left unsent is dropped. */
    begin(status: number, headers: readonly HeaderField[]): void {
        this.held = [];
        this.heldBytes = 0;
        this.events = new EventStreamReader();
        if (this.committed) {
            return;
        }
        this.status = status;
        this.headers = headers;
        const streams = headers.some((header) =>
            header.name === "content-type" && header.value.startsWith("text/event-stream")
        );
        this.mode = this.options.isCompletionStream && streams && status === 200 ? Mode.Events : Mode.Held;
    }

    /** Takes in part of the answer; resolves when the caller has taken enough for more to come. */
    async write(data: Uint8Array): Promise<void> {
        switch (this.mode) {
            case Mode.Events:
                return this.writeEvents(data);
            case Mode.Passing:
                return this.pass(data);
            case Mode.Held:
                this.held.push(data);
                this.heldBytes += data.length;
                if (this.heldBytes > maxHeldAnswerBytes) {
                    return this.startPassing();
                }
        }
    }

    /** Ends the answer. Returns false where it is not complete, so that nothing was ended. */
    finish(): boolean {
        if (this.mode === Mode.Events && !this.sawEnd) {
            return false;
        }
        if (this.mode === Mode.Held) {
            this.sendHeld();
        }
        else {
            this.response.end();
        }
        return true;
    }

    /** The answer as it was held; absent where it was passed on in parts. */
    heldAnswer(): HeldAnswer | undefined {
        return this.mode === Mode.Held
            ? { status: this.status, headers: this.headers, body: Buffer.concat(this.held) }
            : undefined;
    }

    /** Tells the caller that the answer broke off; the connection closes without the end of the answer. */
    cut(refusal: Refusal): void {
        if (this.mode === Mode.Events && !this.response.destroyed) {
            this.response.write(errorEvent(refusal.reason, refusal.message), () => this.response.destroy());
            return;
        }
        this.response.destroy();
    }

    private async writeEvents(data: Uint8Array): Promise<void> {
        const events = this.events.read(data);
        if (events.length === 0 || this.sawEnd) {
            return;
        }
        this.commit();
        this.tokens += countTokens(events);
        this.sawEnd ||= events.some((event) => event.isEnd);
        await this.pass(events.map((event) => event.text).join(""));
    }

    private startPassing(): Promise<void> {
        const held = Buffer.concat(this.held);
        this.held = [];
        this.mode = Mode.Passing;
        this.commit();
        return this.pass(held);
    }

    private async pass(data: Uint8Array | string): Promise<void> {
        if (this.response.destroyed || this.response.write(data)) {
            return;
        }
        const settled = new AbortController();
        await Promise.race([
            once(this.response, "drain", { signal: settled.signal }).catch(() => undefined),
            once(this.response, "close", { signal: settled.signal }).catch(() => undefined),
        ]);
        settled.abort();
    }

    private commit(): void {
        if (!this.committed && !this.response.destroyed) {
            this.committed = true;
            this.options.onFirstByte();
            this.response.writeHead(this.status, flatHeaders(this.headers));
        }
    }

    private sendHeld(): void {
        const body = Buffer.concat(this.held);
        this.committed = true;
        this.options.onFirstByte();
        this.response.writeHead(this.status, [
            ...flatHeaders(this.headers),
            "content-length",
            String(body.length),
        ]);
        this.response.end(body);
    }
}

/** Header fields in the flat form that `node:http` writes. */
export function flatHeaders(headers: readonly HeaderField[]): string[] {
    return headers.flatMap((header) => [header.name, header.value]);
}
