/**
 * Token buckets that all routers share. Each router debits its own copy immediately and reports to the others how much
 * it has spent since its start. The reported counts are cumulative, so lost and repeated reports do no harm.
 *
 * Between two reports a router spends at most its share of the remaining level or of the allowed overdraft. While other
 * routers are unresponsive, it leaves them their share of the rate. All copies together thus stay within rate, burst
 * and overdraft.
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
        /** Time until the tokens may be available. */
        readonly retryAfter: Milliseconds;
        readonly level: number;
        /** True if the level suffices, but this router has spent too much that is still unreported to other routers. */
        readonly needsReport: boolean;
    };

interface Bucket {
    account: DirectAccount;
    level: number;
    refilledAt: Milliseconds;
    /** Tokens that are set aside for unresponsive routers, which may be spending them. */
    reserved: number;
    /** Tokens that this router has spent since its start. */
    spent: number;
    /** True once the level of a running peer has been adopted. */
    isAdopted: boolean;
    /** Value of `spent` in the last report that was delivered to each peer, by the peer's name. */
    readonly reportedSpending: Map<string, number>;
}

/** State of the fleet that the ledger depends on. */
export interface LedgerFleet {
    /** Names of the other routers that are live. */
    readonly live: readonly string[];
    /** Number of other routers that were live recently and are now unresponsive. */
    readonly unresponsive: number;
}

/** Another router. */
export interface LedgerPeer {
    /** Differs for each start of the router. */
    readonly incarnation: string;
    /** True if it started after this router. */
    readonly isYounger: boolean;
}

/** Options of {@link SharedLedger}. */
export interface SharedLedgerOptions {
    /** True if no router can have spent anything before; buckets then start full. */
    readonly startsFull: boolean;
    readonly tolerance: RateTolerance;
}

/** Tokens that an account may spend beyond its rate and burst, over all routers and in any window. */
export interface RateTolerance {
    readonly window: Milliseconds;
    /** Share of the tokens that rate and burst allow in a window. */
    readonly share: number;
    /** Additional tokens, independent of rate and burst. */
    readonly tokens: number;
}

/** Rate and burst apply without tolerance. */
export const noTolerance: RateTolerance = { window: 0, share: 0, tokens: 0 };

/** Share of the tolerance with which a bucket starts when earlier spending is unknown. */
const startingShare = 0.45;

/** Share of the tolerance by which routers may overdraw a bucket while their reports are in transit. */
const overdraftShare = 0.25;

/** The token buckets of one router. */
export class SharedLedger {
    private readonly buckets = new Map<string, Bucket>();
    private readonly peerSpent = new Map<string, Map<string, number>>();
    private fleet: LedgerFleet = { live: [], unresponsive: 0 };

    private tolerance: RateTolerance;

    constructor(private readonly options: SharedLedgerOptions) {
        this.tolerance = options.tolerance;
    }

    /** Applies a new tolerance; levels are kept. */
    setTolerance(tolerance: RateTolerance): void {
        this.tolerance = tolerance;
    }

    /** Applies the accounts of a configuration; levels are kept, up to the new bursts. */
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
                this.trackNewPeers(created, this.fleet);
                this.buckets.set(account.name, created);
                continue;
            }
            this.refill(bucket, now);
            bucket.account = account;
            bucket.level = Math.min(bucket.level, account.burstTokens);
        }
    }

    updateFleet(fleet: LedgerFleet, now: Milliseconds): void {
        for (const bucket of this.buckets.values()) {
            this.refill(bucket, now);
            this.reserve(bucket, fleet);
            this.trackNewPeers(bucket, fleet);
        }
        this.fleet = fleet;
    }

    /** Spends tokens of an account, or returns the time until they may be available. */
    spend(name: string, tokens: number, now: Milliseconds): SpendOutcome {
        const bucket = this.buckets.get(name);
        if (bucket === undefined || bucket.account.tokensPerSecond <= 0) {
            return { admitted: true };
        }
        this.refill(bucket, now);
        const needed = Math.min(tokens, bucket.account.burstTokens);
        const unreported = this.unreported(bucket);
        const overdraft = overdraftShare * this.toleratedTokens(bucket.account);
        const share = Math.max(bucket.level, overdraft) / (1 + this.fleet.live.length);
        const fitsShare = unreported === 0 || unreported + tokens <= share;
        if (bucket.level < needed || !fitsShare) {
            const missing = Math.max(needed - bucket.level, fitsShare ? 0 : unreported + tokens - share);
            const retryAfter = missing * millisecondsPerSecond / bucket.account.tokensPerSecond;
            return { admitted: false, retryAfter, level: bucket.level, needsReport: bucket.level >= needed };
        }
        bucket.level -= tokens;
        bucket.spent += tokens;
        return { admitted: true };
    }

    /** Returns the tokens of a request that did not run. */
    refund(name: string, tokens: number): void {
        const bucket = this.buckets.get(name);
        if (bucket !== undefined && bucket.account.tokensPerSecond > 0) {
            bucket.level = Math.min(bucket.account.burstTokens, bucket.level + tokens);
            bucket.spent -= tokens;
        }
    }

    /** Tokens that this router has spent, by account. */
    spent(): AccountSpending[] {
        return [...this.buckets].map(([account, bucket]) => ({ account, tokens: bucket.spent }));
    }

    /** True if this router has spent tokens that are unreported to a live peer. */
    hasUnreported(): boolean {
        return [...this.buckets.values()].some((bucket) => this.unreported(bucket) !== 0);
    }

    /** Records that a report was delivered to a peer. */
    recordDelivery(peer: string, report: readonly AccountSpending[]): void {
        for (const { account, tokens } of report) {
            const bucket = this.buckets.get(account);
            if (bucket !== undefined) {
                bucket.reportedSpending.set(peer, tokens);
            }
        }
    }

    /**
     * Applies a peer's spending. What an older peer spent before its first report is already part of the adopted levels.
     * What a younger peer spent is not, since it started after this router. On the first start of the fleet no levels
     * are adopted, so first reports count in full.
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
                this.refill(bucket, now);
                bucket.level = Math.min(bucket.account.burstTokens, bucket.level - more);
            }
        }
    }

    /** Applies a peer's spending as another router knows it; it may be older than what the peer itself has reported. */
    observeRelayed(peer: LedgerPeer, report: readonly AccountSpending[], now: Milliseconds): void {
        const known = this.peerSpent.get(peer.incarnation);
        this.observe(peer, report.filter(({ account, tokens }) => tokens > (known?.get(account) ?? 0)), now);
    }

    /** Known spending of a peer since its start; empty if no report of it was ever received. */
    spentBy(incarnation: string): AccountSpending[] {
        return [...this.peerSpent.get(incarnation) ?? []].map(([account, tokens]) => ({ account, tokens }));
    }

    /** Levels of the buckets, for a router that has just started. */
    levels(now: Milliseconds): AccountSpending[] {
        return [...this.buckets].map(([account, bucket]) => {
            this.refill(bucket, now);
            return { account, tokens: bucket.level };
        });
    }

    /**
     * Adopts the levels of a running peer, less what this router has spent since its start. Of several peers' levels
     * the lowest is used, since it includes the most spending.
     */
    adopt(levels: readonly AccountSpending[], now: Milliseconds): void {
        for (const { account, tokens } of levels) {
            const bucket = this.buckets.get(account);
            if (bucket !== undefined) {
                this.refill(bucket, now);
                const level = Math.min(bucket.account.burstTokens, tokens - bucket.spent);
                bucket.level = bucket.isAdopted ? Math.min(bucket.level, level) : level;
                bucket.isAdopted = true;
            }
        }
    }

    private toleratedTokens(account: DirectAccount): number {
        const { share, tokens, window } = this.tolerance;
        const allowed = account.tokensPerSecond * window / millisecondsPerSecond + account.burstTokens;
        return allowed * share + tokens;
    }

    private createBucket(account: DirectAccount, now: Milliseconds): Bucket {
        const startingTokens = startingShare * this.toleratedTokens(account);
        const level = Math.min(account.burstTokens, this.options.startsFull ? Infinity : startingTokens);
        return {
            account,
            level,
            refilledAt: now,
            reserved: 0,
            spent: 0,
            isAdopted: false,
            reportedSpending: new Map(),
        };
    }

    /**
     * Sets aside the share of routers that became unresponsive. The tokens return to the level when such a router is
     * live again, since it then reports what it has spent; if the router is removed, they are dropped.
     */
    private reserve(bucket: Bucket, fleet: LedgerFleet): void {
        const before = this.fleet.unresponsive;
        const unresponsiveChange = fleet.unresponsive - before;
        if (unresponsiveChange > 0) {
            const routers = 1 + fleet.live.length + fleet.unresponsive;
            const share = Math.max(0, bucket.level) * unresponsiveChange / routers;
            bucket.level -= share;
            bucket.reserved += share;
        }
        else if (unresponsiveChange < 0) {
            const returned = Math.min(
                -unresponsiveChange,
                Math.max(0, fleet.live.length - this.fleet.live.length),
            );
            bucket.level = Math.min(
                bucket.account.burstTokens,
                bucket.level + bucket.reserved * returned / before,
            );
            bucket.reserved *= 1 + unresponsiveChange / before;
        }
    }

    /**
     * Records the spending so far as reported to each live router without a delivered report: such a router has just
     * joined, so earlier spending does not count as unreported to it.
     */
    private trackNewPeers(bucket: Bucket, fleet: LedgerFleet): void {
        for (const peer of fleet.live) {
            if (!bucket.reportedSpending.has(peer)) {
                bucket.reportedSpending.set(peer, bucket.spent);
            }
        }
    }

    /** Tokens spent by this router that are unreported to some live router. */
    private unreported(bucket: Bucket): number {
        const known = this.fleet.live.map((peer) => bucket.reportedSpending.get(peer) ?? 0);
        return known.length === 0 ? 0 : Math.max(0, bucket.spent - Math.min(...known));
    }

    private refill(bucket: Bucket, now: Milliseconds): void {
        const liveRouters = 1 + this.fleet.live.length;
        const share = liveRouters / (liveRouters + this.fleet.unresponsive);
        const earned = (now - bucket.refilledAt) * bucket.account.tokensPerSecond * share
            / millisecondsPerSecond;
        bucket.level = Math.min(bucket.account.burstTokens, bucket.level + Math.max(0, earned));
        bucket.refilledAt = now;
    }
}
