/**
 * When a process watches and reads the root in the store.
 *
 * @module
 */
import type { Milliseconds, RandomSource } from "@redwingpin/common";
import type { ManifestShard } from "@redwingpin/manifest";
import type { RootRecord } from "../records.js";
import { ReplicaEffectKind, type ReplicaEffects, type SpreadPeer } from "./replicaEvents.js";
import { planWatch, type WatchPlan } from "./watchPolicy.js";

/** Time without any contact after which a router reads the root often, since only the store may still reach it. */
const isolatedAfter: Milliseconds = 5_000;

/** Time between two reads of the root while isolated or without a configuration. */
const eagerPoll: Milliseconds = 1_000;

/** Time after which a load of the content is given up and may start again. */
const loadTimeout: Milliseconds = 5_000;

/** Part of the interval by which reads are spread. */
const jitter = 0.2;

/** Decides on calls to the store. */
export class StorePoll {
    private plan: WatchPlan;
    private watching = false;
    private lastPoll: Milliseconds | undefined;
    private spread = 1;
    private loadingSince: Milliseconds | undefined;

    constructor(
        private readonly self: SpreadPeer,
        private readonly random: RandomSource,
        private readonly readsStore: boolean,
    ) {
        this.plan = planWatch(self, []);
    }

    /** Takes in the live routers. */
    *peersChanged(routers: readonly SpreadPeer[]): ReplicaEffects {
        this.plan = planWatch(this.self, routers);
        const watching = this.readsStore && this.plan.watches;
        if (watching !== this.watching) {
            this.watching = watching;
            yield { kind: ReplicaEffectKind.SetWatching, watching };
        }
    }

    /** Reads the root when it is due. */
    *tick(now: Milliseconds, isStarting: boolean, quiet: Milliseconds): ReplicaEffects {
        if (!this.readsStore) {
            return;
        }
        const isEager = isStarting || quiet >= isolatedAfter;
        const interval = isEager ? Math.min(eagerPoll, this.plan.pollInterval) : this.plan.pollInterval;
        if (this.lastPoll !== undefined && now - this.lastPoll < interval * this.spread) {
            return;
        }
        this.lastPoll = now;
        this.spread = 1 - jitter * this.random.unit();
        yield { kind: ReplicaEffectKind.ReadRoot };
    }

    /** Loads what a root refers to, one load at a time. */
    *load(root: RootRecord, known: ReadonlyMap<string, ManifestShard>, now: Milliseconds): ReplicaEffects {
        if (this.loadingSince !== undefined && now - this.loadingSince < loadTimeout) {
            return;
        }
        this.loadingSince = now;
        yield { kind: ReplicaEffectKind.LoadContent, root, known };
    }

    /** The load succeeded or failed; the next root read may start another. */
    loadEnded(): void {
        this.loadingSince = undefined;
    }
}
