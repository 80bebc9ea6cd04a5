/**
 * One attempt at a request: sends it to the selected endpoint, checks the answer and forwards it.
 *
 * A whole answer is forwarded once it is complete and has the identifier of the request. A stream is forwarded event by
 * event from its first event on; if it is interrupted, a further attempt may continue it at another endpoint.
 *
 * @module
 */
import {
    ByteCollector,
    type CancelTimer,
    type Clock,
    EndpointExchange,
    type ExchangeRequest,
    recordReceivedBytes,
    RetryReason,
} from "@redwingpin/common";
import { Delivery } from "@redwingpin/fleet";
import type { ServerResponse } from "node:http";
import type { AnswerBuffer, AnswerBuffers } from "../decision/answerBuffers.js";
import type { AttemptOutcome } from "../decision/attemptPlan.js";
import type { Choice } from "../decision/endpointChoice.js";
import { EventStreamReader } from "../decision/eventStreamReader.js";
import type { AnswerMetadata, HeaderCodec } from "../headerCodec.js";
import { findInvalidField, headerValue, writeStreamHead, writeWholeAnswer } from "./answerWriter.js";
import type { DirectRequest } from "./callerRequest.js";

/** Maximum size of a whole answer. */
const maxAnswerBytes = 16_777_216;

const firstFinalStatus = 200;
const lastFinalStatus = 599;
const firstErrorStatus = 400;
const firstServerErrorStatus = 500;
const okStatus = 200;
const notModifiedStatus = 304;
const misdirectedStatus = 421;

/** Statuses by which callers know that a request has not run. */
export const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const noMetadata: AnswerMetadata = {
    sealed: false,
    notRun: false,
    signals: { leaving: false, unusable: [] },
};

/** Progress of a stream to the caller, over all attempts. */
export interface StreamProgress {
    /** True once the head has been written. */
    started: boolean;
    lastEvent: string | undefined;
    events: number;
}

/** Notifications of a running attempt. */
export interface AttemptObserver {
    /** The head of an answer to this request has arrived. */
    onHead(status: number, metadata: AnswerMetadata): void;
    /** The first event of this attempt or the whole answer has arrived. */
    onBegin(): void;
    /** The first event that the caller receives or the whole answer has arrived. */
    onFirstAnswer(metadata: AnswerMetadata): void;
    /** The connection is closed since the endpoint sent too much that is no part of a body. */
    onExcess(): void;
    /** The endpoint serves another version of the weights than expected. */
    onWeightsMismatch(metadata: AnswerMetadata): void;
}

/** Dependencies of an attempt. */
export interface AttemptContext {
    readonly clock: Clock;
    readonly headerCodec: HeaderCodec;
    readonly request: DirectRequest;
    readonly response: ServerResponse;
    readonly choice: Choice;
    readonly exchange: ExchangeRequest;
    readonly progress: StreamProgress;
    /** Bounds what all attempts buffer together. */
    readonly answerBuffers: AnswerBuffers;
    readonly observer: AttemptObserver;
    /** Ends the attempt, so that the request continues elsewhere. */
    readonly abandonment: AbortSignal;
}

/** Runs one attempt to its end. Rejects if a fault of the router ends it. */
export function runAttempt(context: AttemptContext): Promise<AttemptOutcome> {
    return new Promise((resolve, reject) => new Attempt(context, resolve, reject).start());
}

class Attempt {
    private readonly reader = new EventStreamReader();
    private readonly body = new ByteCollector();
    private readonly buffer: AnswerBuffer;
    private status = 0;
    private rawHeaders: readonly string[] = [];
    private metadata: AnswerMetadata = noMetadata;
    private isStreaming = false;
    private hasBegun = false;
    private isOver = false;
    private exchange: EndpointExchange | undefined;
    private cancelDeadline: CancelTimer = () => {};
    private removeLossListener: () => void = () => {};
    private readonly onDrain = () => this.exchange?.resume();
    private readonly onCallerClose = () => this.finish({ kind: "callerGone" });
    private readonly onAbandoned = () => this.finish(this.invalid("the endpoint is unresponsive"));

    constructor(
        private readonly context: AttemptContext,
        private readonly resolve: (outcome: AttemptOutcome) => void,
        private readonly reject: (error: unknown) => void,
    ) {
        this.buffer = context.answerBuffers.open(() =>
            this.finish(
                this.invalid("the answers that are buffered exceed their limit, and this one is the largest"),
            )
        );
    }

    start(): void {
        const { clock, request, response } = this.context;
        if (response.destroyed) {
            this.finish({ kind: "callerGone" });
            return;
        }
        response.on("drain", this.onDrain);
        response.on("close", this.onCallerClose);
        this.context.abandonment.addEventListener("abort", this.onAbandoned);
        const left = request.deadline - clock.now();
        this.cancelDeadline = clock.schedule(left, () => this.finish({ kind: "timedOut" }));
        if (request.route.repeatable) {
            this.removeLossListener = this.context.choice.endpointState.onLost(() =>
                this.finish(this.invalid("the endpoint was declared lost"))
            );
        }
        this.exchange = new EndpointExchange(this.context.exchange, {
            onHead: (status, rawHeaders, isReused) =>
                this.guard(() => this.onHead(status, rawHeaders, isReused)),
            onData: (chunk) => this.guard(() => this.onData(chunk)) ?? true,
            onEnd: () => this.guard(() => this.onEnd()),
            onExcess: () => this.guard(() => this.context.observer.onExcess()),
            onBroken: (detail, isSent) => this.guard(() => this.onBroken(detail, isSent)),
        });
    }

    /** Handles an event of the exchange. An exception there would end the process with the requests of all callers. */
    private guard<T>(handle: () => T): T | undefined {
        try {
            return handle();
        }
        catch (error) {
            this.reject(error);
            this.finish(this.invalid("the router failed while it handled the answer"));
            return undefined;
        }
    }

    private finish(outcome: AttemptOutcome): void {
        if (this.isOver) {
            return;
        }
        this.isOver = true;
        this.cancelDeadline();
        this.removeLossListener();
        this.context.response.off("drain", this.onDrain);
        this.context.response.off("close", this.onCallerClose);
        this.context.abandonment.removeEventListener("abort", this.onAbandoned);
        if (outcome.kind !== "delivered" && outcome.kind !== "failed" && outcome.kind !== "notRun") {
            this.exchange?.abort();
        }
        this.releaseBuffer(outcome);
        this.resolve(outcome);
    }

    /** A whole answer is buffered until the caller has received it. */
    private releaseBuffer(outcome: AttemptOutcome): void {
        const { response } = this.context;
        const isWhole = outcome.kind === "failed" || (outcome.kind === "delivered" && !this.isStreaming);
        if (isWhole && !response.destroyed) {
            this.buffer.onEvict(() => response.destroy());
            response.once("close", () => this.buffer.release());
        }
        else {
            this.buffer.release();
        }
    }

    private onHead(status: number, rawHeaders: readonly string[], isReused: boolean): void {
        const { choice, clock } = this.context;
        choice.endpointState.recordConnectResult(true);
        choice.endpointState.recordAnswerPart(clock.now());
        this.status = status;
        this.rawHeaders = rawHeaders;
        this.metadata = this.context.headerCodec.readAnswer(rawHeaders);
        const problem = this.findHeadProblem(isReused);
        if (problem !== undefined) {
            this.finish(this.invalid(problem));
            return;
        }
        this.context.observer.onHead(status, this.metadata);
        this.isStreaming = status === okStatus
            && this.context.request.route.delivery === Delivery.EventStream;
    }

    /** Reason why the answer can't be accepted for this request; `undefined` if there is none. */
    private findHeadProblem(isReused: boolean): string | undefined {
        const { metadata } = this;
        // The HTTP parser accepts any three digits, and `writeHead` throws for a status below 100.
        if (this.status < firstFinalStatus || this.status > lastFinalStatus) {
            return `${this.status} is not the status of an answer`;
        }
        const invalidField = findInvalidField(this.rawHeaders);
        if (invalidField !== undefined) {
            return `the answer has a field that HTTP does not allow: ${invalidField}`;
        }
        if (metadata.attempt !== undefined && metadata.attempt !== this.context.request.metadata.attempt) {
            return `the answer belongs to request "${metadata.attempt}"`;
        }
        if (metadata.attempt === undefined && isReused) {
            return "the answer on a reused connection does not state its request";
        }
        const statedBytes = this.statedBodyBytes();
        if (statedBytes > maxAnswerBytes) {
            return `the answer states ${statedBytes} bytes, more than ${maxAnswerBytes}`;
        }
        if (metadata.notRun) {
            return undefined;
        }
        if (this.status < firstErrorStatus && !metadata.sealed) {
            return `the answer of status ${this.status} has no seal of the endpoint`;
        }
        return headerValue(this.rawHeaders, "content-encoding") === undefined
            ? undefined
            : "the answer has a content encoding that was not requested";
    }

    /** Size of the body to buffer, as far as the head states it. */
    private statedBodyBytes(): number {
        const { request } = this.context;
        const isBuffered = request.method !== "HEAD" && this.status !== notModifiedStatus
            && request.route.delivery !== Delivery.EventStream;
        return isBuffered ? Number(headerValue(this.rawHeaders, "content-length") ?? 0) : 0;
    }

    private onData(chunk: Buffer): boolean {
        recordReceivedBytes(chunk.length);
        if (this.isOver) {
            return true;
        }
        this.context.choice.endpointState.recordAnswerPart(this.context.clock.now());
        if (this.isStreaming) {
            return this.forwardEvents(chunk);
        }
        this.body.append(chunk);
        if (this.body.length > maxAnswerBytes) {
            this.finish(this.invalid(`the answer has more than ${maxAnswerBytes} bytes`));
            return true;
        }
        this.buffer.resize(this.body.length);
        return true;
    }

    /** Forwards complete events; returns false if the caller's connection has to drain first. */
    private forwardEvents(chunk: Buffer): boolean {
        const { progress, response } = this.context;
        if (response.writableEnded) {
            // A stopping router has answered the request itself.
            this.finish({ kind: "callerGone" });
            return true;
        }
        const parts: Buffer[] = [];
        for (const event of this.reader.read(chunk)) {
            if (!this.hasBegun) {
                this.hasBegun = true;
                this.context.observer.onBegin();
            }
            if (this.isRepeated(event.identifier)) {
                continue;
            }
            if (!progress.started) {
                writeStreamHead(response, this.status, this.rawHeaders);
                progress.started = true;
            }
            if (progress.events === 0) {
                this.context.observer.onFirstAnswer(this.metadata);
            }
            progress.events += 1;
            progress.lastEvent = event.identifier ?? progress.lastEvent;
            parts.push(event.bytes);
        }
        this.buffer.resize(this.reader.bufferedBytes);
        // One write for all events of a chunk: each write allocates, and a chunk may have tens of thousands of events.
        const isWritable = parts.length === 0
            || response.write(parts.length === 1 ? parts[0] : Buffer.concat(parts));
        if (this.reader.isOverlong) {
            this.finish(this.invalid("an event, or the blank lines before one, exceed the maximum size"));
        }
        return isWritable;
    }

    /** True for an event of a resumed stream that the caller has already received. */
    private isRepeated(identifier: string | undefined): boolean {
        const last = this.context.progress.lastEvent;
        return identifier !== undefined && last !== undefined && Number(identifier) <= Number(last);
    }

    private onEnd(): void {
        if (this.isStreaming) {
            this.finish(this.endStream());
            return;
        }
        this.finish(this.endWholeAnswer());
    }

    private endStream(): AttemptOutcome {
        const { progress, response } = this.context;
        if (this.reader.hasPartialEvent) {
            return this.closed("the stream ended in the middle of an event");
        }
        // An endpoint that stops right after the head of an answer without a length looks the same as one that has no further
        // events.
        if (!progress.started || (!this.hasBegun && !hasLength(this.rawHeaders))) {
            return this.closed("the stream ended before its first event");
        }
        response.end(this.reader.trailingBlankLines);
        return { kind: "delivered" };
    }

    private endWholeAnswer(): AttemptOutcome {
        const { metadata, status } = this;
        if (metadata.notRun) {
            if (status === misdirectedStatus) {
                this.context.observer.onWeightsMismatch(metadata);
            }
            return { kind: "notRun", retryReason: notRunReason(status), reached: true };
        }
        const body = this.body.parts();
        if (status >= firstServerErrorStatus || notRunStatuses.has(status)) {
            return { kind: "failed", answer: { status, rawHeaders: this.rawHeaders, body } };
        }
        if (this.context.progress.started) {
            return this.invalid(`a resumed stream was answered with status ${status}`);
        }
        this.context.observer.onBegin();
        this.context.observer.onFirstAnswer(metadata);
        writeWholeAnswer(this.context.response, status, this.rawHeaders, body);
        return { kind: "delivered" };
    }

    /** Outcome if the answer can't be used although the endpoint did not close the connection. */
    private invalid(detail: string): AttemptOutcome {
        return { kind: "broken", detail, hasHead: this.status > 0, isClosed: false };
    }

    /** Outcome if the endpoint closed the connection before the answer was complete. */
    private closed(detail: string): AttemptOutcome {
        return { kind: "broken", detail, hasHead: this.status > 0, isClosed: true };
    }

    private onBroken(detail: string, isSent: boolean): void {
        this.finish(
            isSent
                ? this.closed(detail)
                : { kind: "notRun", retryReason: RetryReason.ConnectFailed, reached: false },
        );
    }
}

/** True if the end of the answer's body can be told from the end of its connection. */
function hasLength(rawHeaders: readonly string[]): boolean {
    return headerValue(rawHeaders, "content-length") !== undefined
        || headerValue(rawHeaders, "transfer-encoding") !== undefined;
}

function notRunReason(status: number): RetryReason {
    return status === misdirectedStatus
        ? RetryReason.AgentDeclinedVersion
        : RetryReason.AgentDeclinedQueueFull;
}
