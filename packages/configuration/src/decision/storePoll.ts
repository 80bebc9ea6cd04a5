/**
 * Decides when a process watches and polls the root in the store.
 *
 * @module
 */
import type { Milliseconds, RandomSource } from "@redwingpin/common";
import type { ManifestShard } from "@redwingpin/manifest";
import type { RootRecord } from "../records.js";
import { ReplicaEffectKind, type ReplicaEffects, type RouterPeer } from "./replicaEvents.js";
import { planWatch, type WatchPlan } from "./watchPolicy.js";

/** Time without contact to any peer after which a router polls the root often, because only the store may be reachable. */
const isolationTimeout: Milliseconds = 5_000;

/** Interval between polls of the root while the router is isolated or has no configuration. */
const eagerPollInterval: Milliseconds = 1_000;

/** Time after which a load of the content counts as failed and another may start. */
const loadTimeout: Milliseconds = 5_000;

/** Maximum fraction by which an interval between polls is randomly shortened. */
const jitter = 0.2;

/** Schedules calls to the store. */
export class StorePoll {
    private plan: WatchPlan;
    private isWatching = false;
    private lastPoll: Milliseconds | undefined;
    private jitterFactor = 1;
    private loadingSince: Milliseconds | undefined;

    constructor(
        private readonly self: RouterPeer,
        private readonly random: RandomSource,
        private readonly readsStore: boolean,
    ) {
        this.plan = planWatch(self, []);
    }

    /** Updates the live routers. */
    *peersChanged(routers: readonly RouterPeer[]): ReplicaEffects {
        this.plan = planWatch(this.self, routers);
        const watching = this.readsStore && this.plan.isWatcher;
        if (watching !== this.isWatching) {
            this.isWatching = watching;
            yield { kind: ReplicaEffectKind.SetWatching, watching };
        }
    }

    /** Reads the root when it is due. */
    *tick(now: Milliseconds, isStarting: boolean, sinceContact: Milliseconds): ReplicaEffects {
        if (!this.readsStore) {
            return;
        }
        const isEager = isStarting || sinceContact >= isolationTimeout;
        const interval = isEager
            ? Math.min(eagerPollInterval, this.plan.pollInterval)
            : this.plan.pollInterval;
        if (this.lastPoll !== undefined && now - this.lastPoll < interval * this.jitterFactor) {
            return;
        }
        this.lastPoll = now;
        this.jitterFactor = 1 - jitter * this.random.unit();
        yield { kind: ReplicaEffectKind.ReadRoot };
    }

    /** Loads the content of a root, one load at a time. */
    *load(root: RootRecord, known: ReadonlyMap<string, ManifestShard>, now: Milliseconds): ReplicaEffects {
        if (this.loadingSince !== undefined && now - this.loadingSince < loadTimeout) {
            return;
        }
        this.loadingSince = now;
        yield { kind: ReplicaEffectKind.LoadContent, root, known };
    }

    /** Records that the load succeeded or failed; the next read of the root may start another. */
    recordLoadEnd(): void {
        this.loadingSince = undefined;
    }
}
