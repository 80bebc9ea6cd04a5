/**
 * Connects the accounts' token buckets to the exchanges with other routers.
 *
 * @module
 */
import type { Clock } from "@redwingpin/common";
import type { FleetSync } from "@redwingpin/fleet";
import type { SharedLedger } from "../decision/sharedLedger.js";

/** Dependencies of {@link AccountTokens}. */
export interface AccountTokensOptions {
    readonly clock: Clock;
    readonly ledger: SharedLedger;
    readonly sync: FleetSync;
}

/** Keeps the buckets informed of the fleet, and the fleet of what this router spends. */
export class AccountTokens {
    constructor(private readonly options: AccountTokensOptions) {}

    /** Informs the buckets of the routers that are live and of those that are unresponsive. */
    updateFleet(): void {
        const { clock, ledger, sync } = this.options;
        const live = sync.liveRouterNames();
        ledger.updateFleet({ live, unresponsive: sync.unresponsiveRouterCount() }, clock.now());
    }

    /**
     * Reports this router's spending to the live routers. This is done before a request is refused although its account
     * has enough tokens.
     */
    async deliverReports(): Promise<void> {
        await this.options.sync.deliverReports();
        this.updateFleet();
    }
}
