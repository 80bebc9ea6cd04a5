/**
 * Startup of a replica: requests the configuration from several peers in parallel and selects the highest revision
 * received in time. The store is read in parallel; nothing waits for it.
 *
 * @module
 */
import { type Milliseconds, type RandomSource } from "@redwingpin/common";
import type { ConfigurationOutline } from "@redwingpin/protocol";

/** Number of peers of each role that a starting process asks in parallel. */
export const startupPeersPerRole = 3;

/** Time that a starting process waits for a higher revision after the first outline. */
export const outlineCollectionWindow: Milliseconds = 200;

/** Time after which a process without a configuration asks further peers. */
export const startupRetryInterval: Milliseconds = 300;

/** An outline with its sender. */
export interface ReceivedOutline {
    readonly from: string;
    readonly outline: ConfigurationOutline;
}

/** Collects the outlines that peers send. */
export class ConfigurationStartup {
    private readonly pendingPeers = new Set<string>();
    private best: ReceivedOutline | undefined;
    private firstOutlineAt: Milliseconds | undefined;
    private requestedAt: Milliseconds | undefined;

    constructor(private readonly random: RandomSource) {}

    /** Selects the peers to ask now; none while the last requests are recent. */
    selectDuePeers(routers: readonly string[], agents: readonly string[], now: Milliseconds): string[] {
        if (this.requestedAt !== undefined && now - this.requestedAt < startupRetryInterval) {
            return [];
        }
        const chosen = [...this.pickPeers(routers), ...this.pickPeers(agents)];
        this.requestedAt = chosen.length === 0 ? undefined : now;
        for (const peer of chosen) {
            this.pendingPeers.add(peer);
        }
        return chosen;
    }

    /** Records that a peer answered, with or without an outline. */
    recordAnswer(from: string, outline: ConfigurationOutline | undefined, now: Milliseconds): void {
        this.pendingPeers.delete(from);
        if (outline === undefined) {
            return;
        }
        this.firstOutlineAt ??= now;
        if (this.best === undefined || outline.revision > this.best.outline.revision) {
            this.best = { from, outline };
        }
    }

    /** Takes the outline with the highest revision, once all peers have answered or the window is over. */
    takeBest(now: Milliseconds): ReceivedOutline | undefined {
        const isOver = this.firstOutlineAt !== undefined
            && now - this.firstOutlineAt >= outlineCollectionWindow;
        if (this.best === undefined || (this.pendingPeers.size > 0 && !isOver)) {
            return undefined;
        }
        const best = this.best;
        this.best = undefined;
        this.firstOutlineAt = undefined;
        return best;
    }

    private pickPeers(peers: readonly string[]): string[] {
        return pickDistinct(this.random, peers, startupPeersPerRole);
    }
}

/** Picks up to `count` distinct elements at random. */
export function pickDistinct<T>(random: RandomSource, from: readonly T[], count: number): T[] {
    const rest = [...from];
    const chosen: T[] = [];
    while (chosen.length < count && rest.length > 0) {
        chosen.push(...rest.splice(random.integerBelow(rest.length), 1));
    }
    return chosen;
}
