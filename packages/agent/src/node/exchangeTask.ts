/**
 * One exchange at the agent: it collects the body, waits for its turn, runs the request at the endpoint at most
 * once and streams the answer back no faster than the router allows.
 *
 * @module
 */
import { type Clock, RefusalReason } from "@redwingpin/common";
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
import type { EndpointCache } from "./endpointCache.js";
import type { EndpointAnswer, EndpointClient } from "./endpointClient.js";
import type { RequestScheduler, WaitingRequest } from "./requestScheduler.js";
import type { SuspectIsolation } from "./suspectIsolation.js";

/** What an exchange needs from its agent. */
export interface ExchangeContext {
    readonly clock: Clock;
    readonly endpoint: EndpointClient;
    readonly scheduler: RequestScheduler;
    readonly gate: SuspectIsolation;
    readonly status: () => EndpointStatus;
    readonly cache: EndpointCache;
    /** Tokens in one prefix block. */
    readonly blockTokens: number;
    readonly onDeclined: (reason: DeclineReason) => void;
    /** Called once when nothing more follows. */
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
    private readonly parts: Uint8Array[] = [];
    private readonly abort = new AbortController();
    private readonly deadline: number;
    private readonly id: string;
    private received = 0;
    private stage = Stage.Receiving;
    private credit = answerWindowBytes;
    private wakeForCredit: (() => void) | undefined;
    private abandoned = false;
    private complete = false;
    private incarnation: string | undefined;
    private awaitsCache = false;

    constructor(
        private readonly connection: Connection,
        readonly open: Open,
        private readonly context: ExchangeContext,
    ) {
        this.deadline = context.clock.now() + open.deadlineMilliseconds;
        this.id = `${open.request}/${open.attempt}`;
    }

    /** True while the request may be at the endpoint. */
    get isRunning(): boolean {
        return this.stage === Stage.Running;
    }

    /** Takes in part of the body; the request is queued once the body is complete. */
    receive(data: Uint8Array | undefined): void {
        if (this.stage !== Stage.Receiving) {
            return;
        }
        if (data !== undefined) {
            this.parts.push(data);
            this.received += data.length;
        }
        if (this.received > this.open.bodyBytes) {
            this.decline(DeclineReason.Malformed);
        }
        else if (this.received === this.open.bodyBytes) {
            this.enqueue();
        }
    }

    /** Ends the exchange without running it. */
    decline(reason: DeclineReason): void {
        this.context.onDeclined(reason);
        this.end({
            kind: MessageKind.Decline,
            exchange: this.open.exchange,
            reason,
            status: this.context.status(),
        });
    }

    /** Allows `bytes` more of the answer. */
    allow(bytes: number): void {
        this.credit += bytes;
        this.wakeForCredit?.();
    }

    /** The router has no use for the answer. A call that may not be repeated runs to its end all the same. */
    cancel(): void {
        this.abandoned = true;
        this.wakeForCredit?.();
        if (this.stage === Stage.Waiting && this.context.scheduler.withdraw(this.id)) {
            this.decline(DeclineReason.DeadlineExceeded);
        }
        else if (this.stage === Stage.Receiving) {
            this.decline(DeclineReason.Malformed);
        }
        else if (this.open.idempotent) {
            this.abort.abort();
        }
    }

    private enqueue(): void {
        this.stage = Stage.Waiting;
        this.awaitsCache = true;
        this.context.cache.awaited(this.open.prefixBlocks);
        const waiting: WaitingRequest = {
            id: this.id,
            account: this.open.account,
            tokens: this.expectedTokens(),
            priority: this.open.priority,
            deadline: this.deadline,
            start: () => this.enterGate(),
            refuse: (reason) => this.decline(reason),
        };
        this.context.scheduler.submit(waiting).mapErr((reason) => this.decline(reason));
    }

    private enterGate(): void {
        this.context.gate.enter({
            id: this.id,
            fingerprint: this.open.fingerprint,
            apart: this.open.apart === true,
            start: () => void this.run(),
            refuse: () => {
                this.decline(DeclineReason.Quarantined);
                this.context.scheduler.finished(this.id);
            },
        });
    }

    /** Tokens of work that the endpoint is expected to spend: what its cache holds costs nothing. */
    private expectedTokens(): number {
        const held = this.context.cache.hitBlocks(this.open.prefixBlocks) * this.context.blockTokens;
        return Math.max(1, this.open.tokens - held);
    }

    private async run(): Promise<void> {
        this.stage = Stage.Running;
        this.incarnation = this.context.gate.incarnation;
        const hitBlocks = this.context.cache.hitBlocks(this.open.prefixBlocks);
        const cancelDeadline = this.context.clock.schedule(
            this.deadline - this.context.clock.now(),
            () => this.open.idempotent && this.abort.abort(),
        );
        const answer = await this.context.endpoint.send({
            method: this.open.method,
            path: this.open.path,
            headers: this.open.headers,
            body: Buffer.concat(this.parts),
            signal: this.abort.signal,
        });
        if (answer.isErr()) {
            await this.endWithoutAnswer(answer.error.mayHaveRun, answer.error.message);
        }
        else {
            await this.relay(answer.value, hitBlocks);
        }
        cancelDeadline();
        this.context.scheduler.finished(this.id);
        this.context.gate.leave(this.id, this.complete);
    }

    private async endWithoutAnswer(mayHaveRun: boolean, message: string): Promise<void> {
        if (!mayHaveRun) {
            this.decline(DeclineReason.EndpointDown);
            return;
        }
        await this.breakOff(message);
    }

    /** Fails the exchange, after the routers have been told of a crash that ended it. */
    private async breakOff(message: string): Promise<void> {
        if (!this.abort.signal.aborted) {
            await this.context.gate.brokeOff(this.incarnation);
        }
        this.fail(message);
    }

    private async relay(answer: EndpointAnswer, hitBlocks: number): Promise<void> {
        const { exchange } = this.open;
        this.context.scheduler.answered(this.id);
        this.settleCache(true);
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
                this.learnFromUsage(data);
                for (const part of partsOf(data)) {
                    await this.waitForRoom(part.length);
                    if (!this.abandoned) {
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
            await this.breakOff(`the endpoint's answer broke off: ${String(error)}`);
            return;
        }
        this.complete = true;
        this.end({ kind: MessageKind.End, exchange, chunks, status: this.context.status() });
    }

    private async waitForRoom(bytes: number): Promise<void> {
        while (this.credit <= 0 && !this.abandoned) {
            await new Promise<void>((resolve) => {
                this.wakeForCredit = resolve;
            });
        }
        this.credit -= bytes;
        await this.connection.whenWritable();
    }

    /** The engine's own count of what its cache held corrects the model. */
    private learnFromUsage(data: Buffer): void {
        const cachedTokens = this.open.prefixBlocks.length > 0 ? findCachedTokens(data) : undefined;
        if (cachedTokens !== undefined) {
            this.context.cache.hit(
                this.open.prefixBlocks,
                Math.floor(cachedTokens / this.context.blockTokens),
            );
        }
    }

    private settleCache(answered: boolean): void {
        if (this.awaitsCache) {
            this.awaitsCache = false;
            this.context.cache.settled(this.open.prefixBlocks, answered);
        }
    }

    private fail(message: string): void {
        const { exchange } = this.open;
        const expired = this.context.clock.now() >= this.deadline;
        const reason = expired ? RefusalReason.DeadlineExceeded : RefusalReason.EndpointFailed;
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
        this.settleCache(false);
        this.connection.send(message);
        this.context.onEnded(this);
    }
}

function* partsOf(data: Buffer): Generator<Buffer> {
    for (let start = 0; start < data.length; start += bodyPartBytes) {
        yield data.subarray(start, start + bodyPartBytes);
    }
}
