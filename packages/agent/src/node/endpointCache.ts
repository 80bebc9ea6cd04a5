/**
 * What the agent believes its engine's prefix cache holds: learnt from the prompts it gave to the engine, the cache's
 * capacity, and the engine's cache events.
 *
 * Engines name blocks in their own way, so of the events only a cleared cache can be told for certain; evictions are
 * mirrored by the model's own order of use.
 *
 * @module
 */
import type { CancelTimer, Clock, Logger } from "@redwingpin/common";
import { EndpointModel } from "@redwingpin/scheduling";
import { request } from "undici";

const reconnectDelayMilliseconds = 1_000;
const loadTimeoutMilliseconds = 1_000;
const defaultCapacityBlocks = 4_096;
const maxEventCharacters = 4 * 1024 * 1024;

/** Options of {@link EndpointCache}. */
export interface EndpointCacheOptions {
    /** HTTP address of the engine. */
    readonly address: string;
    readonly clock: Clock;
    readonly logger: Logger;
}

/** Follows the cache of one engine. */
export class EndpointCache {
    private model = new EndpointModel({ maximumBlocks: defaultCapacityBlocks });
    private incarnation: string | undefined;
    private abort = new AbortController();
    private cancelReconnect: CancelTimer = () => {};

    constructor(private readonly options: EndpointCacheOptions) {}

    /** The engine has started, or is down for `undefined`: what it held is gone. */
    async restarted(incarnation: string | undefined): Promise<void> {
        if (incarnation === this.incarnation) {
            return;
        }
        this.incarnation = incarnation;
        this.stop();
        if (incarnation === undefined) {
            this.model.onIncarnation(undefined);
            return;
        }
        this.abort = new AbortController();
        const capacity = await this.readCapacity();
        if (this.incarnation === incarnation) {
            this.model = new EndpointModel({ maximumBlocks: capacity });
            this.model.onIncarnation(incarnation);
            void this.follow(this.abort.signal);
        }
    }

    stop(): void {
        this.abort.abort();
        this.cancelReconnect();
    }

    /** Blocks at the head of a prompt that the engine is believed to hold. */
    hitBlocks(prefixBlocks: readonly string[]): number {
        return this.model.hitBlocks(prefixBlocks, this.options.clock.now());
    }

    /** A prompt waits for the engine. */
    awaited(prefixBlocks: readonly string[]): void {
        this.model.onAwaited(prefixBlocks);
    }

    /** A prompt that was awaited has begun to be answered, or never will be. */
    settled(prefixBlocks: readonly string[], answered: boolean): void {
        this.model.onSettled(prefixBlocks);
        if (answered && this.incarnation !== undefined) {
            this.model.onAnswered(this.incarnation, prefixBlocks);
        }
    }

    /**
     * The engine has answered a prompt and said how many of its blocks it held. It holds all of them by now: the blocks
     * that missed are known to have been evicted before, which corrects the model's view of what else is gone.
     */
    hit(prefixBlocks: readonly string[], hitBlocks: number): void {
        if (this.incarnation !== undefined) {
            this.model.onHit(this.incarnation, prefixBlocks, hitBlocks);
            this.model.onAnswered(this.incarnation, prefixBlocks);
        }
    }

    /** Summary of the held prefixes for routers. */
    heldPrefixes(): number[] {
        return this.model.heldPrefixes(this.options.clock.now());
    }

    private async readCapacity(): Promise<number> {
        try {
            const answer = await request(`${this.options.address}/load`, {
                headersTimeout: loadTimeoutMilliseconds,
                bodyTimeout: loadTimeoutMilliseconds,
            });
            const { cache_capacity_blocks: capacity } = await answer.body.json() as {
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

    private async follow(signal: AbortSignal): Promise<void> {
        try {
            await this.readEvents(signal);
        }
        catch (error) {
            this.options.logger.debug("the cache events broke off", { error: String(error) });
        }
        if (!signal.aborted) {
            this.cancelReconnect = this.options.clock.schedule(
                reconnectDelayMilliseconds,
                () => void this.follow(signal),
            );
        }
    }

    private async readEvents(signal: AbortSignal): Promise<void> {
        const answer = await request(`${this.options.address}/cache/events`, { signal, bodyTimeout: 0 });
        const decoder = new TextDecoder();
        let rest = "";
        for await (const part of answer.body as AsyncIterable<Buffer>) {
            const lines = (rest + decoder.decode(part, { stream: true })).split("\n");
            rest = lines.pop()!.slice(0, maxEventCharacters);
            lines.filter(isCleared).forEach(() => this.clear());
        }
    }

    /** Starts the model anew; prompts that wait are settled against the new one, which ignores what it does not know. */
    private clear(): void {
        const { incarnation } = this;
        this.model.onIncarnation(undefined);
        this.model.onIncarnation(incarnation);
    }
}

const dataPrefix = "data:";

function isCleared(line: string): boolean {
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
