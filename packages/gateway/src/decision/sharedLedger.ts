/**
 * Token buckets that all routers share. Each router debits its own copy at once and tells the others how much it has
 * spent since its start; cumulative counts make a lost or repeated report harmless.
 *
 * Between two reports a router spends no more than its share of what is left, or of the overdraft that is allowed, and
 * while other routers are silent it leaves them their share of the rate: the copies together stay within rate and
 * burst, and the overdraft.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { AccountSpending, DirectAccount } from "@redwingpin/fleet";

const millisecondsPerSecond = 1_000;

/** Outcome of {@link SharedLedger.spend}. */
export type SpendOutcome =
    | { readonly admitted: true; }
    | {
        readonly admitted: false;
        /** Time until the tokens may be there. */
        readonly retryAfter: Milliseconds;
        readonly level: number;
        /** True where the tokens are there, but too much was spent that other routers have not been told. */
        readonly untold: boolean;
    };

interface Bucket {
    account: DirectAccount;
    level: number;
    filledAt: Milliseconds;
    /** Tokens of the level that are left to silent routers, which may be spending them. */
    reserved: number;
    /** Tokens that this router spent since its start. */
    spent: number;
    /** True once a running peer's level was taken over. */
    adopted: boolean;
    /** Value of `spent` in the last report that each peer has, by the peer's name. */
    readonly reported: Map<string, number>;
}

/** What the ledger is told of the fleet. */
export interface LedgerFleet {
    /** Names of the other routers that are in touch. */
    readonly live: readonly string[];
    /** Other routers that were in touch lately and are silent. */
    readonly silent: number;
}

/** Another router. */
export interface LedgerPeer {
    /** Differs for each start of it. */
    readonly incarnation: string;
    /** True where it started after this router. */
    readonly isYounger: boolean;
}

/** Options of {@link SharedLedger}. */
export interface SharedLedgerOptions {
    /** True where no router can have spent anything before: buckets start full. */
    readonly startsFull: boolean;
    readonly tolerance: RateTolerance;
}

/** What an account may spend beyond its rate and burst, over all routers and in any window. */
export interface RateTolerance {
    readonly window: Milliseconds;
    /** Part of what rate and burst allow in a window. */
    readonly share: number;
    /** Tokens beside that. */
    readonly tokens: number;
}

/** No tolerance: rate and burst hold as they are. */
export const noTolerance: RateTolerance = { window: 0, share: 0, tokens: 0 };

/** Part of the tolerance with which a bucket starts where nobody knows what was spent before. */
const startingPart = 0.45;

/** Part of the tolerance by which routers may overdraw a bucket while their reports travel. */
const overdraftPart = 0.25;

/** The buckets of one router. */
export class SharedLedger {
    private readonly buckets = new Map<string, Bucket>();
    private readonly peerSpent = new Map<string, Map<string, number>>();
    private fleet: LedgerFleet = { live: [], silent: 0 };

    private tolerance: RateTolerance;

    constructor(private readonly options: SharedLedgerOptions) {
        this.tolerance = options.tolerance;
    }

    /** Takes over another tolerance; levels stay. */
    setTolerance(tolerance: RateTolerance): void {
        this.tolerance = tolerance;
    }

    /** Takes over the accounts of a configuration; levels stay where they are, within the new bursts. */
    configure(accounts: readonly DirectAccount[], now: Milliseconds): void {
        const names = new Set(accounts.map((account) => account.name));
        for (const name of this.buckets.keys()) {
            if (!names.has(name)) {
                this.buckets.delete(name);
            }
        }
        for (const account of accounts) {
            const bucket = this.buckets.get(account.name);
            if (bucket === undefined) {
                const created = this.createBucket(account, now);
                this.countFromNow(created, this.fleet);
                this.buckets.set(account.name, created);
                continue;
            }
            this.fill(bucket, now);
            bucket.account = account;
            bucket.level = Math.min(bucket.level, account.burstTokens);
        }
    }

    fleetChanged(fleet: LedgerFleet, now: Milliseconds): void {
        for (const bucket of this.buckets.values()) {
            this.fill(bucket, now);
            this.reserve(bucket, fleet);
            this.countFromNow(bucket, fleet);
        }
        this.fleet = fleet;
    }

    /** Spends tokens of an account, or says when they may be there. */
    spend(name: string, tokens: number, now: Milliseconds): SpendOutcome {
        const bucket = this.buckets.get(name);
        if (bucket === undefined || bucket.account.tokensPerSecond <= 0) {
            return { admitted: true };
        }
        this.fill(bucket, now);
        const needed = Math.min(tokens, bucket.account.burstTokens);
        const unreported = this.unreported(bucket);
        const overdraft = overdraftPart * this.toleratedTokens(bucket.account);
        const share = Math.max(bucket.level, overdraft) / (1 + this.fleet.live.length);
        const fitsShare = unreported === 0 || unreported + tokens <= share;
        if (bucket.level < needed || !fitsShare) {
            const missing = Math.max(needed - bucket.level, fitsShare ? 0 : unreported + tokens - share);
            const retryAfter = missing * millisecondsPerSecond / bucket.account.tokensPerSecond;
            return { admitted: false, retryAfter, level: bucket.level, untold: bucket.level >= needed };
        }
        bucket.level -= tokens;
        bucket.spent += tokens;
        return { admitted: true };
    }

    /** Takes back what was spent for a request that did not run. */
    refund(name: string, tokens: number): void {
        const bucket = this.buckets.get(name);
        if (bucket !== undefined && bucket.account.tokensPerSecond > 0) {
            bucket.level = Math.min(bucket.account.burstTokens, bucket.level + tokens);
            bucket.spent -= tokens;
        }
    }

    /** What this router has spent, by account. */
    spent(): AccountSpending[] {
        return [...this.buckets].map(([account, bucket]) => ({ account, tokens: bucket.spent }));
    }

    /** True where something was spent that peers have not been told. */
    hasUnreported(): boolean {
        return [...this.buckets.values()].some((bucket) => this.unreported(bucket) !== 0);
    }

    /** Notes that a peer has a report. */
    reported(peer: string, report: readonly AccountSpending[]): void {
        for (const { account, tokens } of report) {
            const bucket = this.buckets.get(account);
            if (bucket !== undefined) {
                bucket.reported.set(peer, tokens);
            }
        }
    }

    /**
     * Takes in what a peer has spent. What an older peer had spent before its first report is part of the levels that
     * were taken over; a younger one has spent everything since, and in a new fleet nothing was taken over.
     */
    observe(peer: LedgerPeer, report: readonly AccountSpending[], now: Milliseconds): void {
        const { incarnation, isYounger } = peer;
        const before = this.peerSpent.get(incarnation);
        const known = before ?? new Map<string, number>();
        this.peerSpent.set(incarnation, known);
        for (const { account, tokens } of report) {
            const bucket = this.buckets.get(account);
            const more = tokens - (known.get(account) ?? 0);
            known.set(account, tokens);
            if (bucket !== undefined && (before !== undefined || isYounger || this.options.startsFull)) {
                this.fill(bucket, now);
                bucket.level = Math.min(bucket.account.burstTokens, bucket.level - more);
            }
        }
    }

    /** Takes in what another router knows that a peer has spent; it may be older than what the peer itself has told. */
    observeRelayed(peer: LedgerPeer, report: readonly AccountSpending[], now: Milliseconds): void {
        const known = this.peerSpent.get(peer.incarnation);
        this.observe(peer, report.filter(({ account, tokens }) => tokens > (known?.get(account) ?? 0)), now);
    }

    /** What a peer is known to have spent since its start; empty for one that was never heard. */
    spentBy(incarnation: string): AccountSpending[] {
        return [...this.peerSpent.get(incarnation) ?? []].map(([account, tokens]) => ({ account, tokens }));
    }

    /** Levels of the buckets, for a router that has just started. */
    levels(now: Milliseconds): AccountSpending[] {
        return [...this.buckets].map(([account, bucket]) => {
            this.fill(bucket, now);
            return { account, tokens: bucket.level };
        });
    }

    /**
     * Takes over a running peer's levels, less what this router has spent since its start. Of several peers the lowest
     * level counts, for it knows of the most spending.
     */
    adopt(levels: readonly AccountSpending[], now: Milliseconds): void {
        for (const { account, tokens } of levels) {
            const bucket = this.buckets.get(account);
            if (bucket !== undefined) {
                this.fill(bucket, now);
                const level = Math.min(bucket.account.burstTokens, tokens - bucket.spent);
                bucket.level = bucket.adopted ? Math.min(bucket.level, level) : level;
                bucket.adopted = true;
            }
        }
    }

    private toleratedTokens(account: DirectAccount): number {
        const { share, tokens, window } = this.tolerance;
        const allowed = account.tokensPerSecond * window / millisecondsPerSecond + account.burstTokens;
        return allowed * share + tokens;
    }

    private createBucket(account: DirectAccount, now: Milliseconds): Bucket {
        const startingTokens = startingPart * this.toleratedTokens(account);
        const level = Math.min(account.burstTokens, this.options.startsFull ? Infinity : startingTokens);
        return { account, level, filledAt: now, reserved: 0, spent: 0, adopted: false, reported: new Map() };
    }

    /**
     * Leaves routers that have fallen silent their part of the level. It comes back with a router that is heard again,
     * whose report then says what it has spent; with one that is gone it is lost.
     */
    private reserve(bucket: Bucket, fleet: LedgerFleet): void {
        const before = this.fleet.silent;
        const fallen = fleet.silent - before;
        if (fallen > 0) {
            const routers = 1 + fleet.live.length + fleet.silent;
            const part = Math.max(0, bucket.level) * fallen / routers;
            bucket.level -= part;
            bucket.reserved += part;
        }
        else if (fallen < 0) {
            const returned = Math.min(-fallen, Math.max(0, fleet.live.length - this.fleet.live.length));
            bucket.level = Math.min(
                bucket.account.burstTokens,
                bucket.level + bucket.reserved * returned / before,
            );
            bucket.reserved *= 1 + fallen / before;
        }
    }

    /** A router that has never been told anything has just come in touch: what was spent before is not untold. */
    private countFromNow(bucket: Bucket, fleet: LedgerFleet): void {
        for (const peer of fleet.live) {
            if (!bucket.reported.has(peer)) {
                bucket.reported.set(peer, bucket.spent);
            }
        }
    }

    /** Tokens spent here that some router in touch has not been told of. */
    private unreported(bucket: Bucket): number {
        const known = this.fleet.live.map((peer) => bucket.reported.get(peer) ?? 0);
        return known.length === 0 ? 0 : Math.max(0, bucket.spent - Math.min(...known));
    }

    private fill(bucket: Bucket, now: Milliseconds): void {
        const inTouch = 1 + this.fleet.live.length;
        const share = inTouch / (inTouch + this.fleet.silent);
        const earned = (now - bucket.filledAt) * bucket.account.tokensPerSecond * share
            / millisecondsPerSecond;
        bucket.level = Math.min(bucket.account.burstTokens, bucket.level + Math.max(0, earned));
        bucket.filledAt = now;
    }
}
