/**
 * Retries that a router may send to a service: its part of a budget that all routers share, over a sliding window.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** The budget of the fleet. */
export interface RetryBudgetBounds {
    /** Retries for each request of the same window. */
    readonly ratio: number;
    readonly window: Milliseconds;
    /** Retries beyond the ratio, over all routers. */
    readonly slack: number;
}

/** Part of the slack that routers use; the rest covers routers that joined unnoticed and windows that straddle. */
const usedSlackShare = 0.6;

/** Part of the ratio that is used: retries are counted at their arrival, in other windows than their requests. */
const usedRatioShare = 0.7;

const buckets = 10;

interface Count {
    requests: number;
    retries: number;
}

/** Counts requests and retries of one router, by service. */
export class FleetRetryBudget {
    private readonly services = new Map<string, Map<number, Count>>();

    constructor(private bounds: RetryBudgetBounds) {}

    /** Takes over other bounds; what was counted stays. */
    setBounds(bounds: RetryBudgetBounds): void {
        if (bounds.window !== this.bounds.window) {
            this.services.clear();
        }
        this.bounds = bounds;
    }

    recordRequest(service: string, now: Milliseconds): void {
        this.count(service, now).requests += 1;
    }

    /** Takes one retry of the budget; false, and nothing is taken, where none is left. */
    tryRetry(service: string, routers: number, now: Milliseconds): boolean {
        const { requests, retries } = this.totals(service, now);
        const { ratio, slack } = this.bounds;
        const allowed = requests * ratio * usedRatioShare + slack * usedSlackShare / Math.max(1, routers);
        if (retries + 1 > allowed) {
            return false;
        }
        this.count(service, now).retries += 1;
        return true;
    }

    private totals(service: string, now: Milliseconds): Count {
        const oldest = this.slot(now) - buckets;
        const counts = this.services.get(service) ?? new Map<number, Count>();
        const total = { requests: 0, retries: 0 };
        for (const [slot, count] of counts) {
            if (slot < oldest) {
                counts.delete(slot);
                continue;
            }
            total.requests += count.requests;
            total.retries += count.retries;
        }
        return total;
    }

    private count(service: string, now: Milliseconds): Count {
        const counts = this.services.get(service) ?? new Map<number, Count>();
        this.services.set(service, counts);
        const slot = this.slot(now);
        const count = counts.get(slot) ?? { requests: 0, retries: 0 };
        counts.set(slot, count);
        return count;
    }

    private slot(now: Milliseconds): number {
        return Math.floor(now * buckets / this.bounds.window);
    }
}
