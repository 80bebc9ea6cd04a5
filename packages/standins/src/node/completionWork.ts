/**
 * Runs completions of the engine stand-in: waits for a slot, computes the prompt, and writes tokens at their pace.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type { ServerResponse } from "node:http";
import {
    type AnswerContext,
    doneEvent,
    tokenEvent,
    usageEvent,
    usageOf,
    wholeAnswer,
} from "./completionAnswer.js";
import { type CompletionPlan, type CompletionRequest, tokenSource } from "./completionText.js";
import type { ResolvedEngineOptions } from "./engineOptions.js";
import { sendJson, sleep } from "./httpListener.js";
import type { PrefixBlockCache } from "./prefixBlocks.js";
import { SlotQueue } from "./slotQueue.js";

/** One completion to run. */
export interface CompletionTask {
    readonly request: CompletionRequest;
    readonly plan: CompletionPlan;
    readonly isChat: boolean;
    readonly weights: string;
    /** Adapter on the weights; empty for none. */
    readonly adapter: string;
}

/** Completions so far, by what became of them. */
export interface WorkCounts {
    started: number;
    completed: number;
    cancelled: number;
    resumed: number;
    promptTokens: number;
    cachedTokens: number;
}

interface Run {
    readonly task: CompletionTask;
    readonly context: AnswerContext;
    readonly response: ServerResponse;
    readonly stop: AbortSignal;
    readonly cachedTokens: number;
}

const millisecondsPerSecond = 1_000;
const defaultPriority = 0;
/** Tokens after which other work gets its turn where tokens follow without a pause. */
const tokensPerTurn = 64;

/** The engine's running completions. */
export class CompletionWork {
    readonly counts: WorkCounts = {
        started: 0,
        completed: 0,
        cancelled: 0,
        resumed: 0,
        promptTokens: 0,
        cachedTokens: 0,
    };
    private readonly queue: SlotQueue;
    private readonly responses = new Set<ServerResponse>();
    private firstTokenMilliseconds: number;
    private betweenTokensMilliseconds: number;

    constructor(private readonly options: ResolvedEngineOptions, private readonly cache: PrefixBlockCache) {
        this.queue = new SlotQueue(options.slots);
        this.firstTokenMilliseconds = options.firstTokenMilliseconds;
        this.betweenTokensMilliseconds = options.betweenTokensMilliseconds;
    }

    setDelay(firstToken: number | undefined, betweenTokens: number | undefined): void {
        this.firstTokenMilliseconds = firstToken ?? this.firstTokenMilliseconds;
        this.betweenTokensMilliseconds = betweenTokens ?? this.betweenTokensMilliseconds;
    }

    load(): object {
        return { running: this.queue.running, waiting: this.queue.waitingCount };
    }

    /** Breaks every completion off. */
    abortAll(): void {
        this.responses.forEach((response) => response.destroy());
    }

    async run(task: CompletionTask, response: ServerResponse, stop: AbortSignal): Promise<void> {
        this.counts.started++;
        this.responses.add(response);
        response.once("close", () => this.responses.delete(response));
        if (await this.queue.acquire(task.request.priority ?? defaultPriority, stop)) {
            try {
                await this.answer(task, response, stop);
            }
            finally {
                this.queue.release();
            }
        }
        this.counts[stop.aborted ? "cancelled" : "completed"]++;
    }

    private async answer(task: CompletionTask, response: ServerResponse, stop: AbortSignal): Promise<void> {
        const cachedTokens = this.cache.use(task.plan.prompt, task.request.cache_salt ?? "");
        const missedTokens = Math.max(0, task.plan.promptTokens - cachedTokens);
        this.counts.promptTokens += task.plan.promptTokens;
        this.counts.cachedTokens += cachedTokens;
        this.counts.resumed += task.plan.firstToken > 0 ? 1 : 0;
        const prefillMilliseconds = missedTokens * millisecondsPerSecond
            / this.options.prefillTokensPerSecond;
        await sleep(this.firstTokenMilliseconds + prefillMilliseconds, stop);
        const run: Run = { task, context: contextOf(task), response, stop, cachedTokens };
        await (task.request.stream === true ? this.stream(run) : this.whole(run));
    }

    private async whole(run: Run): Promise<void> {
        const texts: string[] = [];
        for await (const text of this.tokens(run)) {
            texts.push(text);
        }
        if (!run.stop.aborted) {
            sendJson(run.response, 200, wholeAnswer(run.context, texts.join(""), usageOfRun(run)));
        }
    }

    private async stream(run: Run): Promise<void> {
        const { response, task: { plan, request } } = run;
        response.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-store" });
        response.flushHeaders();
        let index = plan.firstToken;
        for await (const text of this.tokens(run)) {
            index++;
            await write(response, tokenEvent(run.context, text, index === plan.maximumTokens), run.stop);
        }
        if (run.stop.aborted) {
            return;
        }
        if (request.stream_options?.include_usage) {
            await write(response, usageEvent(run.context, usageOfRun(run)), run.stop);
        }
        response.end(doneEvent);
    }

    private async *tokens(run: Run): AsyncGenerator<string> {
        const { plan, weights, adapter } = run.task;
        const tokenAt = tokenSource(weights, adapter, plan.prompt);
        for (let index = plan.firstToken; index < plan.maximumTokens && !run.stop.aborted; index++) {
            if (index > plan.firstToken && this.betweenTokensMilliseconds > 0) {
                await sleep(this.betweenTokensMilliseconds, run.stop);
            }
            else if (index % tokensPerTurn === 0) {
                await new Promise((resolve) => setImmediate(resolve));
            }
            yield tokenAt(index);
        }
    }
}

function contextOf(task: CompletionTask): AnswerContext {
    return {
        id: `cmpl-${randomUUID()}`,
        isChat: task.isChat,
        model: task.request.model ?? task.weights,
        weights: task.weights,
        createdSeconds: Math.floor(Date.now() / millisecondsPerSecond),
    };
}

function usageOfRun(run: Run) {
    const { promptTokens, maximumTokens, firstToken } = run.task.plan;
    return usageOf(promptTokens, Math.max(0, maximumTokens - firstToken), run.cachedTokens);
}

/** Writes and waits while the reader is slower. */
async function write(response: ServerResponse, text: string, stop: AbortSignal): Promise<void> {
    if (stop.aborted || response.write(text)) {
        return;
    }
    await new Promise<void>((resolve) => {
        const finish = () => {
            response.off("drain", finish);
            stop.removeEventListener("abort", finish);
            resolve();
        };
        response.once("drain", finish);
        stop.addEventListener("abort", finish, { once: true });
    });
}
