/**
 * Divides the rate and burst of an account equally among its slots, in whole tokens.
 *
 * The division is monotone: the share of a slot never shrinks when the total grows, and the shares add up to the
 * total. Holders that use different manifest revisions therefore never have more than the greatest of the totals
 * together, and no agreement is needed when a rate changes. For the same reason the number of slots does not depend
 * on the size of the account: with more slots the shares of the others would shrink.
 *
 * @module
 */
import type { ClientAccount } from "@redwingpin/manifest";

/** Rate and burst of one slot. */
export interface SlotLimits {
    /** Tokens a second. */
    readonly tokensPerSecond: number;
    readonly burstTokens: number;
}

/** Limits of a slot from which nothing may be spent. */
export const noLimits: SlotLimits = { tokensPerSecond: 0, burstTokens: 0 };

/** Share of slot `index` among `slots` slots in `total`, in whole tokens. */
export function shareOf(total: number, index: number, slots: number): number {
    return index < slots ? Math.floor((Math.floor(total) + slots - 1 - index) / slots) : 0;
}

/** Limits of slot `index` of an account with `slots` slots. */
export function slotLimits(account: ClientAccount, index: number, slots: number): SlotLimits {
    return {
        tokensPerSecond: shareOf(account.tokensPerSecond, index, slots),
        burstTokens: shareOf(account.burstTokens, index, slots),
    };
}
