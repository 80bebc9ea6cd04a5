/**
 * The slots that one router holds: debits them for its own requests and for other routers, and refunds what was not
 * spent.
 *
 * A slot starts empty, because its holder does not know what was spent from it before. It starts to fill only after
 * every grant of an earlier holder has lapsed.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { ClientAccount } from "@redwingpin/manifest";
import { grantHoldMilliseconds, slotsPerAccount } from "../constants.js";
import { holdersOf, positionOf, type Roster } from "./roster.js";
import { TokenBucket } from "./tokenBucket.js";
import { noLimits, slotLimits } from "./tokenShare.js";

const millisecondsPerSecond = 1000;

/** Tokens that a holder granted. */
export interface HolderGrant {
    readonly tokens: number;
    /** Tokens that the holder has left. */
    readonly leftTokens: number;
    /** Time until the holder has the tokens that it could not grant; `undefined` if it never will. */
    readonly retryAfter: Milliseconds | undefined;
}

/** State of the slots that one router holds. */
export class SlotHolder {
    private roster: Roster | undefined;
    private released = false;
    private accounts: ReadonlyMap<string, ClientAccount> = new Map();
    /** Time at which each held position starts to fill. */
    private readonly fillStarts = new Map<number, Milliseconds>();
    private readonly buckets = new Map<string, Map<number, TokenBucket>>();

    constructor(
        private readonly instance: string,
        private readonly slots: number = slotsPerAccount,
        private readonly grantHold: Milliseconds = grantHoldMilliseconds,
    ) {}

    /** Applies a roster. Positions new to this holder start empty and fill once earlier grants have lapsed. */
    rosterChanged(roster: Roster, now: Milliseconds): void {
        this.roster = roster;
        for (const [position, holder] of roster.holders.entries()) {
            if (holder !== this.instance || this.released) {
                this.fillStarts.delete(position);
            }
            else if (!this.fillStarts.has(position)) {
                this.fillStarts.set(position, now + this.grantHold);
            }
        }
        this.dropUnheldSlots();
        this.synchronize([...this.accounts.values()], now);
    }

    /** Applies the accounts of a manifest. An account that was absent before starts empty. */
    accountsChanged(accounts: readonly ClientAccount[], now: Milliseconds): void {
        const before = this.accounts;
        this.accounts = new Map(accounts.map((account) => [account.name, account]));
        this.synchronize(accounts.filter((account) => hasChanged(account, before.get(account.name))), now);
    }

    /** Releases every slot for good. */
    releaseAll(): void {
        this.released = true;
        this.fillStarts.clear();
        this.dropUnheldSlots();
    }

    /** Tokens in the holder's slots of an account. */
    tokens(account: ClientAccount, now: Milliseconds): number {
        return sumOfTokens(this.advance(account, now));
    }

    /** Tokens that the holder's slots of an account can hold. */
    burstTokens(account: ClientAccount): number {
        const buckets = [...this.buckets.get(account.name)?.values() ?? []];
        return buckets.reduce((sum, bucket) => sum + bucket.burstTokens, 0);
    }

    /** Spends exactly `tokens` from the slots and returns true, or spends nothing. */
    spend(id: string, account: ClientAccount, tokens: number, now: Milliseconds): boolean {
        const buckets = this.advance(account, now);
        if (sumOfTokens(buckets) < tokens) {
            return false;
        }
        takeFrom(buckets, id, tokens, now, now);
        return true;
    }

    /**
     * Debits up to `tokens` for another router, which may spend them until the grant lapses. At least `kept` tokens
     * stay here, so that requests of other routers can't starve a request that waits at this one.
     */
    grant(id: string, account: ClientAccount, tokens: number, now: Milliseconds, kept = 0): HolderGrant {
        const buckets = this.advance(account, now);
        const spare = Math.max(0, sumOfTokens(buckets) - kept);
        const taken = takeFrom(buckets, id, Math.min(tokens, spare), now + this.grantHold, now);
        return {
            tokens: taken,
            leftTokens: sumOfTokens(buckets),
            retryAfter: timeUntil(buckets, tokens - taken + kept, now),
        };
    }

    /** Refunds up to `tokens` of what was spent or granted under `id`, once. Returns the tokens refunded. */
    refund(id: string, account: ClientAccount, tokens: number, now: Milliseconds): number {
        let left = tokens;
        for (const bucket of this.advance(account, now)) {
            left -= bucket.refund(id, left);
        }
        return tokens - left;
    }

    /** Number of token buckets in memory. */
    get slotsInMemory(): number {
        let count = 0;
        for (const slots of this.buckets.values()) {
            count += slots.size;
        }
        return count;
    }

    private advance(account: ClientAccount, now: Milliseconds): TokenBucket[] {
        const advanced: TokenBucket[] = [];
        for (const [index, bucket] of this.buckets.get(account.name) ?? []) {
            bucket.advance(now, slotLimits(account, index, this.slots));
            advanced.push(bucket);
        }
        return advanced;
    }

    private synchronize(changed: readonly ClientAccount[], now: Milliseconds): void {
        for (const account of changed) {
            this.addSlots(account, now);
            this.advance(account, now);
        }
        for (const [name, slots] of this.buckets) {
            if (!this.accounts.has(name)) {
                this.retire(name, slots, now);
            }
        }
    }

    private addSlots(account: ClientAccount, now: Milliseconds): void {
        for (const index of this.heldSlots(account)) {
            const slots = this.buckets.get(account.name) ?? new Map<number, TokenBucket>();
            this.buckets.set(account.name, slots);
            if (!slots.has(index)) {
                const fillStart = this.fillStarts.get(positionOf(account.name, index))
                    ?? now + this.grantHold;
                slots.set(
                    index,
                    new TokenBucket(Math.max(fillStart, now), slotLimits(account, index, this.slots)),
                );
            }
        }
    }

    private heldSlots(account: ClientAccount): readonly number[] {
        if (this.roster === undefined || this.released) {
            return [];
        }
        const holders = holdersOf(this.roster, account.name, this.slots);
        return holders.find((holder) => holder.instance === this.instance)?.slots ?? [];
    }

    private retire(name: string, slots: Map<number, TokenBucket>, now: Milliseconds): void {
        for (const [index, bucket] of slots) {
            bucket.advance(now, noLimits);
            if (bucket.isEmpty) {
                slots.delete(index);
            }
        }
        if (slots.size === 0) {
            this.buckets.delete(name);
        }
    }

    private dropUnheldSlots(): void {
        for (const [name, slots] of this.buckets) {
            for (const index of slots.keys()) {
                if (!this.fillStarts.has(positionOf(name, index))) {
                    slots.delete(index);
                }
            }
        }
    }
}

function hasChanged(account: ClientAccount, before: ClientAccount | undefined): boolean {
    return account.tokensPerSecond !== before?.tokensPerSecond || account.burstTokens !== before.burstTokens;
}

function sumOfTokens(buckets: readonly TokenBucket[]): number {
    return buckets.reduce((sum, bucket) => sum + bucket.tokens, 0);
}

function takeFrom(
    buckets: readonly TokenBucket[],
    id: string,
    tokens: number,
    heldUntil: Milliseconds,
    now: Milliseconds,
): number {
    let missing = tokens;
    for (const bucket of buckets) {
        missing -= bucket.take(id, missing, heldUntil, now);
    }
    return tokens - missing;
}

function timeUntil(
    buckets: readonly TokenBucket[],
    tokens: number,
    now: Milliseconds,
): Milliseconds | undefined {
    const rate = buckets.reduce((sum, bucket) => sum + bucket.tokensPerSecond, 0);
    const level = sumOfTokens(buckets);
    const burst = buckets.reduce((sum, bucket) => sum + bucket.burstTokens, 0);
    if (rate === 0 || tokens > burst) {
        return undefined;
    }
    const untilStart = Math.max(0, ...buckets.map((bucket) => bucket.start - now));
    return untilStart + Math.ceil(Math.max(0, tokens - level) * millisecondsPerSecond / rate);
}
