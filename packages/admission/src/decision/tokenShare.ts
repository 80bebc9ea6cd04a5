/**
 * How an account's rate and burst are divided over its slots.
 *
 * The division is monotone: a slot's part never shrinks when the total grows, and the parts add up to the total.
 * Holders that decide by different manifest revisions therefore never have more than the greatest of the totals
 * between them, and no agreement is needed when a rate changes.
 *
 * @module
 */
import type { ClientAccount } from "@redwingpin/manifest";

/** Into how many slots accounts are divided. The same in the whole fleet, and never changed while it runs. */
export interface SlotDivision {
    /** Slots of every account. */
    readonly baseSlots: number;
    /** Most slots of an account. */
    readonly maximumSlots: number;
    /** Tokens a second of one slot above which an account's rate is divided over more than `baseSlots`. */
    readonly slotTokensPerSecond: number;
    /** Burst tokens of one slot above which an account's burst is divided over more than `baseSlots`. */
    readonly slotBurstTokens: number;
}

/** Three slots, and up to 32 for accounts that are too large for three holders to answer for. */
export const defaultDivision: SlotDivision = {
    baseSlots: 3,
    maximumSlots: 32,
    slotTokensPerSecond: 120_000,
    slotBurstTokens: 120_000,
};

/** Rate and burst of one slot. */
export interface SlotLimits {
    /** Tokens a second. */
    readonly tokensPerSecond: number;
    readonly burstTokens: number;
}

/** Limits of a slot from which nothing may be spent. */
export const noLimits: SlotLimits = { tokensPerSecond: 0, burstTokens: 0 };

/** Part of `total` that slot `index` has, in whole tokens, where a slot takes `quantum` before others are added. */
export function partOf(total: number, index: number, quantum: number, division: SlotDivision): number {
    const { baseSlots, maximumSlots } = division;
    if (total <= baseSlots * quantum) {
        return equalPart(total, index, baseSlots);
    }
    if (total > maximumSlots * quantum) {
        return equalPart(total, index, maximumSlots);
    }
    return Math.max(0, Math.min(quantum, total - index * quantum));
}

function equalPart(total: number, index: number, slots: number): number {
    return index < slots ? Math.floor((total + slots - 1 - index) / slots) : 0;
}

/** Limits of slot `index` of an account. */
export function slotLimits(account: ClientAccount, index: number, division: SlotDivision): SlotLimits {
    const rate = Math.floor(account.tokensPerSecond);
    const burst = Math.floor(account.burstTokens);
    return {
        tokensPerSecond: partOf(rate, index, division.slotTokensPerSecond, division),
        burstTokens: partOf(burst, index, division.slotBurstTokens, division),
    };
}

/** Number of slots with a part in the account's burst. */
export function slotCount(account: ClientAccount, division: SlotDivision): number {
    const wanted = Math.ceil(Math.floor(account.burstTokens) / division.slotBurstTokens);
    return Math.max(division.baseSlots, Math.min(division.maximumSlots, wanted));
}
