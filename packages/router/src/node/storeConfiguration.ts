/**
 * The configuration in force at this router, read from the store at an interval. A lower revision is never installed.
 *
 * @module
 */
import type { CancelTimer, Clock, Logger } from "@redwingpin/common";
import { readConfiguration } from "@redwingpin/configuration";
import { ManifestIndex, manifestOf } from "@redwingpin/manifest";
import type { KeyValueStore } from "@redwingpin/platform";

const readIntervalMilliseconds = 1_000;

/** Reads the configuration from the store. */
export class StoreConfiguration {
    private installedRevision = 0;
    private index: ManifestIndex | undefined;
    private cancelTimer: CancelTimer = () => {};
    private stopped = false;

    constructor(
        private readonly store: KeyValueStore,
        private readonly clock: Clock,
        private readonly logger: Logger,
    ) {}

    get revision(): number {
        return this.installedRevision;
    }

    get manifest(): ManifestIndex | undefined {
        return this.index;
    }

    /** Reads once and then at the interval. */
    async start(): Promise<void> {
        const loaded = await readConfiguration(this.store, this.clock);
        if (this.stopped) {
            return;
        }
        if (loaded.isErr()) {
            this.logger.warn("the configuration can not be read; the last one stays in force", {
                message: JSON.stringify(loaded.error),
            });
        }
        else if (loaded.value !== undefined && loaded.value.root.revision > this.installedRevision) {
            this.installedRevision = loaded.value.root.revision;
            this.index = new ManifestIndex(
                manifestOf(loaded.value.manifest.shards.flatMap((shard) => shard.items)),
            );
            this.logger.info("a configuration is in force", { revision: this.installedRevision });
        }
        this.cancelTimer = this.clock.schedule(readIntervalMilliseconds, () => void this.start());
    }

    stop(): void {
        this.stopped = true;
        this.cancelTimer();
    }
}
