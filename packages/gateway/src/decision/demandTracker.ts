/**
 * Measures the load that requests put on each service, and derives how many of its replicas may be out of service at
 * the same time.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { ServiceDemand } from "@redwingpin/fleet";

/** Window over which demand is averaged: longer than a burst of arrivals, shorter than a rollout. */
const demandWindow: Milliseconds = 2_000;

const slotsPerWindow = 8;

/** Share of a replica's prompt-processing speed up to which it answers in time; queues grow fast above it. */
const targetUtilization = 0.85;

/** A peer's demand report is ignored after this time. */
const peerReportLifetime: Milliseconds = 3_000;

interface PeerDemand {
    readonly receivedAt: Milliseconds;
    readonly demand: readonly ServiceDemand[];
}

/** Counts the prompt tokens that this router and its peers send to each service. */
export class DemandTracker {
    private readonly services = new Map<string, Map<number, number>>();
    private readonly peers = new Map<string, PeerDemand>();

    record(service: string, tokens: number, now: Milliseconds): void {
        const counts = this.services.get(service) ?? new Map<number, number>();
        this.services.set(service, counts);
        const slot = slotOf(now);
        counts.set(slot, (counts.get(slot) ?? 0) + tokens);
    }

    /** This router's own demand, for its peers. */
    report(now: Milliseconds): ServiceDemand[] {
        return [...this.services.keys()].map((service) => ({
            service,
            tokensPerMillisecond: this.ownDemand(service, now),
        }));
    }

    /** Applies a peer's demand report. */
    observe(peer: string, demand: readonly ServiceDemand[], now: Milliseconds): void {
        this.peers.set(peer, { receivedAt: now, demand });
    }

    /** Demand over all routers, in tokens per millisecond. */
    total(service: string, now: Milliseconds): number {
        let total = this.ownDemand(service, now);
        for (const [peer, { receivedAt, demand }] of this.peers) {
            if (now - receivedAt > peerReportLifetime) {
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
            if (slot <= newest - slotsPerWindow) {
                counts.delete(slot);
                continue;
            }
            tokens += count;
        }
        return tokens / demandWindow;
    }
}

/** Number of replicas that may be out of service at the same time; at least one, so that a rollout makes progress. */
export function spareReplicas(serving: number, demand: number, speed: number): number {
    const needed = Math.ceil(demand / Math.max(Number.EPSILON, speed * targetUtilization));
    return Math.max(1, serving - needed);
}

function slotOf(now: Milliseconds): number {
    return Math.floor(now * slotsPerWindow / demandWindow);
}
