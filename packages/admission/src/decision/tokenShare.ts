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
import { baseSlots, maximumSlots, slotBurstTokens, slotTokensPerSecond } from "../constants.js";

/** Rate and burst of one slot. */
export interface SlotLimits {
    /** Tokens a second. */
    readonly tokensPerSecond: number;
    readonly burstTokens: number;
}

/** Limits of a slot from which nothing may be spent. */
export const noLimits: SlotLimits = { tokensPerSecond: 0, burstTokens: 0 };

/** Part of `total` that slot `index` has, in whole tokens, where a slot takes `quantum` before others are added. */
export function partOf(total: number, index: number, quantum: number): number {
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
export function slotLimits(account: ClientAccount, index: number): SlotLimits {
    return {
        tokensPerSecond: partOf(Math.floor(account.tokensPerSecond), index, slotTokensPerSecond),
        burstTokens: partOf(Math.floor(account.burstTokens), index, slotBurstTokens),
    };
}

/** Number of slots with a part in the account's burst. */
export function slotCount(account: ClientAccount): number {
    return slotsFor(Math.floor(account.burstTokens), slotBurstTokens);
}

function slotsFor(total: number, quantum: number): number {
    return Math.max(baseSlots, Math.min(maximumSlots, Math.ceil(total / quantum)));
}
