/**
 * The yardstick for refusals: one bucket for the whole account that knows everything at once and never fails.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import { TokenBucket } from "../decision/tokenBucket.js";
import type { OfferedRequest } from "./rateFleet.js";

/** Limits of an account. */
export interface IdealLimits {
    readonly tokensPerSecond: number;
    readonly burstTokens: number;
}

interface Settlement {
    readonly at: Milliseconds;
    readonly id: string;
    readonly unspent: number;
}

/** The offers, in order of time and of one account, that the ideal bucket admits without any wait. */
export function idealAdmissions(
    offers: readonly OfferedRequest[],
    limits: IdealLimits,
): ReadonlySet<OfferedRequest> {
    const bucket = new TokenBucket(Number.MIN_SAFE_INTEGER, limits);
    const settlements: Settlement[] = [];
    const admitted = new Set<OfferedRequest>();
    const settleUntil = (time: Milliseconds) => {
        settlements.sort((left, right) => left.at - right.at);
        while (settlements.length > 0 && settlements[0].at <= time) {
            const settlement = settlements.shift()!;
            bucket.advance(settlement.at, limits);
            bucket.giveBack(settlement.id, settlement.unspent);
        }
    };
    for (const [index, offer] of offers.entries()) {
        settleUntil(offer.at);
        bucket.advance(offer.at, limits);
        if (bucket.tokens >= offer.tokens) {
            const id = String(index);
            bucket.take(id, offer.tokens, offer.at, offer.at);
            settlements.push({ at: offer.at + offer.duration, id, unspent: offer.tokens - offer.actual });
            admitted.add(offer);
        }
    }
    return admitted;
}
