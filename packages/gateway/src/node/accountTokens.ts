/**
 * Connects the accounts' token buckets to the other routers: reports what this router spends, asks holders of an account for
 * tokens, and grants tokens of the accounts that this router holds.
 *
 * @module
 */
import type { Clock } from "@redwingpin/common";
import type { FleetSync, TokenReply, TokenRequest } from "@redwingpin/fleet";
import { type SharedLedger, SpendCause, type SpendOutcome } from "../decision/sharedLedger.js";

/** Number of holders of an account that are asked for tokens until one answers. */
const maxAskedHolders = 2;

/** Dependencies of {@link AccountTokens}. */
export interface AccountTokensOptions {
    readonly clock: Clock;
    readonly ledger: SharedLedger;
    readonly sync: Pick<
        FleetSync,
        "deliverReports" | "liveRouterNames" | "requestTokens" | "unresponsiveRouterNames"
    >;
}

/** Keeps the buckets informed of the fleet, and the fleet of what this router spends. */
export class AccountTokens {
    constructor(private readonly options: AccountTokensOptions) {}

    /** Informs the buckets of the routers that are live and of those that are unresponsive. */
    updateFleet(): void {
        const { clock, ledger, sync } = this.options;
        const live = sync.liveRouterNames();
        ledger.updateFleet({ live, unresponsive: sync.unresponsiveRouterNames() }, clock.now());
    }

    /**
     * Charges an account for a request. If this router's own share does not admit it, reports to the other holders of the
     * account or a holder's grant may.
     */
    async charge(request: TokenRequest): Promise<SpendOutcome> {
        const outcome = this.spend(request, SpendCause.OwnRequest);
        if (outcome.admitted) {
            return outcome;
        }
        return outcome.needsReport
            ? this.spendAfterReport(request, SpendCause.OwnRequest)
            : this.askHolders(request, outcome);
    }

    /** Answers a router that takes this one for a holder of the account; `undefined` if the account is not configured here. */
    async grant(request: TokenRequest): Promise<TokenReply | undefined> {
        if (!this.options.ledger.hasAccount(request.account)) {
            return undefined;
        }
        const first = this.spend(request, SpendCause.Grant);
        const outcome = !first.admitted && first.needsReport
            ? await this.spendAfterReport(request, SpendCause.Grant)
            : first;
        return outcome.admitted
            ? { kind: "granted" }
            : { kind: "denied", level: outcome.level, retryAfter: outcome.retryAfter };
    }

    private async askHolders(
        request: TokenRequest,
        refused: Exclude<SpendOutcome, { readonly admitted: true; }>,
    ): Promise<SpendOutcome> {
        const { clock, ledger, sync } = this.options;
        for (const holder of refused.holders.slice(0, maxAskedHolders)) {
            const reply = await sync.requestTokens(holder, request);
            switch (reply?.kind) {
                case "granted":
                    return { admitted: true };
                case "denied":
                    ledger.recordDenial(request.account, request.tokens, reply, clock.now());
                    return { ...refused, retryAfter: reply.retryAfter, level: reply.level };
                case undefined:
                    break;
            }
        }
        return refused.holders.length === 0 ? refused : this.spend(request, SpendCause.NoHolder);
    }

    private async spendAfterReport(request: TokenRequest, cause: SpendCause): Promise<SpendOutcome> {
        const { ledger, sync } = this.options;
        await sync.deliverReports(ledger.holdersOf(request.account));
        this.updateFleet();
        return this.spend(request, cause);
    }

    private spend({ account, tokens }: TokenRequest, cause: SpendCause): SpendOutcome {
        const { clock, ledger } = this.options;
        return ledger.spend(account, tokens, clock.now(), cause);
    }
}
