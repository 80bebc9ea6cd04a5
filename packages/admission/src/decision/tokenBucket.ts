/**
 * The token bucket of one slot.
 *
 * The bucket bounds the sum of its level and of its charges, the debited tokens that may still be spent or refunded.
 * That sum never exceeds the burst and grows only by the refill, so the tokens spent from the slot in any interval
 * never exceed its burst plus the refill of that interval, even if unspent tokens are refunded late. A charge that is
 * held (it may still be spent) keeps its share of the burst. Afterwards the refill displaces the oldest charges, and
 * the part that is displaced can no longer be refunded.
 *
 * Arithmetic is in whole thousandths of a token, so that rounding never adds tokens.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { SlotLimits } from "./tokenShare.js";

/** Units are thousandths of a token: a rate in tokens a second is the same number of units a millisecond. */
const unitsPerToken = 1000;

interface Charge {
    /** Units that may still be refunded. */
    units: number;
    /** Time until which the router that got the tokens may still spend them. */
    readonly heldUntil: Milliseconds;
}

/** A token bucket that starts empty. */
export class TokenBucket {
    private units = 0;
    private chargedUnits = 0;
    private heldUnits = 0;
    private lastRefill: number;
    /** Charges whose hold has ended, oldest first. */
    private readonly releasedCharges = new Map<string, Charge>();
    private readonly heldCharges = new Map<string, Charge>();

    /** `start` is the time at which the bucket starts to fill. */
    constructor(readonly start: Milliseconds, private limits: SlotLimits) {
        this.lastRefill = Math.ceil(start);
    }

    /** Advances the bucket to `now` under `limits`. Time before a change of rate refills at the lower of both rates. */
    advance(now: Milliseconds, limits: SlotLimits): void {
        const rate = Math.min(limits.tokensPerSecond, this.limits.tokensPerSecond);
        this.limits = limits;
        this.releaseHeld(now);
        const elapsed = Math.max(0, Math.floor(now) - this.lastRefill);
        this.lastRefill = Math.max(this.lastRefill, Math.floor(now));
        const capacity = limits.burstTokens * unitsPerToken;
        const refill = Math.min(capacity, elapsed * rate);
        this.units = Math.max(0, Math.min(this.units + refill, capacity - this.heldUnits));
        this.displaceCharges(capacity);
    }

    /** Whole tokens that can be spent now. */
    get tokens(): number {
        return Math.floor(this.units / unitsPerToken);
    }

    /** True if the bucket has no tokens and none that were taken can still be spent or refunded. */
    get isEmpty(): boolean {
        return this.units === 0 && this.chargedUnits === 0;
    }

    /** Takes up to `tokens`, which may be spent until `heldUntil`. Returns the tokens taken. */
    take(id: string, tokens: number, heldUntil: Milliseconds, now: Milliseconds): number {
        const taken = Math.min(tokens, this.tokens);
        if (taken <= 0 || this.releasedCharges.has(id) || this.heldCharges.has(id)) {
            return 0;
        }
        const units = taken * unitsPerToken;
        this.units -= units;
        this.chargedUnits += units;
        if (heldUntil > now) {
            this.heldUnits += units;
            this.heldCharges.set(id, { units, heldUntil });
        }
        else {
            this.releasedCharges.set(id, { units, heldUntil });
        }
        return taken;
    }

    /** Refunds up to `tokens` of what was taken under `id`, once. Returns the tokens refunded. */
    refund(id: string, tokens: number): number {
        const charge = this.heldCharges.get(id) ?? this.releasedCharges.get(id);
        if (charge === undefined) {
            return 0;
        }
        if (this.heldCharges.delete(id)) {
            this.heldUnits -= charge.units;
        }
        this.releasedCharges.delete(id);
        this.chargedUnits -= charge.units;
        const units = Math.min(charge.units, Math.max(0, tokens) * unitsPerToken);
        this.units += units;
        return Math.floor(units / unitsPerToken);
    }

    /** Refill rate. */
    get tokensPerSecond(): number {
        return this.limits.tokensPerSecond;
    }

    /** Capacity of the bucket. */
    get burstTokens(): number {
        return this.limits.burstTokens;
    }

    private releaseHeld(now: Milliseconds): void {
        for (const [id, charge] of this.heldCharges) {
            if (charge.heldUntil > now) {
                return;
            }
            this.heldCharges.delete(id);
            this.heldUnits -= charge.units;
            this.releasedCharges.set(id, charge);
        }
    }

    private displaceCharges(capacity: number): void {
        let excess = this.units + this.chargedUnits - capacity;
        for (const [id, charge] of this.releasedCharges) {
            if (excess <= 0) {
                return;
            }
            const displaced = Math.min(excess, charge.units);
            charge.units -= displaced;
            this.chargedUnits -= displaced;
            excess -= displaced;
            if (charge.units === 0) {
                this.releasedCharges.delete(id);
            }
        }
    }
}
