/**
 * Which routers watch the store and how often each reads the root, so that the fleet's reads stay constant however
 * many routers it has.
 *
 * @module
 */
import { type Milliseconds, rendezvousScore } from "@redwingpin/common";
import type { SpreadPeer } from "./replicaEvents.js";

/** Routers of each data centre that watch the root. */
export const watchersPerDataCentre = 2;

/** Root reads a second of all watchers together, as a fallback where a watch has died silently. */
export const watcherReadsPerSecond = 4;

/** Root reads a second of all other routers together. */
export const otherReadsPerSecond = 4;

const minimumWatcherPoll: Milliseconds = 1_000;
const minimumOtherPoll: Milliseconds = 5_000;
const millisecondsPerSecond = 1_000;

/** What one router does about the store. */
export interface WatchPlan {
    readonly watches: boolean;
    readonly pollInterval: Milliseconds;
}

/** The plan of `self` among the live routers. */
export function planWatch(self: SpreadPeer, others: readonly SpreadPeer[]): WatchPlan {
    const neighbours = others.filter((other) => other.dataCentre === self.dataCentre);
    const own = watchScore(self);
    const isAhead = (other: SpreadPeer) => {
        const score = watchScore(other);
        return score > own || (score === own && other.instance < self.instance);
    };
    const watches = neighbours.filter(isAhead).length < watchersPerDataCentre;
    const watchers = countWatchers([self, ...others]);
    return watches
        ? { watches, pollInterval: pollInterval(minimumWatcherPoll, watchers, watcherReadsPerSecond) }
        : { watches, pollInterval: pollInterval(minimumOtherPoll, others.length + 1, otherReadsPerSecond) };
}

function watchScore(router: SpreadPeer): number {
    return rendezvousScore(`configuration watch ${router.dataCentre}`, router.instance);
}

function pollInterval(minimum: Milliseconds, readers: number, readsPerSecond: number): Milliseconds {
    return Math.max(minimum, readers * millisecondsPerSecond / readsPerSecond);
}

function countWatchers(routers: readonly SpreadPeer[]): number {
    const counts = new Map<string, number>();
    for (const router of routers) {
        const count = counts.get(router.dataCentre) ?? 0;
        counts.set(router.dataCentre, Math.min(watchersPerDataCentre, count + 1));
    }
    return [...counts.values()].reduce((sum, count) => sum + count, 0);
}
