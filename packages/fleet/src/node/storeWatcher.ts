/**
 * Watches one scope of the store: reads it once, then waits for changes, and reads it again only if the store no longer
 * keeps the changes in between. Retries after errors with exponential backoff and jitter.
 *
 * @module
 */
import type { Clock, Logger, Milliseconds, RandomSource } from "@redwingpin/common";
import type { FactBatch, FleetScope, FleetSource, SourceError } from "../fleetSource.js";

/** First delay after an error; each further one is twice as long. */
const firstRetryDelay: Milliseconds = 100;

/** Interval at which a process that does not watch the store checks whether it has to. */
const idlePollInterval: Milliseconds = 50;

/** Maximum delay after errors, and thus about the time after which a store that is reachable again is used. */
const maxRetryDelay: Milliseconds = 1_000;

/**
 * Minimum duration of an outage in which registrations may have expired: they outlive several missed renewals. A call that
 * failed in between, such as a watch whose connection was closed, is no outage.
 */
const minOutage: Milliseconds = 500;

/** Completeness and age of a batch of facts. */
export interface FactBatchContext {
    /** True for a snapshot of the whole scope, false for changes. */
    readonly complete: boolean;
    /**
     * Maximum age of what is new in the batch: 0 for changes that the store sent immediately; the time since its last
     * answer if calls have failed since then or the history was lost; absent for the first snapshot.
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
    /** Maximum wait of the next call; an unresponsive connection is detected after about this time. */
    readonly wait: () => Milliseconds;
    /** Delay between the arrival of changes and the next call, which then returns all that follow in this time. */
    readonly batchDelay: Milliseconds;
    /**
     * False while other routers watch and send the changes. The first snapshot is read in any case.
     * @default always true
     */
    readonly isNeeded?: () => boolean;
    /**
     * Revision up to which changes are known from peers.
     * @default 0
     */
    readonly knownRevision?: () => number;
    readonly onBatch: (batch: FactBatch, context: FactBatchContext) => void;
}

/** Watches the store until stopped. */
export class StoreWatcher {
    private revision: number | undefined;
    private retryDelay = firstRetryDelay;
    private stopped = false;
    private reachable: boolean | undefined;
    private failedAt: Milliseconds = -Infinity;
    /** Since when the store has given no answer, as far as known; set while calls fail. */
    private outageSince: Milliseconds = -Infinity;
    private outageAt: Milliseconds = -Infinity;
    /** True after the history was gone, until a watch is answered. */
    private wasReadAgain = false;
    /** Number of calls that have failed since the last answer. */
    private failures = 0;
    private answeredAt: Milliseconds = -Infinity;
    /** True while other routers watch. */
    private isIdle = false;

    constructor(private readonly options: StoreWatcherOptions) {}

    /** Time since the store last answered; `undefined` if it never did or while other routers watch it. */
    get lastAnswerAge(): Milliseconds | undefined {
        const age = this.options.clock.now() - this.answeredAt;
        return Number.isFinite(age) && this.isNeeded() ? age : undefined;
    }

    /** True if the last call was answered. */
    get isReachable(): boolean {
        return this.reachable === true;
    }

    /** When a call last failed in an outage in which registrations may have expired, or the store was restored. */
    get lastOutageAt(): Milliseconds {
        return this.outageAt;
    }

    start(): void {
        void this.run();
    }

    stop(): void {
        this.stopped = true;
    }

    private async run(): Promise<void> {
        while (!this.stopped) {
            const delay = await this.poll();
            if (delay > 0) {
                await new Promise<void>((resolve) => void this.options.clock.schedule(delay, resolve));
            }
        }
    }

    /** Makes one call; returns the delay before the next. */
    private async poll(): Promise<Milliseconds> {
        const { knownRevision, scope, source, wait } = this.options;
        const complete = this.revision === undefined;
        if (!complete && !this.isNeeded()) {
            this.isIdle = true;
            return idlePollInterval;
        }
        // What changed while the others watched is needed immediately, and so is an answer for them.
        const waitTime = this.isIdle ? 0 : wait();
        this.isIdle = false;
        const calledAt = this.options.clock.now();
        const minDuration = complete ? 0 : waitTime;
        const result = this.revision === undefined
            ? await source.read(scope)
            : await source.watch(scope, Math.max(this.revision, knownRevision?.() ?? 0), waitTime);
        if (this.stopped) {
            return 0;
        }
        return result.match(
            // A watch that waits for changes is served as soon as the store has accepted it.
            (batch) =>
                this.handleBatch(batch, complete, Math.max(calledAt, this.options.clock.now() - minDuration)),
            (error) => this.handleFailure(error, calledAt, minDuration),
        );
    }

    private isNeeded(): boolean {
        return this.options.isNeeded?.() ?? true;
    }

    private changedWithin(complete: boolean): Milliseconds | undefined {
        if (this.answeredAt === -Infinity) {
            return undefined;
        }
        const isImmediate = !complete && this.failedAt < this.answeredAt;
        return isImmediate ? 0 : this.options.clock.now() - this.answeredAt;
    }

    /** `servedSince` is the earliest time from which the store may have served the call. */
    private handleBatch(batch: FactBatch, complete: boolean, servedSince: Milliseconds): Milliseconds {
        if (this.reachable !== true) {
            this.options.logger.info("store reached", {
                records: this.options.scope,
                revision: batch.revision,
            });
        }
        this.reachable = true;
        const changedWithin = this.changedWithin(complete);
        this.answeredAt = this.options.clock.now();
        if (!complete) {
            this.wasReadAgain = false;
        }
        if (!this.wasReadAgain) {
            this.retryDelay = firstRetryDelay;
        }
        if (this.failures > 0) {
            this.recordOutage(servedSince);
        }
        this.failures = 0;
        this.revision = Math.max(this.revision ?? 0, batch.revision);
        this.options.onBatch(batch, { complete, changedWithin });
        return batch.facts.length > 0 && !complete ? this.options.batchDelay : 0;
    }

    /** Makes the next call read a snapshot; returns the delay before it. */
    private readAgain(error: Exclude<SourceError, { readonly kind: "unavailable"; }>): Milliseconds {
        const { clock, logger, scope } = this.options;
        const fields = { records: scope, after: this.revision };
        if (error.kind === "restored") {
            // Registrations that the store has lost are back within the grace period, as after an outage.
            this.failedAt = clock.now();
            this.outageAt = this.failedAt;
            logger.warn("store was restored from a copy; reading a new snapshot", fields);
        }
        else {
            logger.warn(
                "store no longer keeps the changes since the last revision; reading a new snapshot",
                fields,
            );
        }
        this.revision = undefined;
        // The first snapshot is read at once; one that did not help is not read again at once.
        const delay = this.wasReadAgain ? this.nextRetryDelay() : 0;
        this.wasReadAgain = true;
        return delay;
    }

    private nextRetryDelay(): Milliseconds {
        const delay = this.retryDelay * (0.5 + this.options.random.unit());
        this.retryDelay = Math.min(maxRetryDelay, this.retryDelay * 2);
        return delay;
    }

    /** Records the last failure as one of an outage if no call has been answered for long enough. */
    private recordOutage(now: Milliseconds): void {
        if (now - this.outageSince >= minOutage) {
            this.outageAt = this.failedAt;
        }
    }

    /** `minDuration` is the time that the store may take for the call. */
    private handleFailure(
        error: SourceError,
        calledAt: Milliseconds,
        minDuration: Milliseconds,
    ): Milliseconds {
        const { clock, logger, scope } = this.options;
        if (error.kind !== "unavailable") {
            return this.readAgain(error);
        }
        this.failedAt = clock.now();
        if (this.failures === 0) {
            // A call that lasted longer than it may has not been answered at any time since its start.
            const wasSilent = this.failedAt - calledAt >= minDuration;
            this.outageSince = wasSilent ? calledAt : this.failedAt;
        }
        this.recordOutage(this.failedAt);
        this.failures += 1;
        const fields = {
            records: scope,
            error: error.message,
            waited: Math.round(this.failedAt - calledAt),
            failures: this.failures,
        };
        if (this.reachable === false) {
            logger.info("store call failed again", fields);
        }
        else {
            logger.warn("store lost", fields);
        }
        this.reachable = false;
        return this.nextRetryDelay();
    }
}
