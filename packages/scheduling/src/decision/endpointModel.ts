/**
 * Model of one endpoint's cache and load, built from cache events, which arrive late and with gaps, from answers and
 * from load reports. A wrong model costs time, but never makes an answer wrong.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import { PrefixSummary } from "./prefixSummary.js";

/** Time after a gap in the events during which an unconfirmed block still counts as held. */
export const unconfirmedBlockLifetime: Milliseconds = 60_000;

/** Kind of change to the blocks of the endpoint's cache. */
export enum CacheEventKind {
    Stored = "stored",
    Removed = "removed",
    Cleared = "cleared",
}

/** One event of an endpoint's cache. */
export interface CacheEvent {
    /** Incarnation of the endpoint that published the event. */
    readonly incarnation: string;
    /** Number of the event; the endpoint counts from 1 without gaps. */
    readonly sequence: number;
    readonly kind: CacheEventKind;
    /** Names of the blocks; empty if all are cleared. */
    readonly blocks: readonly string[];
}

/** The endpoint's own report of its load; arrives late. */
export interface LoadReport {
    readonly incarnation: string;
    readonly running: number;
    readonly tokensPerSecond: number;
}

interface CachedBlock {
    /** Time of the first gap since the block was last confirmed; absent if there was none. */
    unconfirmedSince: Milliseconds | undefined;
}

/** Options of {@link EndpointModel}. */
export interface EndpointModelOptions {
    /** Maximum number of blocks in the endpoint's cache. */
    readonly maximumBlocks: number;
}

/** Model of one endpoint. */
export class EndpointModel {
    /** Blocks in order of use, least recently used first; within a prompt, the last block comes first. */
    private readonly blocks = new Map<string, CachedBlock>();
    /** Blocks of prompts that wait for the endpoint's answer, with the number of such prompts. */
    private readonly pendingBlocks = new Map<string, number>();
    private readonly summary = new PrefixSummary();
    private currentIncarnation: string | undefined;
    private lastSequence: number | undefined;
    private lastLoad: LoadReport | undefined;

    constructor(private readonly options: EndpointModelOptions) {}

    /** Incarnation of the endpoint; absent while it is down. */
    get incarnation(): string | undefined {
        return this.currentIncarnation;
    }

    /** Last load report of the current incarnation. */
    get load(): LoadReport | undefined {
        return this.lastLoad;
    }

    /** Number of blocks in the model. */
    get size(): number {
        return this.blocks.size;
    }

    /** Handles a start of the endpoint, or a stop for `undefined`: its cache is empty. */
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

    /** Applies a cache event. Old events and events of another incarnation are ignored. */
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
                this.addBlocks(event.blocks);
                break;
            case CacheEventKind.Removed:
                event.blocks.forEach((block) => this.blocks.delete(block));
                break;
            case CacheEventKind.Cleared:
                this.blocks.clear();
                break;
        }
    }

    /** Handles lost events: all current blocks are unconfirmed until an answer or an event confirms them. */
    onGap(now: Milliseconds): void {
        for (const block of this.blocks.values()) {
            block.unconfirmedSince ??= now;
        }
    }

    /** Adds a prompt that waits for the endpoint's answer. Call {@link removePendingPrompt} when it no longer waits. */
    addPendingPrompt(prefixBlocks: readonly string[]): void {
        this.summary.record(prefixBlocks);
        for (const block of prefixBlocks) {
            this.pendingBlocks.set(block, (this.pendingBlocks.get(block) ?? 0) + 1);
        }
    }

    /** Removes a pending prompt whose answer has begun or that was abandoned. */
    removePendingPrompt(prefixBlocks: readonly string[]): void {
        for (const block of prefixBlocks) {
            const remaining = (this.pendingBlocks.get(block) ?? 0) - 1;
            if (remaining > 0) {
                this.pendingBlocks.set(block, remaining);
            }
            else {
                this.pendingBlocks.delete(block);
            }
        }
    }

    /** Summary of the blocks that the endpoint holds or is about to compute, for routers. */
    heldPrefixes(now: Milliseconds): number[] {
        return this.summary.names((block) => this.pendingBlocks.has(block) || this.isHeld(block, now));
    }

    /** Handles an answer to a prompt of these blocks: the endpoint holds them now. */
    onAnswered(incarnation: string, prefixBlocks: readonly string[]): void {
        if (incarnation === this.currentIncarnation) {
            this.addBlocks(prefixBlocks);
        }
    }

    /** Handles the endpoint's report of how many leading blocks of a prompt it had cached. */
    onHit(incarnation: string, prefixBlocks: readonly string[], hitBlocks: number): void {
        if (incarnation === this.currentIncarnation) {
            this.removeUnconfirmedBefore(prefixBlocks[hitBlocks]);
            prefixBlocks.slice(hitBlocks).forEach((block) => this.blocks.delete(block));
            this.addBlocks(prefixBlocks.slice(0, hitBlocks));
        }
    }

    /** Records a load report. Reports of another incarnation are ignored. */
    onLoadReport(report: LoadReport): void {
        if (report.incarnation === this.currentIncarnation) {
            this.lastLoad = report;
        }
    }

    /** Number of leading blocks of a prompt that the endpoint is believed to hold. */
    hitBlocks(prefixBlocks: readonly string[], now: Milliseconds): number {
        const firstMissed = prefixBlocks.findIndex((block) => !this.isHeld(block, now));
        return firstMissed < 0 ? prefixBlocks.length : firstMissed;
    }

    /** Removes unconfirmed blocks used before a block that turned out to be evicted: they were evicted, too. */
    private removeUnconfirmedBefore(missed: string | undefined): void {
        if (missed === undefined || !this.blocks.has(missed)) {
            return;
        }
        for (const [name, block] of this.blocks) {
            if (name === missed) {
                return;
            }
            if (block.unconfirmedSince !== undefined) {
                this.blocks.delete(name);
            }
        }
    }

    private isHeld(name: string, now: Milliseconds): boolean {
        const block = this.blocks.get(name);
        return block !== undefined
            && (block.unconfirmedSince === undefined
                || now - block.unconfirmedSince < unconfirmedBlockLifetime);
    }

    private addBlocks(names: readonly string[]): void {
        for (const name of [...names].reverse()) {
            this.blocks.delete(name);
            this.blocks.set(name, { unconfirmedSince: undefined });
        }
        for (const name of this.blocks.keys()) {
            if (this.blocks.size <= this.options.maximumBlocks) {
                return;
            }
            this.blocks.delete(name);
        }
    }
}
