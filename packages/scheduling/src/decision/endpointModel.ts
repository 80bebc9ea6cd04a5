/**
 * Model of one endpoint's cache and load, built from cache events that come late and with gaps, from answers and
 * from load reports. The endpoint itself is the truth: a wrong model costs time, never a wrong answer.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import { PrefixSummary } from "./prefixSummary.js";

/** Time after a gap in which an unconfirmed block still counts as held. */
export const doubtLifetime: Milliseconds = 60_000;

/** What happened to blocks of the endpoint's cache. */
export enum CacheEventKind {
    Stored = "stored",
    Removed = "removed",
    Cleared = "cleared",
}

/** One event of an endpoint's cache. */
export interface CacheEvent {
    /** Incarnation of the endpoint that published the event. */
    readonly incarnation: string;
    /** Number of the event, from 1, without gaps at the endpoint. */
    readonly sequence: number;
    readonly kind: CacheEventKind;
    /** Names of the blocks; empty where all are cleared. */
    readonly blocks: readonly string[];
}

/** The endpoint's own report of its load; comes late. */
export interface LoadReport {
    readonly incarnation: string;
    readonly running: number;
    readonly tokensPerSecond: number;
}

interface ModelledBlock {
    /** Time of the last gap that the block has not been confirmed after; absent where no doubt stands. */
    doubtedSince: Milliseconds | undefined;
}

/** Options of {@link EndpointModel}. */
export interface EndpointModelOptions {
    /** Blocks that the endpoint's cache holds at most. */
    readonly maximumBlocks: number;
}

/** Model of one endpoint. */
export class EndpointModel {
    /** Blocks in order of use, least recent first; the end of a prompt goes before its start. */
    private readonly blocks = new Map<string, ModelledBlock>();
    /** Blocks of prompts that the endpoint was given and has not answered, with the number of such prompts. */
    private readonly awaited = new Map<string, number>();
    private readonly summary = new PrefixSummary();
    private currentIncarnation: string | undefined;
    private lastSequence: number | undefined;
    private lastLoad: LoadReport | undefined;

    constructor(private readonly options: EndpointModelOptions) {}

    /** Incarnation of the endpoint; absent while it is down. */
    get incarnation(): string | undefined {
        return this.currentIncarnation;
    }

    /** Last load report of this incarnation. */
    get load(): LoadReport | undefined {
        return this.lastLoad;
    }

    /** Blocks that the model takes the endpoint to hold. */
    get size(): number {
        return this.blocks.size;
    }

    /** The endpoint has started (or stopped, for `undefined`): its cache is empty. */
    onIncarnation(incarnation: string | undefined): void {
        if (incarnation === this.currentIncarnation) {
            return;
        }
        this.currentIncarnation = incarnation;
        this.blocks.clear();
        this.summary.clear();
        this.lastSequence = undefined;
        this.lastLoad = undefined;
    }

    /** Applies a cache event; one of another incarnation, or an old one, changes nothing. */
    onCacheEvent(event: CacheEvent, now: Milliseconds): void {
        if (event.incarnation !== this.currentIncarnation || event.sequence <= (this.lastSequence ?? 0)) {
            return;
        }
        if (event.sequence > (this.lastSequence ?? 0) + 1) {
            this.onGap(now);
        }
        this.lastSequence = event.sequence;
        switch (event.kind) {
            case CacheEventKind.Stored:
                this.hold(event.blocks);
                break;
            case CacheEventKind.Removed:
                event.blocks.forEach((block) => this.blocks.delete(block));
                break;
            case CacheEventKind.Cleared:
                this.blocks.clear();
                break;
        }
    }

    /** Events were lost: every block held so far is in doubt until an answer or event confirms it. */
    onGap(now: Milliseconds): void {
        for (const block of this.blocks.values()) {
            block.doubtedSince ??= now;
        }
    }

    /** A prompt of these blocks waits for the endpoint; call {@link onSettled} when it no longer does. */
    onAwaited(prefixBlocks: readonly string[]): void {
        this.summary.record(prefixBlocks);
        for (const block of prefixBlocks) {
            this.awaited.set(block, (this.awaited.get(block) ?? 0) + 1);
        }
    }

    /** A prompt that was awaited has begun to be answered, or never will be. */
    onSettled(prefixBlocks: readonly string[]): void {
        for (const block of prefixBlocks) {
            const left = (this.awaited.get(block) ?? 0) - 1;
            if (left > 0) {
                this.awaited.set(block, left);
            }
            else {
                this.awaited.delete(block);
            }
        }
    }

    /** Summary of what the endpoint holds or is about to compute, for routers. */
    heldPrefixes(now: Milliseconds): number[] {
        return this.summary.names((block) => this.awaited.has(block) || this.holds(block, now));
    }

    /** The endpoint has answered a prompt of these blocks, so it holds them now. */
    onAnswered(incarnation: string, prefixBlocks: readonly string[]): void {
        if (incarnation === this.currentIncarnation) {
            this.hold(prefixBlocks);
        }
    }

    /** The endpoint reported how many of a prompt's blocks it really held. */
    onHit(incarnation: string, prefixBlocks: readonly string[], hitBlocks: number): void {
        if (incarnation === this.currentIncarnation) {
            this.dropUnusedSince(prefixBlocks[hitBlocks]);
            prefixBlocks.slice(hitBlocks).forEach((block) => this.blocks.delete(block));
            this.hold(prefixBlocks.slice(0, hitBlocks));
        }
    }

    /** Records a load report; one of another incarnation changes nothing. */
    onLoadReport(report: LoadReport): void {
        if (report.incarnation === this.currentIncarnation) {
            this.lastLoad = report;
        }
    }

    /** Blocks at the head of a prompt that the endpoint is taken to hold. */
    hitBlocks(prefixBlocks: readonly string[], now: Milliseconds): number {
        const firstMissed = prefixBlocks.findIndex((block) => !this.holds(block, now));
        return firstMissed < 0 ? prefixBlocks.length : firstMissed;
    }

    /** A block believed held was not: what is in doubt and was used before it has been evicted too. */
    private dropUnusedSince(missed: string | undefined): void {
        if (missed === undefined || !this.blocks.has(missed)) {
            return;
        }
        for (const [name, block] of this.blocks) {
            if (name === missed) {
                return;
            }
            if (block.doubtedSince !== undefined) {
                this.blocks.delete(name);
            }
        }
    }

    private holds(name: string, now: Milliseconds): boolean {
        const block = this.blocks.get(name);
        return block !== undefined
            && (block.doubtedSince === undefined || now - block.doubtedSince < doubtLifetime);
    }

    private hold(names: readonly string[]): void {
        for (const name of [...names].reverse()) {
            this.blocks.delete(name);
            this.blocks.set(name, { doubtedSince: undefined });
        }
        for (const name of this.blocks.keys()) {
            if (this.blocks.size <= this.options.maximumBlocks) {
                return;
            }
            this.blocks.delete(name);
        }
    }
}
