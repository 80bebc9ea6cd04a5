/**
 * The agent's side of one exchange: receives the body, queues the request, runs it at the endpoint at most once and
 * streams the answer to the router as its credit allows.
 *
 * @module
 */
import { type Clock, type Milliseconds, RefusalReason } from "@redwingpin/common";
import {
    answerWindowBytes,
    bodyPartBytes,
    type Connection,
    DeclineReason,
    type EndpointStatus,
    MessageKind,
    type Open,
} from "@redwingpin/protocol";
import { findCachedTokens } from "../decision/cachedTokens.js";
import type { EndpointAnswer, EndpointClient } from "./endpointClient.js";
import type { EngineCacheTracker } from "./engineCacheTracker.js";
import type { RequestScheduler, WaitingRequest } from "./requestScheduler.js";
import type { SuspectIsolation } from "./suspectIsolation.js";

/** Dependencies of an exchange in its agent. */
export interface ExchangeContext {
    readonly clock: Clock;
    readonly endpoint: EndpointClient;
    readonly scheduler: RequestScheduler;
    readonly suspectIsolation: SuspectIsolation;
    readonly status: () => EndpointStatus;
    readonly cache: EngineCacheTracker;
    /** Tokens in one prefix block. */
    readonly blockTokens: number;
    /** Called with the head of each answer; `sentAt` is when its request was sent. */
    readonly onAnswer: (answer: EndpointAnswer, sentAt: Milliseconds) => void;
    readonly onDeclined: (reason: DeclineReason) => void;
    /** Called once, when the exchange has ended. */
    readonly onEnded: (exchange: ExchangeTask) => void;
}

enum Stage {
    Receiving,
    Waiting,
    Running,
    Ended,
}

/** Runs one attempt at one request. */
export class ExchangeTask {
    private readonly bodyParts: Uint8Array[] = [];
    private readonly abortController = new AbortController();
    private readonly deadline: number;
    private readonly id: string;
    private receivedBytes = 0;
    private stage = Stage.Receiving;
    private creditBytes = answerWindowBytes;
    private resumeSending: (() => void) | undefined;
    private isCancelled = false;
    private isComplete = false;
    private incarnation: string | undefined;
    private isPendingInCache = false;

    constructor(
        private readonly connection: Connection,
        readonly open: Open,
        private readonly context: ExchangeContext,
    ) {
        this.deadline = context.clock.now() + open.deadlineMilliseconds;
        this.id = `${open.request}/${open.attempt}`;
    }

    /** True while the endpoint may be running the request. */
    get isRunning(): boolean {
        return this.stage === Stage.Running;
    }

    /** Handles a part of the body; queues the request once the body is complete. */
    receive(data: Uint8Array | undefined): void {
        if (this.stage !== Stage.Receiving) {
            return;
        }
        if (data !== undefined) {
            this.bodyParts.push(data);
            this.receivedBytes += data.length;
        }
        if (this.receivedBytes > this.open.bodyBytes) {
            this.decline(DeclineReason.Malformed);
        }
        else if (this.receivedBytes === this.open.bodyBytes) {
            this.enqueue();
        }
    }

    /** Ends the exchange without running the request. */
    decline(reason: DeclineReason): void {
        this.context.onDeclined(reason);
        this.end({
            kind: MessageKind.Decline,
            exchange: this.open.exchange,
            reason,
            status: this.context.status(),
        });
    }

    /** Allows the agent to send `bytes` more of the answer. */
    addCredit(bytes: number): void {
        this.creditBytes += bytes;
        this.resumeSending?.();
    }

    /** Handles the router's cancellation. A running call that isn't idempotent is not interrupted. */
    cancel(): void {
        this.isCancelled = true;
        this.resumeSending?.();
        if (this.stage === Stage.Waiting && this.context.scheduler.remove(this.id)) {
            this.decline(DeclineReason.DeadlineExceeded);
        }
        else if (this.stage === Stage.Receiving) {
            this.decline(DeclineReason.Malformed);
        }
        else if (this.open.idempotent) {
            this.abortController.abort();
        }
    }

    private enqueue(): void {
        this.stage = Stage.Waiting;
        this.isPendingInCache = true;
        this.context.cache.addPendingPrompt(this.open.prefixBlocks);
        const waiting: WaitingRequest = {
            id: this.id,
            account: this.open.account,
            tokens: this.expectedTokens(),
            priority: this.open.priority,
            deadline: this.deadline,
            start: () => this.enterIsolationGate(),
            decline: (reason) => this.decline(reason),
        };
        this.context.scheduler.submit(waiting).mapErr((reason) => this.decline(reason));
    }

    private enterIsolationGate(): void {
        this.context.suspectIsolation.enter({
            id: this.id,
            fingerprint: this.open.fingerprint,
            isIsolated: this.open.apart === true,
            start: () => void this.run(),
            decline: () => {
                this.decline(DeclineReason.Quarantined);
                this.context.scheduler.recordFinished(this.id);
            },
        });
    }

    /** Expected tokens of work for the endpoint: cached tokens cost nothing. */
    private expectedTokens(): number {
        const cachedTokens = this.context.cache.hitBlocks(this.open.prefixBlocks) * this.context.blockTokens;
        return Math.max(1, this.open.tokens - cachedTokens);
    }

    private async run(): Promise<void> {
        this.stage = Stage.Running;
        this.incarnation = this.context.suspectIsolation.incarnation;
        const hitBlocks = this.context.cache.hitBlocks(this.open.prefixBlocks);
        const cancelDeadline = this.context.clock.schedule(
            this.deadline - this.context.clock.now(),
            () => this.open.idempotent && this.abortController.abort(),
        );
        const sentAt = this.context.clock.now();
        const answer = await this.context.endpoint.send({
            method: this.open.method,
            path: this.open.path,
            headers: this.open.headers,
            body: Buffer.concat(this.bodyParts),
            signal: this.abortController.signal,
        });
        if (answer.isErr()) {
            await this.endWithoutAnswer(answer.error.mayHaveRun, answer.error.message);
        }
        else {
            this.context.onAnswer(answer.value, sentAt);
            await this.relayAnswer(answer.value, hitBlocks);
        }
        cancelDeadline();
        this.context.scheduler.recordFinished(this.id);
        this.context.suspectIsolation.leave(this.id, this.isComplete);
    }

    private async endWithoutAnswer(mayHaveRun: boolean, message: string): Promise<void> {
        if (!mayHaveRun) {
            this.decline(DeclineReason.EndpointDown);
            return;
        }
        await this.failInterrupted(message);
    }

    /** Fails the exchange. If the endpoint's crash ended it, the crash is reported to the routers first. */
    private async failInterrupted(message: string): Promise<void> {
        if (!this.abortController.signal.aborted) {
            await this.context.suspectIsolation.reportIfCrashed(this.incarnation);
        }
        this.fail(message);
    }

    private async relayAnswer(answer: EndpointAnswer, hitBlocks: number): Promise<void> {
        const { exchange } = this.open;
        this.context.scheduler.recordAnswered(this.id);
        this.removePendingPrompt(true);
        this.connection.send({
            kind: MessageKind.Head,
            exchange,
            status: answer.status,
            headers: answer.headers,
            hitBlocks,
        });
        let chunks = 0;
        try {
            for await (const data of answer.body) {
                this.recordCachedTokens(data);
                for (const part of splitIntoParts(data)) {
                    await this.waitForCredit(part.length);
                    if (!this.isCancelled) {
                        this.connection.send({
                            kind: MessageKind.Chunk,
                            exchange,
                            sequence: chunks++,
                            data: part,
                        });
                    }
                }
            }
        }
        catch (error) {
            await this.failInterrupted(`the endpoint's answer was interrupted: ${String(error)}`);
            return;
        }
        this.isComplete = true;
        this.end({ kind: MessageKind.End, exchange, chunks, status: this.context.status() });
    }

    private async waitForCredit(bytes: number): Promise<void> {
        while (this.creditBytes <= 0 && !this.isCancelled) {
            await new Promise<void>((resolve) => {
                this.resumeSending = resolve;
            });
        }
        this.creditBytes -= bytes;
        await this.connection.whenWritable();
    }

    /** Corrects the cache model by the engine's own count of cached tokens. */
    private recordCachedTokens(data: Buffer): void {
        const cachedTokens = this.open.prefixBlocks.length > 0 ? findCachedTokens(data) : undefined;
        if (cachedTokens !== undefined) {
            this.context.cache.recordHit(
                this.open.prefixBlocks,
                Math.floor(cachedTokens / this.context.blockTokens),
            );
        }
    }

    private removePendingPrompt(answered: boolean): void {
        if (this.isPendingInCache) {
            this.isPendingInCache = false;
            this.context.cache.removePendingPrompt(this.open.prefixBlocks, answered);
        }
    }

    private fail(message: string): void {
        const { exchange } = this.open;
        const isExpired = this.context.clock.now() >= this.deadline;
        const reason = isExpired ? RefusalReason.DeadlineExceeded : RefusalReason.EndpointFailed;
        this.end({
            kind: MessageKind.Failed,
            exchange,
            mayHaveRun: true,
            reason,
            message,
            status: this.context.status(),
        });
    }

    private end(message: Parameters<Connection["send"]>[0]): void {
        if (this.stage === Stage.Ended) {
            return;
        }
        this.stage = Stage.Ended;
        this.removePendingPrompt(false);
        this.connection.send(message);
        this.context.onEnded(this);
    }
}

function* splitIntoParts(data: Buffer): Generator<Buffer> {
    for (let start = 0; start < data.length; start += bodyPartBytes) {
        yield data.subarray(start, start + bodyPartBytes);
    }
}
