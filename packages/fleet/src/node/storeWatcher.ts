/**
 * Follows one scope of the store: reads it once, then waits for changes, and reads it again only where the store no
 * longer keeps the changes in between. Errors are answered with a growing, jittered pause.
 *
 * @module
 */
import type { Clock, Logger, Milliseconds, RandomSource } from "@redwingpin/common";
import type { FactBatch, FleetScope, FleetSource, SourceError } from "../fleetSource.js";

/** First pause after an error; each further one is twice as long. */
const firstPause: Milliseconds = 100;

/** Pause between looks whether the store must be followed again. */
const idlePause: Milliseconds = 200;

/** Longest pause after errors; a store that returns is used again within about this time. */
const longestPause: Milliseconds = 1_000;

/** What a reading shows. */
export interface FactBatchContext {
    /** True for a reading of the whole scope, false for changes. */
    readonly complete: boolean;
    /**
     * What is new in the reading has changed within this time: 0 for changes that the store told of at once, the time
     * since its last answer after calls that failed; absent for the first reading.
     */
    readonly changedWithin: Milliseconds | undefined;
}

/** Options of {@link StoreWatcher}. */
export interface StoreWatcherOptions {
    readonly scope: FleetScope;
    readonly source: FleetSource;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    /** Longest wait of one call; a channel that went silent is noticed after about this time. */
    readonly wait: Milliseconds;
    /** Pause after changes arrived, so that a series of them costs one call. */
    readonly batchDelay: Milliseconds;
    /**
     * False while others follow and tell of changes. The first reading is made in any case.
     * @default always true
     */
    readonly isNeeded?: () => boolean;
    /**
     * Revision up to which changes are known from elsewhere.
     * @default 0
     */
    readonly knownRevision?: () => number;
    /** Takes in facts. */
    readonly onBatch: (reading: FactBatch, kind: FactBatchContext) => void;
}

/** Follows the store until stopped. */
export class StoreWatcher {
    private after: number | undefined;
    private pause = firstPause;
    private stopped = false;
    private reachable: boolean | undefined;
    private troubledAt: Milliseconds = -Infinity;
    private answeredAt: Milliseconds = -Infinity;

    constructor(private readonly options: StoreWatcherOptions) {}

    /** Time since the store last answered; `undefined` where others follow or it never did. */
    get lastAnswerAge(): Milliseconds | undefined {
        const age = this.options.clock.now() - this.answeredAt;
        return Number.isFinite(age) && this.isNeeded() ? age : undefined;
    }

    /** True while the last call was answered. */
    get isReachable(): boolean {
        return this.reachable === true;
    }

    /** When the last call failed, on the process's clock. */
    get lastFailureAt(): Milliseconds {
        return this.troubledAt;
    }

    start(): void {
        void this.run();
    }

    stop(): void {
        this.stopped = true;
    }

    private async run(): Promise<void> {
        while (!this.stopped) {
            const pause = await this.step();
            if (pause > 0) {
                await new Promise<void>((resolve) => void this.options.clock.schedule(pause, resolve));
            }
        }
    }

    /** Makes one call; returns the pause before the next. */
    private async step(): Promise<Milliseconds> {
        const { knownRevision: knownTo, scope, source, wait } = this.options;
        const complete = this.after === undefined;
        if (!complete && !this.isNeeded()) {
            return idlePause;
        }
        const result = this.after === undefined
            ? await source.read(scope)
            : await source.watch(scope, Math.max(this.after, knownTo?.() ?? 0), wait);
        if (this.stopped) {
            return 0;
        }
        return result.match(
            (reading) => this.succeeded(reading, complete),
            (error) => this.failed(error),
        );
    }

    private isNeeded(): boolean {
        return this.options.isNeeded?.() ?? true;
    }

    private changedWithin(complete: boolean): Milliseconds | undefined {
        if (this.answeredAt === -Infinity) {
            return undefined;
        }
        const wasTold = !complete && this.troubledAt < this.answeredAt;
        return wasTold ? 0 : this.options.clock.now() - this.answeredAt;
    }

    private succeeded(reading: FactBatch, complete: boolean): Milliseconds {
        if (this.reachable !== true) {
            this.options.logger.info("store reached", {
                scope: this.options.scope,
                revision: reading.revision,
            });
        }
        this.reachable = true;
        const changedWithin = this.changedWithin(complete);
        this.answeredAt = this.options.clock.now();
        this.pause = firstPause;
        this.after = Math.max(this.after ?? 0, reading.revision);
        this.options.onBatch(reading, { complete, changedWithin });
        return reading.facts.length > 0 && !complete ? this.options.batchDelay : 0;
    }

    private failed(error: SourceError): Milliseconds {
        const { clock, logger, random, scope } = this.options;
        if (error.kind === "historyGone") {
            logger.warn("the store's history is gone, reading all again", { scope, after: this.after });
            this.after = undefined;
            return 0;
        }
        this.troubledAt = clock.now();
        if (this.reachable !== false) {
            logger.warn("store lost", { scope, error: error.message });
        }
        this.reachable = false;
        const pause = this.pause * (0.5 + random.unit());
        this.pause = Math.min(longestPause, this.pause * 2);
        return pause;
    }
}
