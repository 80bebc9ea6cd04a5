/**
 * The start of a replica: asks several peers at once and takes the highest revision that is offered in time. The
 * store is asked beside it; nothing waits for the store.
 *
 * @module
 */
import { type Milliseconds, type RandomSource } from "@redwingpin/common";
import type { ConfigurationOutline } from "@redwingpin/protocol";

/** Peers of each role that a starting process asks at once. */
export const peersAskedAtStart = 3;

/** Time that a starting process waits for higher offers once it has one. */
export const offerWindow: Milliseconds = 200;

/** Time after which a process without a configuration asks other peers. */
export const startRetry: Milliseconds = 300;

/** An outline with its sender. */
export interface Offer {
    readonly from: string;
    readonly outline: ConfigurationOutline;
}

/** Collects offers. */
export class ConfigurationStart {
    private readonly waiting = new Set<string>();
    private best: Offer | undefined;
    private firstOfferAt: Milliseconds | undefined;
    private askedAt: Milliseconds | undefined;

    constructor(private readonly random: RandomSource) {}

    /** Peers to ask now. */
    due(routers: readonly string[], agents: readonly string[], now: Milliseconds): string[] {
        if (this.askedAt !== undefined && now - this.askedAt < startRetry) {
            return [];
        }
        const chosen = [...this.sample(routers), ...this.sample(agents)];
        this.askedAt = chosen.length === 0 ? undefined : now;
        for (const peer of chosen) {
            this.waiting.add(peer);
        }
        return chosen;
    }

    /** Notes that a peer answered, with or without an offer. */
    answered(from: string, outline: ConfigurationOutline | undefined, now: Milliseconds): void {
        this.waiting.delete(from);
        if (outline === undefined) {
            return;
        }
        this.firstOfferAt ??= now;
        if (this.best === undefined || outline.revision > this.best.outline.revision) {
            this.best = { from, outline };
        }
    }

    /** The offer to take, once all have answered or the window is over. */
    take(now: Milliseconds): Offer | undefined {
        const isOver = this.firstOfferAt !== undefined && now - this.firstOfferAt >= offerWindow;
        if (this.best === undefined || (this.waiting.size > 0 && !isOver)) {
            return undefined;
        }
        const offer = this.best;
        this.best = undefined;
        this.firstOfferAt = undefined;
        return offer;
    }

    private sample(peers: readonly string[]): string[] {
        return sample(this.random, peers, peersAskedAtStart);
    }
}

/** Picks up to `count` different members. */
export function sample<T>(random: RandomSource, from: readonly T[], count: number): T[] {
    const rest = [...from];
    const chosen: T[] = [];
    while (chosen.length < count && rest.length > 0) {
        chosen.push(...rest.splice(random.integerBelow(rest.length), 1));
    }
    return chosen;
}
