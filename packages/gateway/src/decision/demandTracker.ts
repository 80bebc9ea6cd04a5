/**
 * How much work requests bring to each service, and how many of its replicas may be out of service at once because of
 * it.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { ServiceDemand } from "@redwingpin/fleet";

/** Demand is counted over this time: longer than a burst of arrivals, shorter than a roll-out. */
const meterWindow: Milliseconds = 2_000;

const slots = 8;

/** Part of its reading speed up to which a replica answers in time; queues grow fast beyond. */
const comfortableUse = 0.85;

/** A peer's report of its demand counts for this long. */
const reportLifetime: Milliseconds = 3_000;

interface PeerDemand {
    readonly at: Milliseconds;
    readonly demand: readonly ServiceDemand[];
}

/** Counts the prompt tokens that this router sends, and takes in what its peers send. */
export class DemandTracker {
    private readonly services = new Map<string, Map<number, number>>();
    private readonly peers = new Map<string, PeerDemand>();

    record(service: string, tokens: number, now: Milliseconds): void {
        const counts = this.services.get(service) ?? new Map<number, number>();
        this.services.set(service, counts);
        const slot = slotOf(now);
        counts.set(slot, (counts.get(slot) ?? 0) + tokens);
    }

    /** This router's own demand, for peers. */
    report(now: Milliseconds): ServiceDemand[] {
        return [...this.services.keys()].map((service) => ({
            service,
            tokensPerMillisecond: this.ownDemand(service, now),
        }));
    }

    /** Takes in a peer's own demand. */
    observe(peer: string, demand: readonly ServiceDemand[], now: Milliseconds): void {
        this.peers.set(peer, { at: now, demand });
    }

    /** Tokens a millisecond over all routers. */
    total(service: string, now: Milliseconds): number {
        let total = this.ownDemand(service, now);
        for (const [peer, { at, demand }] of this.peers) {
            if (now - at > reportLifetime) {
                this.peers.delete(peer);
                continue;
            }
            total += demand.find((entry) => entry.service === service)?.tokensPerMillisecond ?? 0;
        }
        return total;
    }

    private ownDemand(service: string, now: Milliseconds): number {
        const counts = this.services.get(service) ?? new Map<number, number>();
        const newest = slotOf(now);
        let tokens = 0;
        for (const [slot, count] of counts) {
            if (slot <= newest - slots) {
                counts.delete(slot);
                continue;
            }
            tokens += count;
        }
        return tokens / meterWindow;
    }
}

/** Replicas of a service that may be out of service at once; at least one, so that a roll-out goes on. */
export function spareReplicas(serving: number, demand: number, speed: number): number {
    const needed = Math.ceil(demand / Math.max(Number.EPSILON, speed * comfortableUse));
    return Math.max(1, serving - needed);
}

function slotOf(now: Milliseconds): number {
    return Math.floor(now * slots / meterWindow);
}
