/**
 * Decides which routers watch the store and how often each polls the root, so that the total rate of reads doesn't grow
 * with the number of routers.
 *
 * @module
 */
import { type Milliseconds, rendezvousScore } from "@redwingpin/common";
import type { RouterPeer } from "./replicaEvents.js";

/** Number of routers in each data centre that watch the root. */
export const watchersPerDataCentre = 2;

/** Root reads a second of all watchers together, as a fallback for a watch that stopped without an error. */
export const watcherReadsPerSecond = 4;

/** Root reads a second of all other routers together. */
export const otherReadsPerSecond = 4;

const minimumWatcherPollInterval: Milliseconds = 1_000;
const minimumOtherPollInterval: Milliseconds = 5_000;
const millisecondsPerSecond = 1_000;

/** How one router reads the store. */
export interface WatchPlan {
    readonly isWatcher: boolean;
    readonly pollInterval: Milliseconds;
}

/** Plans the reads of `self` among the live routers. */
export function planWatch(self: RouterPeer, others: readonly RouterPeer[]): WatchPlan {
    const local = others.filter((other) => other.dataCentre === self.dataCentre);
    const ownScore = watchScore(self);
    const isPreferred = (other: RouterPeer) => {
        const score = watchScore(other);
        return score > ownScore || (score === ownScore && other.instance < self.instance);
    };
    const isWatcher = local.filter(isPreferred).length < watchersPerDataCentre;
    const watchers = countWatchers([self, ...others]);
    return isWatcher
        ? {
            isWatcher,
            pollInterval: pollInterval(minimumWatcherPollInterval, watchers, watcherReadsPerSecond),
        }
        : {
            isWatcher,
            pollInterval: pollInterval(minimumOtherPollInterval, others.length + 1, otherReadsPerSecond),
        };
}

function watchScore(router: RouterPeer): number {
    return rendezvousScore(`configuration watch ${router.dataCentre}`, router.instance);
}

function pollInterval(minimum: Milliseconds, readers: number, readsPerSecond: number): Milliseconds {
    return Math.max(minimum, readers * millisecondsPerSecond / readsPerSecond);
}

function countWatchers(routers: readonly RouterPeer[]): number {
    const counts = new Map<string, number>();
    for (const router of routers) {
        const count = counts.get(router.dataCentre) ?? 0;
        counts.set(router.dataCentre, Math.min(watchersPerDataCentre, count + 1));
    }
    return [...counts.values()].reduce((sum, count) => sum + count, 0);
}
