/**
 * Estimates the contents of the engine's prefix cache from the prompts that it answered, the cache's capacity and the
 * engine's cache events.
 *
 * Engines use their own names for blocks, so only the event that reports a cleared cache can be applied; evictions are
 * estimated from the order in which the model's blocks were used.
 *
 * @module
 */
import { type CancelTimer, type Clock, type Logger, readText } from "@redwingpin/common";
import { EndpointModel } from "@redwingpin/scheduling";
import { request } from "undici";

const reconnectDelayMilliseconds = 1_000;
const loadTimeoutMilliseconds = 1_000;
const defaultCapacityBlocks = 4_096;

/** Maximum size in bytes of a load report, which has some hundred. */
const maxLoadBytes = 1_048_576;

const maxEventCharacters = 4 * 1024 * 1024;

/** Options of {@link EngineCacheTracker}. */
export interface EngineCacheTrackerOptions {
    /** HTTP address of the engine. */
    readonly address: string;
    readonly clock: Clock;
    readonly logger: Logger;
}

/** Tracks the prefix cache of one engine. */
export class EngineCacheTracker {
    private model = new EndpointModel({ maximumBlocks: defaultCapacityBlocks });
    private incarnation: string | undefined;
    private abortController = new AbortController();
    private cancelReconnect: CancelTimer = () => {};

    constructor(private readonly options: EngineCacheTrackerOptions) {}

    /** Handles a start of the engine, or its failure for `undefined`: its cache is empty. */
    async onIncarnation(incarnation: string | undefined): Promise<void> {
        if (incarnation === this.incarnation) {
            return;
        }
        this.incarnation = incarnation;
        this.stop();
        if (incarnation === undefined) {
            this.model.onIncarnation(undefined);
            return;
        }
        this.abortController = new AbortController();
        const capacity = await this.readCapacity();
        if (this.incarnation === incarnation) {
            // Prompts that are pending now are removed from the new model later, which ignores unknown blocks.
            this.model = new EndpointModel({ maximumBlocks: capacity });
            this.model.onIncarnation(incarnation);
            void this.watchEvents(this.abortController.signal);
        }
    }

    stop(): void {
        this.abortController.abort();
        this.cancelReconnect();
    }

    /** Number of leading blocks of a prompt that the engine is believed to hold. */
    hitBlocks(prefixBlocks: readonly string[]): number {
        return this.model.hitBlocks(prefixBlocks, this.options.clock.now());
    }

    /** Adds a prompt that waits for the engine's answer. */
    addPendingPrompt(prefixBlocks: readonly string[]): void {
        this.model.addPendingPrompt(prefixBlocks);
    }

    /** Removes a pending prompt, whose answer has begun or, unless `answered`, that was abandoned. */
    removePendingPrompt(prefixBlocks: readonly string[], answered: boolean): void {
        this.model.removePendingPrompt(prefixBlocks);
        if (answered && this.incarnation !== undefined) {
            this.model.onAnswered(this.incarnation, prefixBlocks);
        }
    }

    /**
     * Records the engine's report of how many of an answered prompt's blocks it had cached. The missing blocks had been
     * evicted, which corrects the model's estimate of other evictions. Now the engine holds all blocks.
     */
    recordHit(prefixBlocks: readonly string[], hitBlocks: number): void {
        if (this.incarnation !== undefined) {
            this.model.onHit(this.incarnation, prefixBlocks, hitBlocks);
            this.model.onAnswered(this.incarnation, prefixBlocks);
        }
    }

    /** Summary of the cached prefixes for routers. */
    heldPrefixes(): number[] {
        return this.model.heldPrefixes(this.options.clock.now());
    }

    private async readCapacity(): Promise<number> {
        try {
            const answer = await request(`${this.options.address}/load`, {
                headersTimeout: loadTimeoutMilliseconds,
                bodyTimeout: loadTimeoutMilliseconds,
            });
            const report = await readText(answer.body, maxLoadBytes);
            const { cache_capacity_blocks: capacity } = JSON.parse(report) as {
                cache_capacity_blocks?: unknown;
            };
            return Number.isSafeInteger(capacity) && (capacity as number) > 0
                ? capacity as number
                : defaultCapacityBlocks;
        }
        catch {
            return defaultCapacityBlocks;
        }
    }

    private async watchEvents(signal: AbortSignal): Promise<void> {
        try {
            await this.readEvents(signal);
        }
        catch (error) {
            this.options.logger.debug("cache event stream interrupted", { error: String(error) });
        }
        if (!signal.aborted) {
            this.cancelReconnect = this.options.clock.schedule(
                reconnectDelayMilliseconds,
                () => void this.watchEvents(signal),
            );
        }
    }

    private async readEvents(signal: AbortSignal): Promise<void> {
        const answer = await request(`${this.options.address}/cache/events`, { signal, bodyTimeout: 0 });
        const decoder = new TextDecoder();
        let incompleteLine = "";
        for await (const part of answer.body as AsyncIterable<Buffer>) {
            const lines = (incompleteLine + decoder.decode(part, { stream: true })).split("\n");
            incompleteLine = lines.pop()!.slice(0, maxEventCharacters);
            lines.filter(isCacheCleared).forEach(() => this.resetModel());
        }
    }

    /** Removes all blocks, but no pending prompts, from the model. */
    private resetModel(): void {
        const { incarnation } = this;
        this.model.onIncarnation(undefined);
        this.model.onIncarnation(incarnation);
    }
}

const dataPrefix = "data:";

function isCacheCleared(line: string): boolean {
    if (!line.startsWith(dataPrefix)) {
        return false;
    }
    try {
        return (JSON.parse(line.slice(dataPrefix.length)) as { type?: unknown; }).type === "AllBlocksCleared";
    }
    catch {
        return false;
    }
}
