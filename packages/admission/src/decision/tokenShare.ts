/**
 * How an account's rate and burst are divided over its slots: equally, in whole tokens.
 *
 * The division is monotone: a slot's part never shrinks when the total grows, and the parts add up to the total.
 * Holders that decide by different manifest revisions therefore never have more than the greatest of the totals
 * between them, and no agreement is needed when a rate changes. For the same reason the number of slots does not
 * follow the account's size: with more slots the others' parts would shrink.
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

/** Part of `total` that slot `index` of `slots` has, in whole tokens. */
export function partOf(total: number, index: number, slots: number): number {
    return index < slots ? Math.floor((Math.floor(total) + slots - 1 - index) / slots) : 0;
}

/** Limits of slot `index` of an account that is divided over `slots`. */
export function slotLimits(account: ClientAccount, index: number, slots: number): SlotLimits {
    return {
        tokensPerSecond: partOf(account.tokensPerSecond, index, slots),
        burstTokens: partOf(account.burstTokens, index, slots),
    };
}
