/**
 * Token buckets that all routers share. Each router debits its own copy at once and tells the others how much it has
 * spent since its start; cumulative counts make a lost or repeated report harmless.
 *
 * Between two reports a router assumes that each other router has spent as much as itself, and while routers are
 * silent it uses only the share of the others, so that the copies together stay within the rate and a small tolerance.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { AccountSpending, DirectAccount } from "@redwingpin/fleet";

const millisecondsPerSecond = 1_000;

/** Outcome of {@link SharedLedger.spend}. */
export type SpendOutcome =
    | { readonly admitted: true; }
    /** Milliseconds until the tokens may be there. */
    | { readonly admitted: false; readonly retryAfter: Milliseconds; readonly level: number; };

interface Bucket {
    account: DirectAccount;
    level: number;
    filledAt: Milliseconds;
    /** Tokens that this router spent since its start. */
    spent: number;
    /** Value of `spent` at the last report that a peer has. */
    reported: number;
}

/** What the ledger is told of the fleet. */
export interface LedgerFleet {
    /** Other routers that are in touch. */
    readonly live: number;
    /** Other routers that were in touch lately and are silent. */
    readonly silent: number;
}

/** Options of {@link SharedLedger}. */
export interface SharedLedgerOptions {
    /** True where no router can have spent anything before: buckets start full. */
    readonly startsFull: boolean;
    /** Tokens with which each bucket starts otherwise, over all routers. */
    readonly startingTokens: number;
}

/** The buckets of one router. */
export class SharedLedger {
    private readonly buckets = new Map<string, Bucket>();
    private readonly peerSpent = new Map<string, Map<string, number>>();
    private fleet: LedgerFleet = { live: 0, silent: 0 };

    constructor(private readonly options: SharedLedgerOptions) {}

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
                this.buckets.set(account.name, this.createBucket(account, now));
                continue;
            }
            this.fill(bucket, now);
            bucket.account = account;
            bucket.level = Math.min(bucket.level, account.burstTokens);
        }
    }

    fleetChanged(fleet: LedgerFleet, now: Milliseconds): void {
        if (fleet.live !== this.fleet.live || fleet.silent !== this.fleet.silent) {
            for (const bucket of this.buckets.values()) {
                this.fill(bucket, now);
            }
            this.fleet = fleet;
        }
    }

    /** Spends tokens of an account, or says when they may be there. */
    spend(name: string, tokens: number, now: Milliseconds): SpendOutcome {
        const bucket = this.buckets.get(name);
        if (bucket === undefined || bucket.account.tokensPerSecond <= 0) {
            return { admitted: true };
        }
        this.fill(bucket, now);
        const unreported = Math.max(0, bucket.spent - bucket.reported);
        const available = bucket.level - unreported * this.fleet.live;
        if (available < Math.min(tokens, bucket.account.burstTokens)) {
            const missing = tokens - available;
            const retryAfter = missing * millisecondsPerSecond / bucket.account.tokensPerSecond;
            return { admitted: false, retryAfter, level: available };
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
        return [...this.buckets.values()].some((bucket) => bucket.spent !== bucket.reported);
    }

    /** Notes that peers have a report. */
    reported(report: readonly AccountSpending[]): void {
        for (const { account, tokens } of report) {
            const bucket = this.buckets.get(account);
            if (bucket !== undefined) {
                bucket.reported = tokens;
            }
        }
    }

    /** Takes in what a peer has spent; `incarnation` differs for each start of it. */
    observe(incarnation: string, report: readonly AccountSpending[], now: Milliseconds): void {
        const before = this.peerSpent.get(incarnation);
        const known = before ?? new Map<string, number>();
        this.peerSpent.set(incarnation, known);
        for (const { account, tokens } of report) {
            const bucket = this.buckets.get(account);
            const more = tokens - (known.get(account) ?? 0);
            known.set(account, tokens);
            if (bucket !== undefined && before !== undefined) {
                this.fill(bucket, now);
                bucket.level = Math.min(bucket.account.burstTokens, bucket.level - more);
            }
        }
    }

    /** Levels of the buckets, for a router that has just started. */
    levels(now: Milliseconds): AccountSpending[] {
        return [...this.buckets].map(([account, bucket]) => {
            this.fill(bucket, now);
            return { account, tokens: bucket.level };
        });
    }

    /** Takes over a running peer's levels, less what this router has spent since its start. */
    adopt(levels: readonly AccountSpending[], now: Milliseconds): void {
        for (const { account, tokens } of levels) {
            const bucket = this.buckets.get(account);
            if (bucket !== undefined) {
                bucket.level = Math.min(bucket.account.burstTokens, tokens - bucket.spent);
                bucket.filledAt = now;
            }
        }
    }

    private createBucket(account: DirectAccount, now: Milliseconds): Bucket {
        const { startsFull, startingTokens } = this.options;
        const level = startsFull ? account.burstTokens : Math.min(account.burstTokens, startingTokens);
        return { account, level, filledAt: now, spent: 0, reported: 0 };
    }

    private fill(bucket: Bucket, now: Milliseconds): void {
        const routers = 1 + this.fleet.live + this.fleet.silent;
        const share = (1 + this.fleet.live) / routers;
        const earned = (now - bucket.filledAt) * bucket.account.tokensPerSecond * share
            / millisecondsPerSecond;
        bucket.level = Math.min(bucket.account.burstTokens, bucket.level + Math.max(0, earned));
        bucket.filledAt = now;
    }
}
