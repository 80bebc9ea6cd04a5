/**
 * A simulated model engine: continuous batching in steps, chunked prefill of missed blocks in order of arrival, one
 * output token per step for each decoding request, a block cache, and crashes.
 *
 * @module
 */
import type { Clock, Milliseconds } from "@redwingpin/common";
import { BlockCache, type CacheChange } from "./blockCache.js";
import { blockTokens, type Call } from "./workload.js";

export const prefillTokensPerSecond = 16_000;

/** Maximum number of prompt tokens that one step computes. */
const maximumChunkTokens = 1_000;

/** Fixed part of the duration of a step. */
const baseStepDuration: Milliseconds = 14;

/** Time that each request in the engine adds to a step. */
const stepDurationPerRequest: Milliseconds = 0.3;

/** Receives the events of an engine. */
export interface EngineListener {
    onPrefillStarted(call: Call, hitBlocks: number): void;
    onFirstToken(call: Call): void;
    onCompleted(call: Call): void;
    onCacheChange(change: CacheChange): void;
}

interface EngineRequest {
    readonly call: Call;
    remainingPrefillTokens: number;
    hasStartedPrefill: boolean;
    remainingOutputTokens: number;
}

export class SimulatedEngine {
    private readonly cache: BlockCache;
    private prefilling: EngineRequest[] = [];
    private decoding: EngineRequest[] = [];
    private isStepping = false;
    private startCount = 1;
    private isUp = true;
    /** Factor by which the duration of each step is multiplied. */
    slowdownFactor = 1;

    constructor(
        private readonly clock: Clock,
        cacheBlocks: number,
        private readonly listener: EngineListener,
    ) {
        this.cache = new BlockCache(cacheBlocks);
    }

    /** Identifies the current start; `undefined` while the engine is down. */
    get incarnation(): string | undefined {
        return this.isUp ? `start-${this.startCount}` : undefined;
    }

    /** Requests in the engine, in prefill or decoding. */
    get running(): number {
        return this.prefilling.length + this.decoding.length;
    }

    /** Prompt tokens that are still to be computed. */
    get remainingPrefillTokens(): number {
        return this.prefilling.reduce(
            (sum, request) =>
                sum
                + (request.hasStartedPrefill
                    ? request.remainingPrefillTokens
                    : this.missedTokens(request.call)),
            0,
        );
    }

    /** Counts the leading blocks of a prompt that are cached. */
    hitBlocks(prefix: readonly string[]): number {
        return this.cache.hitBlocks(prefix);
    }

    submit(call: Call): void {
        this.prefilling.push({
            call,
            remainingPrefillTokens: 0,
            hasStartedPrefill: false,
            remainingOutputTokens: call.outputTokens,
        });
        this.startStep();
    }

    /** Stops the engine, clears its cache and drops its requests. Returns the calls of the dropped requests. */
    crash(): Call[] {
        const interrupted = [...this.prefilling, ...this.decoding].map((request) => request.call);
        this.prefilling = [];
        this.decoding = [];
        this.cache.clear();
        this.isUp = false;
        return interrupted;
    }

    /** Starts the engine again, with an empty cache. */
    restart(): void {
        this.isUp = true;
        this.startCount += 1;
    }

    private missedTokens(call: Call): number {
        return call.promptTokens - this.cache.hitBlocks(call.blocks) * blockTokens;
    }

    private startStep(): void {
        if (this.isStepping || !this.isUp || this.running === 0) {
            return;
        }
        this.isStepping = true;
        const startNumber = this.startCount;
        const request = this.prefilling[0];
        const chunk = request === undefined ? 0 : this.nextChunk(request);
        const duration = baseStepDuration + this.running * stepDurationPerRequest
            + chunk * 1_000 / prefillTokensPerSecond;
        this.clock.schedule(duration * this.slowdownFactor, () => {
            this.isStepping = false;
            if (this.isUp && startNumber === this.startCount) {
                this.endStep(request, chunk);
            }
            this.startStep();
        });
    }

    private nextChunk(request: EngineRequest): number {
        if (!request.hasStartedPrefill) {
            request.hasStartedPrefill = true;
            const hitBlocks = this.cache.hitBlocks(request.call.blocks);
            request.remainingPrefillTokens = Math.max(1, request.call.promptTokens - hitBlocks * blockTokens);
            this.cache.use(request.call.blocks.slice(0, hitBlocks));
            this.listener.onPrefillStarted(request.call, hitBlocks);
        }
        return Math.min(maximumChunkTokens, request.remainingPrefillTokens);
    }

    private endStep(request: EngineRequest | undefined, chunk: number): void {
        const decodingNow = [...this.decoding];
        if (request !== undefined) {
            request.remainingPrefillTokens -= chunk;
            if (request.remainingPrefillTokens <= 0) {
                this.prefilling.shift();
                this.listener.onCacheChange(this.cache.use(request.call.blocks));
                decodingNow.push(request);
                this.decoding.push(request);
                this.listener.onFirstToken(request.call);
            }
        }
        for (const running of decodingNow) {
            running.remainingOutputTokens -= 1;
            if (running.remainingOutputTokens <= 0) {
                this.decoding = this.decoding.filter((other) => other !== running);
                this.listener.onCompleted(running.call);
            }
        }
    }
}
