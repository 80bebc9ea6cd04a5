/**
 * Runs the engine stand-in's completions: waits for a slot, simulates the prefill, and sends tokens at a given rate.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type { ServerResponse } from "node:http";
import {
    type AnswerContext,
    createUsage,
    createWholeAnswer,
    doneEvent,
    formatTokenEvent,
    formatUsageEvent,
} from "./completionAnswer.js";
import { type CompletionPlan, type CompletionRequest, createTokenGenerator } from "./completionText.js";
import type { ResolvedEngineOptions } from "./engineOptions.js";
import { sendJson, sleep } from "./httpListener.js";
import type { PrefixBlockCache } from "./prefixBlockCache.js";
import { SlotQueue } from "./slotQueue.js";

/** One completion to run. */
export interface CompletionTask {
    readonly request: CompletionRequest;
    readonly plan: CompletionPlan;
    readonly isChat: boolean;
    readonly weights: string;
    /** Name of the adapter; empty for none. */
    readonly adapter: string;
}

/** Counts of completions by state, and of their tokens. */
export interface CompletionCounts {
    started: number;
    completed: number;
    cancelled: number;
    resumed: number;
    promptTokens: number;
    cachedTokens: number;
}

interface CompletionRun {
    readonly task: CompletionTask;
    readonly context: AnswerContext;
    readonly response: ServerResponse;
    readonly abortSignal: AbortSignal;
    readonly cachedTokens: number;
}

const millisecondsPerSecond = 1_000;
const defaultPriority = 0;
/** Without a delay between tokens, yields to the event loop after this many tokens. */
const tokensPerEventLoopTurn = 64;

/** Runs completions in a limited number of slots. */
export class CompletionRunner {
    readonly counts: CompletionCounts = {
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

    reportLoad(): object {
        return { running: this.queue.running, waiting: this.queue.waitingCount };
    }

    /** Closes the connection of every running or waiting completion. */
    abortAll(): void {
        this.responses.forEach((response) => response.destroy());
    }

    async run(task: CompletionTask, response: ServerResponse, abortSignal: AbortSignal): Promise<void> {
        this.counts.started++;
        this.responses.add(response);
        response.once("close", () => this.responses.delete(response));
        if (await this.queue.acquire(task.request.priority ?? defaultPriority, abortSignal)) {
            try {
                await this.answer(task, response, abortSignal);
            }
            finally {
                this.queue.release();
            }
        }
        this.counts[abortSignal.aborted ? "cancelled" : "completed"]++;
    }

    private async answer(
        task: CompletionTask,
        response: ServerResponse,
        abortSignal: AbortSignal,
    ): Promise<void> {
        const cachedTokens = this.cache.lookUpAndStore(task.plan.prompt, task.request.cache_salt ?? "");
        const uncachedTokens = Math.max(0, task.plan.promptTokens - cachedTokens);
        this.counts.promptTokens += task.plan.promptTokens;
        this.counts.cachedTokens += cachedTokens;
        this.counts.resumed += task.plan.firstTokenIndex > 0 ? 1 : 0;
        const prefillMilliseconds = uncachedTokens * millisecondsPerSecond
            / this.options.prefillTokensPerSecond;
        await sleep(this.firstTokenMilliseconds + prefillMilliseconds, abortSignal);
        const run: CompletionRun = {
            task,
            context: createContext(task),
            response,
            abortSignal,
            cachedTokens,
        };
        await (task.request.stream === true ? this.sendStream(run) : this.sendWhole(run));
    }

    private async sendWhole(run: CompletionRun): Promise<void> {
        const texts: string[] = [];
        for await (const text of this.generateTokens(run)) {
            texts.push(text);
        }
        if (!run.abortSignal.aborted) {
            sendJson(run.response, 200, createWholeAnswer(run.context, texts.join(""), usageOf(run)));
        }
    }

    private async sendStream(run: CompletionRun): Promise<void> {
        const { response, task: { plan, request } } = run;
        response.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-store" });
        response.flushHeaders();
        let index = plan.firstTokenIndex;
        for await (const text of this.generateTokens(run)) {
            index++;
            await writeWithBackpressure(
                response,
                formatTokenEvent(run.context, text, index === plan.maximumTokens),
                run.abortSignal,
            );
        }
        if (run.abortSignal.aborted) {
            return;
        }
        if (request.stream_options?.include_usage) {
            await writeWithBackpressure(
                response,
                formatUsageEvent(run.context, usageOf(run)),
                run.abortSignal,
            );
        }
        response.end(doneEvent);
    }

    private async *generateTokens(run: CompletionRun): AsyncGenerator<string> {
        const { plan, weights, adapter } = run.task;
        const tokenAt = createTokenGenerator(weights, adapter, plan.prompt);
        for (
            let index = plan.firstTokenIndex;
            index < plan.maximumTokens && !run.abortSignal.aborted;
            index++
        ) {
            if (index > plan.firstTokenIndex && this.betweenTokensMilliseconds > 0) {
                await sleep(this.betweenTokensMilliseconds, run.abortSignal);
            }
            else if (index % tokensPerEventLoopTurn === 0) {
                await new Promise((resolve) => setImmediate(resolve));
            }
            yield tokenAt(index);
        }
    }
}

function createContext(task: CompletionTask): AnswerContext {
    return {
        id: `cmpl-${randomUUID()}`,
        isChat: task.isChat,
        model: task.request.model ?? task.weights,
        weights: task.weights,
        createdSeconds: Math.floor(Date.now() / millisecondsPerSecond),
    };
}

function usageOf(run: CompletionRun) {
    const { promptTokens, maximumTokens, firstTokenIndex } = run.task.plan;
    return createUsage(promptTokens, Math.max(0, maximumTokens - firstTokenIndex), run.cachedTokens);
}

/** Writes a text. If the response's buffer is then full, waits until it drains or the signal aborts. */
async function writeWithBackpressure(
    response: ServerResponse,
    text: string,
    abortSignal: AbortSignal,
): Promise<void> {
    if (abortSignal.aborted || response.write(text)) {
        return;
    }
    await new Promise<void>((resolve) => {
        const finish = () => {
            response.off("drain", finish);
            abortSignal.removeEventListener("abort", finish);
            resolve();
        };
        response.once("drain", finish);
        abortSignal.addEventListener("abort", finish, { once: true });
    });
}
