/**
 * A fake model engine: continuous batching in steps, chunked prefill of missed blocks in order of arrival, one
 * output token a step for each running request, a block cache, and crashes.
 *
 * @module
 */
import type { Clock, Milliseconds } from "@redwingpin/common";
import { BlockCache, type CacheChange } from "./blockCache.js";
import { blockTokens, type Call } from "./workload.js";

/** Prompt tokens that an engine computes in a second. */
export const prefillTokensPerSecond = 16_000;

/** Prompt tokens that one step computes at most. */
const prefillChunkTokens = 1_000;

/** Time of a step beside its prefill. */
const stepBase: Milliseconds = 14;

/** Time that each running request adds to a step. */
const stepPerRequest: Milliseconds = 0.3;

/** What an engine tells the agent beside it. */
export interface EngineListener {
    onPrefillStarted(call: Call, hitBlocks: number): void;
    onFirstToken(call: Call): void;
    onCompleted(call: Call): void;
    onCacheChange(change: CacheChange): void;
}

interface Job {
    readonly call: Call;
    prefillLeft: number;
    started: boolean;
    outputLeft: number;
}

/** One engine. */
export class FakeEngine {
    private readonly cache: BlockCache;
    private prefilling: Job[] = [];
    private decoding: Job[] = [];
    private stepping = false;
    private starts = 1;
    private up = true;
    /** The engine takes this many times as long for each step. */
    slowdown = 1;

    constructor(
        private readonly clock: Clock,
        cacheBlocks: number,
        private readonly listener: EngineListener,
    ) {
        this.cache = new BlockCache(cacheBlocks);
    }

    /** Number of the present start; absent while the engine is down. */
    get incarnation(): string | undefined {
        return this.up ? `start-${this.starts}` : undefined;
    }

    /** Requests in the engine. */
    get running(): number {
        return this.prefilling.length + this.decoding.length;
    }

    /** Prompt tokens that are still to be computed, exactly. */
    get prefillLeft(): number {
        return this.prefilling.reduce(
            (sum, job) => sum + (job.started ? job.prefillLeft : this.missed(job.call)),
            0,
        );
    }

    /** Blocks of a prompt that the engine holds now. */
    hitBlocks(prefix: readonly string[]): number {
        return this.cache.hitBlocks(prefix);
    }

    submit(call: Call): void {
        this.prefilling.push({ call, prefillLeft: 0, started: false, outputLeft: call.outputTokens });
        this.startStep();
    }

    /** Stops at once and loses everything; the calls that were in it are returned. */
    crash(): Call[] {
        const lost = [...this.prefilling, ...this.decoding].map((job) => job.call);
        this.prefilling = [];
        this.decoding = [];
        this.cache.clear();
        this.up = false;
        return lost;
    }

    /** Comes back with an empty cache. */
    restart(): void {
        this.up = true;
        this.starts += 1;
    }

    private missed(call: Call): number {
        return call.promptTokens - this.cache.hitBlocks(call.blocks) * blockTokens;
    }

    private startStep(): void {
        if (this.stepping || !this.up || this.running === 0) {
            return;
        }
        this.stepping = true;
        const start = this.starts;
        const job = this.prefilling[0];
        const chunk = job === undefined ? 0 : this.nextChunk(job);
        const duration = stepBase + this.running * stepPerRequest + chunk * 1_000 / prefillTokensPerSecond;
        this.clock.schedule(duration * this.slowdown, () => {
            this.stepping = false;
            if (this.up && start === this.starts) {
                this.endStep(job, chunk);
            }
            this.startStep();
        });
    }

    private nextChunk(job: Job): number {
        if (!job.started) {
            job.started = true;
            const hit = this.cache.hitBlocks(job.call.blocks);
            job.prefillLeft = Math.max(1, job.call.promptTokens - hit * blockTokens);
            this.cache.use(job.call.blocks.slice(0, hit));
            this.listener.onPrefillStarted(job.call, hit);
        }
        return Math.min(prefillChunkTokens, job.prefillLeft);
    }

    private endStep(job: Job | undefined, chunk: number): void {
        const decoded = [...this.decoding];
        if (job !== undefined) {
            job.prefillLeft -= chunk;
            if (job.prefillLeft <= 0) {
                this.prefilling.shift();
                this.listener.onCacheChange(this.cache.use(job.call.blocks));
                decoded.push(job);
                this.decoding.push(job);
                this.listener.onFirstToken(job.call);
            }
        }
        for (const running of decoded) {
            running.outputLeft -= 1;
            if (running.outputLeft <= 0) {
                this.decoding = this.decoding.filter((other) => other !== running);
                this.listener.onCompleted(running.call);
            }
        }
    }
}
