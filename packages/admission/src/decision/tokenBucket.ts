/**
 * The token bucket of one slot.
 *
 * What the bucket answers for is the sum of its level and of its charges: tokens that it gave out and that may
 * still be spent or come back. That sum never exceeds the burst and grows only by the refill, so the tokens spent
 * from the slot in any interval never exceed its burst and the refill of that interval, even where unspent tokens
 * come back late. While a charge is held (it may still be spent) it keeps its place; afterwards the refill takes
 * the place of the oldest charges, and what they could have brought back lapses.
 *
 * Arithmetic is in whole thousandths of a token, so that no rounding adds tokens.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { SlotLimits } from "./tokenShare.js";

/** Thousandths of a token, so that a rate in tokens a second is as many units a millisecond. */
const unitsPerToken = 1000;

interface Charge {
    /** Units that may still come back. */
    units: number;
    /** Until this time the tokens may still be spent by whom they were given to. */
    readonly heldUntil: Milliseconds;
}

/** A token bucket that is empty when it is made. */
export class TokenBucket {
    private units = 0;
    private chargedUnits = 0;
    private heldUnits = 0;
    private lastRefill: number;
    private readonly charges = new Map<string, Charge>();
    private readonly held = new Map<string, Charge>();

    /** `start` is the time from which the bucket fills. */
    constructor(readonly start: Milliseconds, private limits: SlotLimits) {
        this.lastRefill = Math.ceil(start);
    }

    /** Brings the bucket to `now` under `limits`. Time before a change of rate counts at the lower rate. */
    advance(now: Milliseconds, limits: SlotLimits): void {
        const rate = Math.min(limits.tokensPerSecond, this.limits.tokensPerSecond);
        this.limits = limits;
        this.releaseHeld(now);
        const elapsed = Math.max(0, Math.floor(now) - this.lastRefill);
        this.lastRefill = Math.max(this.lastRefill, Math.floor(now));
        const capacity = limits.burstTokens * unitsPerToken;
        const refill = Math.min(capacity, elapsed * rate);
        this.units = Math.max(0, Math.min(this.units + refill, capacity - this.heldUnits));
        this.lapse(capacity);
    }

    /** Whole tokens that can be spent now. */
    get tokens(): number {
        return Math.floor(this.units / unitsPerToken);
    }

    /** True where the bucket holds nothing and nothing that it gave can still be spent or come back. */
    get empty(): boolean {
        return this.units === 0 && this.chargedUnits === 0;
    }

    /** Takes up to `tokens` and returns how many; `heldUntil` says until when they may still be spent. */
    take(id: string, tokens: number, heldUntil: Milliseconds, now: Milliseconds): number {
        const taken = Math.min(tokens, this.tokens);
        if (taken <= 0 || this.charges.has(id) || this.held.has(id)) {
            return 0;
        }
        const units = taken * unitsPerToken;
        this.units -= units;
        this.chargedUnits += units;
        if (heldUntil > now) {
            this.heldUnits += units;
            this.held.set(id, { units, heldUntil });
        }
        else {
            this.charges.set(id, { units, heldUntil });
        }
        return taken;
    }

    /** Takes back up to `tokens` of what `id` was given, once. Returns the tokens that came back. */
    giveBack(id: string, tokens: number): number {
        const charge = this.held.get(id) ?? this.charges.get(id);
        if (charge === undefined) {
            return 0;
        }
        if (this.held.delete(id)) {
            this.heldUnits -= charge.units;
        }
        this.charges.delete(id);
        this.chargedUnits -= charge.units;
        const units = Math.min(charge.units, Math.max(0, tokens) * unitsPerToken);
        this.units += units;
        return Math.floor(units / unitsPerToken);
    }

    /** Rate of the refill. */
    get tokensPerSecond(): number {
        return this.limits.tokensPerSecond;
    }

    /** Most tokens that the bucket can hold. */
    get burstTokens(): number {
        return this.limits.burstTokens;
    }

    private releaseHeld(now: Milliseconds): void {
        for (const [id, charge] of this.held) {
            if (charge.heldUntil > now) {
                return;
            }
            this.held.delete(id);
            this.heldUnits -= charge.units;
            this.charges.set(id, charge);
        }
    }

    private lapse(capacity: number): void {
        let excess = this.units + this.chargedUnits - capacity;
        for (const [id, charge] of this.charges) {
            if (excess <= 0) {
                return;
            }
            const lapsed = Math.min(excess, charge.units);
            charge.units -= lapsed;
            this.chargedUnits -= lapsed;
            excess -= lapsed;
            if (charge.units === 0) {
                this.charges.delete(id);
            }
        }
    }
}
