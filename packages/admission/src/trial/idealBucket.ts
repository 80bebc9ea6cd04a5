/**
 * Two reference models for refusals. The first is one bucket for the whole account, without latency or failures. The
 * second checks whether the offered load was within the rate and burst of the account: every offered request counts,
 * whether it was refused or not, so an account that has offered too much exceeds its limits until the refill has made
 * up for it.
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

/** Returns the offers that the ideal bucket admits without waiting. The offers are of one account, in order of time. */
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
            bucket.refund(settlement.id, settlement.unspent);
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

interface LevelChange {
    readonly at: Milliseconds;
    readonly tokens: number;
    readonly offer?: OfferedRequest;
}

/** Returns the offers of one account that were within its rate and burst, counting everything offered before. */
export function offersWithinRate(
    offers: readonly OfferedRequest[],
    limits: IdealLimits,
): ReadonlySet<OfferedRequest> {
    const changes: LevelChange[] = offers.flatMap((offer) => [
        { at: offer.at, tokens: -offer.tokens, offer },
        { at: offer.at + offer.duration, tokens: offer.tokens - offer.actual },
    ]);
    changes.sort((left, right) => left.at - right.at);
    const within = new Set<OfferedRequest>();
    let level = limits.burstTokens;
    let last = -Infinity;
    for (const change of changes) {
        const refill = last === -Infinity ? 0 : (change.at - last) * limits.tokensPerSecond / 1000;
        level = Math.min(limits.burstTokens, level + refill);
        level = Math.min(limits.burstTokens, level + change.tokens);
        last = change.at;
        if (change.offer !== undefined && level >= 0) {
            within.add(change.offer);
        }
    }
    return within;
}
