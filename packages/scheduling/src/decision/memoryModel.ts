/**
 * Predicts whether an engine has memory for a request, or when it will. The engine's running requests share its memory
 * with cached parts of prompts, which are evicted first. The engine's last report states what its requests hold; requests
 * sent and ended since then, and those that were queued, are added from what the routers know.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** Weight of one measurement in the moving averages. */
const averageWeight = 0.05;

/** A report shows the engine as it was this long before it arrived: half the interval of the agent, and the transfer. */
const reportDelay: Milliseconds = 150;

/** Ended requests are remembered for this time; reports that are older are not used. */
const endMemory: Milliseconds = 3_500;

/** Bounds of the measured memory of requests as a multiple of the predicted one. */
const minScale = 0.25;
const maxScale = 1.25;

/** The memory of a request is measured at engines that run at least this many. */
const minMeasuredRequests = 3;

/** What a service's requests hold, and for how long. */
export class ServiceMemory {
    /** Mean of tokens times time. */
    private tokenTime: number | undefined;
    private meanTokens: number | undefined;
    private meanHoldTime: Milliseconds | undefined;
    private measuredTokens: number | undefined;

    /** Mean memory that was predicted for a request; `undefined` until one has ended. */
    get tokensPerRequest(): number | undefined {
        return this.meanTokens;
    }

    /** Mean time for which a request holds its slot; `undefined` until one has ended. */
    get holdTime(): Milliseconds | undefined {
        return this.meanHoldTime;
    }

    /** Mean time for which a token is held; long requests hold most of the memory, and for longer. */
    get tokenHoldTime(): Milliseconds | undefined {
        return this.tokenTime === undefined || this.meanTokens === undefined
            ? undefined
            : this.tokenTime / Math.max(1, this.meanTokens);
    }

    /** Memory that requests hold, as a multiple of the predicted one: less if they share parts of their prompts. */
    get scale(): number {
        const { measuredTokens, meanHoldTime, tokenTime } = this;
        if (measuredTokens === undefined || meanHoldTime === undefined || tokenTime === undefined) {
            return 1;
        }
        // Of the requests that run at one time, long ones are more.
        const predicted = tokenTime / Math.max(1, meanHoldTime);
        return Math.min(maxScale, Math.max(minScale, measuredTokens / Math.max(1, predicted)));
    }

    /** Applies a request that has ended. */
    observe(tokens: number, holdTime: Milliseconds): void {
        this.tokenTime = average(this.tokenTime, tokens * holdTime);
        this.meanTokens = average(this.meanTokens, tokens);
        this.meanHoldTime = average(this.meanHoldTime, holdTime);
    }

    /** Applies the report of an engine. */
    observeReport({ cacheUsed, running }: Pick<EngineReport, "cacheUsed" | "running">): void {
        if (running >= minMeasuredRequests) {
            this.measuredTokens = average(this.measuredTokens, cacheUsed / running);
        }
    }
}

function average(mean: number | undefined, value: number): number {
    return mean === undefined ? value : mean + averageWeight * (value - mean);
}

/** Last report of an engine. */
export interface EngineReport {
    /** When it arrived. */
    readonly at: Milliseconds;
    readonly running: number;
    readonly queued: number;
    /** Tokens of memory that cannot be evicted. */
    readonly cacheUsed: number;
    readonly cacheTotal: number;
}

/** Input of {@link EndpointMemory.predict}. */
export interface MemoryQuery {
    /** Tokens that the request will hold. */
    readonly tokens: number;
    readonly now: Milliseconds;
    readonly report: EngineReport | undefined;
    /** Number of requests of other routers at the engine, as last reported. */
    readonly othersRunning: number;
    /** Number of requests that the engine runs at the same time. */
    readonly slots: number;
    readonly service: ServiceMemory;
}

/** Whether a request fits. */
export interface MemoryPrediction {
    /** True if it fits now, or if nothing is known about the engine. */
    readonly fits: boolean;
    /** Time until it fits; 0 if it fits now or if that time cannot be predicted. */
    readonly freeIn: Milliseconds;
}

const fitting: MemoryPrediction = { fits: true, freeIn: 0 };

interface HeldMemory {
    readonly tokens: number;
    readonly sentAt: Milliseconds;
}

/** Memory of one engine, as far as this router knows. */
export class EndpointMemory {
    private readonly held = new Set<HeldMemory>();
    /** Requests that ended recently; the latest come last. */
    private ended: (HeldMemory & { readonly endedAt: Milliseconds; })[] = [];

    /** Registers a request that is sent now; the returned function ends it. */
    open(tokens: number, sentAt: Milliseconds): (endedAt: Milliseconds) => void {
        const record = { tokens, sentAt };
        this.held.add(record);
        return (endedAt) => {
            if (this.held.delete(record)) {
                this.ended = this.ended.filter((earlier) => endedAt - earlier.endedAt < endMemory);
                this.ended.push({ ...record, endedAt });
            }
        };
    }

    /** Predicts whether a request fits into the engine's memory and slots. */
    predict({ now, othersRunning, report, service, slots, tokens }: MemoryQuery): MemoryPrediction {
        if (report === undefined || report.cacheTotal <= 0) {
            return fitting;
        }
        const reportedAt = report.at - reportDelay;
        let ownReported = 0;
        let sentSince = 0;
        let tokensChange = 0;
        for (const record of this.held) {
            if (record.sentAt <= reportedAt) {
                ownReported += 1;
            }
            else {
                sentSince += 1;
                tokensChange += record.tokens;
            }
        }
        let endedSince = 0;
        for (const record of this.ended) {
            if (record.endedAt > reportedAt && record.sentAt <= reportedAt) {
                ownReported += 1;
                endedSince += 1;
                tokensChange -= record.tokens;
            }
        }
        const requests = report.running + report.queued;
        // Negative if more requests of others have ended than were sent; no more than can have ended since the report.
        const othersReported = Math.max(0, requests - ownReported);
        const endedShare = Math.min(1, (now - reportedAt) / Math.max(1, service.holdTime ?? Infinity));
        const othersSince = Math.max(-othersReported * endedShare, othersRunning - othersReported);
        const unheld = (othersSince + report.queued) * (service.tokensPerRequest ?? tokens);
        const used = Math.max(0, report.cacheUsed + service.scale * (tokensChange + unheld));
        const missingTokens = Math.min(service.scale * tokens, report.cacheTotal)
            - (report.cacheTotal - used);
        const missingSlots = requests + sentSince + othersSince - endedSince + 1 - slots;
        if (missingTokens <= 0 && missingSlots <= 0) {
            return fitting;
        }
        const { holdTime, tokenHoldTime } = service;
        if (holdTime === undefined || tokenHoldTime === undefined) {
            return { fits: false, freeIn: 0 };
        }
        // What is held is released within the hold time on average, at a steady rate.
        const memoryFreeIn = tokenHoldTime * missingTokens / Math.max(1, used);
        const slotFreeIn = holdTime * missingSlots / Math.max(1, slots);
        return { fits: false, freeIn: Math.max(0, memoryFreeIn, slotFreeIn) };
    }
}
