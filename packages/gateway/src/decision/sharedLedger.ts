/**
 * Token buckets that all routers share. Each router debits its own copy immediately and reports to the others how much
 * it has spent since its start. The reported counts are cumulative, so lost and repeated reports do no harm.
 *
 * In a small fleet, a router spends between two reports at most its share of the remaining level or of the allowed overdraft.
 * In a larger one that share would be less than a request, so a few routers, the holders of an account, share its bucket in
 * this way. The others spend a share of the allowed overdraft, and ask a holder for more: it debits its own copy and grants
 * the tokens.
 *
 * While other routers are unresponsive, a router leaves them their share of the rate. All copies together thus stay within
 * rate, burst and overdraft.
 *
 * @module
 */
import { type Milliseconds, RendezvousOwnerCache } from "@redwingpin/common";
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
        /** Routers that may grant the tokens, in the order in which to ask them. */
        readonly holders: readonly string[];
    };

/** Why a holder grants no tokens. */
export interface TokenDenial {
    readonly level: number;
    /** Time until the tokens may be available. */
    readonly retryAfter: Milliseconds;
}

/** On whose behalf tokens are spent. */
export enum SpendCause {
    /** For a request to this router. */
    OwnRequest = "ownRequest",
    /** For another router, which takes this one for a holder of the account. */
    Grant = "grant",
    /** For a request to this router while no holder of the account answers. */
    NoHolder = "noHolder",
}

interface Denial {
    readonly tokens: number;
    readonly level: number;
    readonly until: Milliseconds;
    /** When the tokens may be available. */
    readonly availableAt: Milliseconds;
}

interface Bucket {
    account: DirectAccount;
    level: number;
    refilledAt: Milliseconds;
    /** Tokens that are set aside for each unresponsive router, which may be spending them. */
    readonly reserved: Map<string, number>;
    /** Tokens that this router has spent since its start. */
    spent: number;
    /** The last denial of a holder: until its time, requests for as many tokens are refused without asking again. */
    denial: Denial | undefined;
    /** True once the level of a running peer has been adopted. */
    isAdopted: boolean;
    /** Value of `spent` in the last report that was delivered to each peer, by the peer's name. */
    readonly reportedSpending: Map<string, number>;
}

/** State of the fleet that the ledger depends on. */
export interface LedgerFleet {
    /** Names of the other routers that are live. */
    readonly live: readonly string[];
    /** Names of the other routers that were live recently and are now unresponsive. */
    readonly unresponsive: readonly string[];
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
    /** Name of this router. */
    readonly ownName: string;
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

/** Up to this number of routers, all of them are holders of every account. */
const maxSharingRouters = 8;

/** Number of holders of an account in a larger fleet. */
const holderCount = 3;

/** A denial is remembered for this time at most: tokens may be returned before they were expected. */
const maxDenialTime: Milliseconds = 1_000;

/** Part of an account that its holders share; the rest belongs to all routers, so that no side of a partition has none. */
const holdersPart = 0.5;

/** The token buckets of one router. */
export class SharedLedger {
    private readonly buckets = new Map<string, Bucket>();
    private readonly peerSpent = new Map<string, Map<string, number>>();
    private fleet: LedgerFleet = { live: [], unresponsive: [] };
    /** This router and the live ones, sorted. */
    private reachable: readonly string[];
    /** Also the unresponsive ones. */
    private members: readonly string[];
    private readonly reachableHolders = new RendezvousOwnerCache(holderCount);
    private readonly memberHolders = new RendezvousOwnerCache(holderCount);

    private tolerance: RateTolerance;

    constructor(private readonly options: SharedLedgerOptions) {
        this.tolerance = options.tolerance;
        this.reachable = [options.ownName];
        this.members = this.reachable;
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
                this.trackNewPeers(created);
                this.buckets.set(account.name, created);
                continue;
            }
            this.refill(bucket, now);
            bucket.account = account;
            bucket.level = Math.min(bucket.level, account.burstTokens);
        }
    }

    updateFleet(fleet: LedgerFleet, now: Milliseconds): void {
        const isChanged = fleet.live.join() !== this.fleet.live.join()
            || fleet.unresponsive.join() !== this.fleet.unresponsive.join();
        if (!isChanged) {
            return;
        }
        this.buckets.forEach((bucket) => this.refill(bucket, now));
        this.fleet = fleet;
        this.reachable = [this.options.ownName, ...fleet.live].sort();
        this.members = [...this.reachable, ...fleet.unresponsive].sort();
        this.buckets.forEach((bucket) => {
            this.reserve(bucket);
            this.trackNewPeers(bucket);
        });
    }

    /** Spends tokens of an account, or returns the time until they may be available. */
    spend(
        name: string,
        tokens: number,
        now: Milliseconds,
        cause: SpendCause = SpendCause.OwnRequest,
    ): SpendOutcome {
        const bucket = this.buckets.get(name);
        if (bucket === undefined || bucket.account.tokensPerSecond <= 0) {
            return { admitted: true };
        }
        this.refill(bucket, now);
        const needed = Math.min(tokens, bucket.account.burstTokens);
        const unreported = this.unreported(bucket);
        const overdraft = overdraftShare * this.toleratedTokens(bucket.account);
        const holders = this.holdersOf(name);
        const isHolder = cause !== SpendCause.OwnRequest || holders.includes(this.options.ownName);
        const sharers = cause === SpendCause.NoHolder ? this.reachable.length : holders.length;
        const share = isHolder
            ? Math.max(bucket.level, overdraft) / sharers
            : overdraft / this.reachable.length;
        const fitsShare = unreported + tokens <= share || (isHolder && unreported === 0);
        if (!isHolder && (bucket.level < needed || !fitsShare)) {
            return this.referToHolders(bucket, tokens, now, holders);
        }
        if (bucket.level < needed || !fitsShare) {
            const missing = Math.max(needed - bucket.level, fitsShare ? 0 : unreported + tokens - share);
            const retryAfter = missing * millisecondsPerSecond / bucket.account.tokensPerSecond;
            return {
                admitted: false,
                retryAfter,
                level: bucket.level,
                needsReport: bucket.level >= needed,
                holders: [],
            };
        }
        bucket.level -= tokens;
        bucket.spent += tokens;
        return { admitted: true };
    }

    /** Records that a holder has denied tokens. */
    recordDenial(name: string, tokens: number, { level, retryAfter }: TokenDenial, now: Milliseconds): void {
        const bucket = this.buckets.get(name);
        if (bucket !== undefined) {
            const until = now + Math.min(maxDenialTime, retryAfter);
            bucket.denial = { tokens, level, until, availableAt: now + retryAfter };
        }
    }

    private referToHolders(
        bucket: Bucket,
        tokens: number,
        now: Milliseconds,
        holders: readonly string[],
    ): SpendOutcome {
        const { denial } = bucket;
        return denial !== undefined && now < denial.until && tokens >= denial.tokens
            ? {
                admitted: false,
                retryAfter: denial.availableAt - now,
                level: denial.level,
                needsReport: false,
                holders: [],
            }
            : { admitted: false, retryAfter: 0, level: bucket.level, needsReport: false, holders };
    }

    /** True if an account of this name is configured. */
    hasAccount(name: string): boolean {
        return this.buckets.has(name);
    }

    /** The live routers that share an account's bucket, which may include this one. */
    holdersOf(name: string): readonly string[] {
        return this.reachable.length <= maxSharingRouters
            ? this.reachable
            : this.reachableHolders.ownersOf(name, this.reachable);
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

    /** True if this router has spent tokens that are unreported to another holder of their account. */
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
            reserved: new Map(),
            spent: 0,
            denial: undefined,
            isAdopted: false,
            reportedSpending: new Map(),
        };
    }

    /**
     * Sets aside the share of routers that became unresponsive. The tokens return to the level when such a router is
     * live again, since it then reports what it has spent; if the router is removed, they are dropped.
     */
    private reserve(bucket: Bucket): void {
        const { live, unresponsive } = this.fleet;
        for (const [router, tokens] of bucket.reserved) {
            if (!unresponsive.includes(router)) {
                bucket.reserved.delete(router);
                const returned = live.includes(router) ? tokens : 0;
                bucket.level = Math.min(bucket.account.burstTokens, bucket.level + returned);
            }
        }
        const level = Math.max(0, bucket.level);
        for (const router of unresponsive) {
            if (!bucket.reserved.has(router)) {
                const tokens = level * this.shareOf(router, bucket.account.name);
                bucket.reserved.set(router, tokens);
                bucket.level -= tokens;
            }
        }
    }

    /** Share of an account that a router, live or unresponsive, may spend while the others do not hear of it. */
    private shareOf(router: string, account: string): number {
        const { members } = this;
        if (members.length <= maxSharingRouters) {
            return 1 / members.length;
        }
        const isHolder = this.memberHolders.ownersOf(account, members).includes(router);
        return (1 - holdersPart) / members.length + (isHolder ? holdersPart / holderCount : 0);
    }

    /**
     * Records the spending so far as reported to each live router without a delivered report: such a router has just
     * joined, so earlier spending does not count as unreported to it.
     */
    private trackNewPeers(bucket: Bucket): void {
        for (const peer of this.fleet.live) {
            if (!bucket.reportedSpending.has(peer)) {
                bucket.reportedSpending.set(peer, bucket.spent);
            }
        }
    }

    /** Tokens spent by this router that are unreported to some other holder of the account. */
    private unreported(bucket: Bucket): number {
        const { ownName } = this.options;
        let unreported = 0;
        for (const holder of this.holdersOf(bucket.account.name)) {
            if (holder !== ownName) {
                unreported = Math.max(unreported, bucket.spent - (bucket.reportedSpending.get(holder) ?? 0));
            }
        }
        return unreported;
    }

    private refill(bucket: Bucket, now: Milliseconds): void {
        const { name, tokensPerSecond } = bucket.account;
        const reserved = this.fleet.unresponsive.reduce((sum, router) => sum + this.shareOf(router, name), 0);
        const earned = (now - bucket.refilledAt) * tokensPerSecond * (1 - reserved) / millisecondsPerSecond;
        bucket.level = Math.min(bucket.account.burstTokens, bucket.level + Math.max(0, earned));
        bucket.refilledAt = now;
    }
}
