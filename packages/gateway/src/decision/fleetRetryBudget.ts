/**
 * Budget for retries to each service over a sliding window. All routers share the budget, and each spends only its part.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** Bounds of the fleet's retry budget. */
export interface RetryBudgetBounds {
    /** Retries per request of the same window. */
    readonly ratio: number;
    readonly window: Milliseconds;
    /** Retries beyond the ratio, over all routers. */
    readonly slack: number;
}

/**
 * Share of the slack that routers use; the rest allows for routers that are not known yet and for window boundaries.
 */
const usedSlackShare = 0.6;

/** Share of the ratio that routers use: a retry may be counted in a later window than its request. */
const usedRatioShare = 0.7;

const slotsPerWindow = 10;

interface Count {
    requests: number;
    retries: number;
}

/** Counts the requests and retries of one router, by service. */
export class FleetRetryBudget {
    private readonly services = new Map<string, Map<number, Count>>();

    constructor(private bounds: RetryBudgetBounds) {}

    /** Applies new bounds; the counts are kept unless the window changes. */
    setBounds(bounds: RetryBudgetBounds): void {
        if (bounds.window !== this.bounds.window) {
            this.services.clear();
        }
        this.bounds = bounds;
    }

    recordRequest(service: string, now: Milliseconds): void {
        this.count(service, now).requests += 1;
    }

    /** Spends one retry of the budget. Returns false, and spends nothing, if none is left. */
    trySpend(service: string, routers: number, now: Milliseconds): boolean {
        if (!this.canSpend(service, routers, now)) {
            return false;
        }
        this.count(service, now).retries += 1;
        return true;
    }

    /** True if the budget has a retry left. */
    canSpend(service: string, routers: number, now: Milliseconds): boolean {
        const { requests, retries } = this.totals(service, now);
        const { ratio, slack } = this.bounds;
        const allowed = requests * ratio * usedRatioShare + slack * usedSlackShare / Math.max(1, routers);
        return retries + 1 <= allowed;
    }

    private totals(service: string, now: Milliseconds): Count {
        const oldest = this.slot(now) - slotsPerWindow;
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
        return Math.floor(now * slotsPerWindow / this.bounds.window);
    }
}
