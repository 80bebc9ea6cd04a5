/**
 * Approximate work that each account has received of the fleet lately, in tokens processed and generated. Counts decay
 * exponentially, so that past work and idle time are forgotten alike. Every router reports its own largest counts; a lost,
 * late or repeated report changes the total by no more than what decays meanwhile, and a router that ends needs no
 * message.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** Time in which a count decays to 1/e. */
const decayTime: Milliseconds = 10_000;

/** Maximum number of accounts in a report, and of those of one peer that are remembered. */
export const maxReportedAccounts = 16;

/** An account is reported if it has this share of the work that the router has given out. */
const minReportedShare = 0.01;

/** Maximum number of accounts and of peers that are remembered. */
const maxAccounts = 4_096;
const maxPeers = 2_000;

/** Counts below this many tokens are removed. */
const negligibleWork = 1;

/** Interval at which negligible counts are removed and the mean of the accounts is computed. */
const sweepInterval: Milliseconds = 100;

/** An account counts as active if it has this share of the work of all accounts. */
const minActiveShare = 0.002;

/** An account is above its share if it has received this multiple of the mean of the active accounts, by weight. */
const aboveShareFactor = 1.5;

/** Work of one account. */
export interface ReportedWork {
    readonly account: string;
    readonly tokens: number;
}

/** A count that decays. */
class DecayingCount {
    private amount = 0;
    private updatedAt: Milliseconds = -Infinity;

    at(now: Milliseconds): number {
        return this.amount === 0 ? 0 : this.amount * Math.exp(-Math.max(0, now - this.updatedAt) / decayTime);
    }

    add(amount: number, now: Milliseconds): void {
        this.amount = Math.max(0, this.at(now) + amount);
        this.updatedAt = now;
    }
}

interface AccountCounts {
    /** Work that this router has given to the account. */
    readonly own: DecayingCount;
    /** Work that all routers have given to the account, as far as known. */
    readonly fleet: DecayingCount;
    /** Added to the work when the account begins to wait, so that it has no credit from earlier idle time. */
    readonly lift: DecayingCount;
    weight: number;
}

/** The counts of one router. */
export class AccountWork {
    private readonly accounts = new Map<string, AccountCounts>();
    /** Last reported counts of each peer, by account; the peers that reported last come last. */
    private readonly peers = new Map<string, Map<string, DecayingCount>>();
    private sweptAt: Milliseconds = -Infinity;
    private meanOfActive = 0;
    private activeAccounts = 0;

    /** Number of accounts with a count. */
    get size(): number {
        return this.accounts.size;
    }

    /** Records work that this router gives to an account. `weight` is the account's share compared with others. */
    record(account: string, tokens: number, now: Milliseconds, weight = 1): void {
        const counts = this.countsOf(account, now);
        counts.weight = weight;
        counts.own.add(tokens, now);
        counts.fleet.add(tokens, now);
    }

    /** Work that the account has received of all routers lately, divided by its weight. */
    received(account: string, now: Milliseconds): number {
        const counts = this.accounts.get(account);
        return counts === undefined ? 0 : counts.fleet.at(now) / counts.weight;
    }

    /** Position among accounts that wait; the lowest is next. */
    order(account: string, now: Milliseconds): number {
        const counts = this.accounts.get(account);
        return counts === undefined ? 0 : (counts.fleet.at(now) + counts.lift.at(now)) / counts.weight;
    }

    /** Raises the position of an account that begins to wait to `floor`, the lowest of those that wait already. */
    lift(account: string, floor: number, now: Milliseconds, weight = 1): void {
        const missing = floor - this.order(account, now);
        if (missing > 0) {
            const counts = this.countsOf(account, now);
            counts.weight = weight;
            counts.lift.add(missing * weight, now);
        }
    }

    /** True if the account has received clearly more than the mean of the accounts that are active. */
    isAboveShare(account: string, now: Milliseconds): boolean {
        this.sweep(now);
        return this.activeAccounts > 1
            && this.received(account, now) > aboveShareFactor * this.meanOfActive;
    }

    /** The largest counts of this router, for its peers. */
    report(now: Milliseconds): ReportedWork[] {
        const rows = [...this.accounts].map(([account, { own }]) => ({
            account,
            tokens: Math.round(own.at(now)),
        }));
        const total = rows.reduce((sum, { tokens }) => sum + tokens, 0);
        return rows
            .filter(({ tokens }) => tokens >= Math.max(negligibleWork, total * minReportedShare))
            .sort((left, right) => right.tokens - left.tokens)
            .slice(0, maxReportedAccounts);
    }

    /** Applies the report of a peer; it replaces what the peer reported of these accounts before. */
    observe(peer: string, report: readonly ReportedWork[], now: Milliseconds): void {
        const reported = this.peers.get(peer) ?? new Map<string, DecayingCount>();
        this.peers.delete(peer);
        this.peers.set(peer, reported);
        for (const { account, tokens } of report.slice(0, maxReportedAccounts)) {
            const earlier = reported.get(account) ?? new DecayingCount();
            const change = tokens - earlier.at(now);
            reported.delete(account);
            reported.set(account, earlier);
            earlier.add(change, now);
            this.countsOf(account, now).fleet.add(change, now);
        }
        // What is forgotten of a peer stays in the total until it has decayed.
        removeFirst(reported, maxReportedAccounts);
        removeFirst(this.peers, maxPeers);
    }

    private countsOf(account: string, now: Milliseconds): AccountCounts {
        let counts = this.accounts.get(account);
        if (counts === undefined) {
            this.makeRoom(now);
            counts = {
                own: new DecayingCount(),
                fleet: new DecayingCount(),
                lift: new DecayingCount(),
                weight: 1,
            };
            this.accounts.set(account, counts);
        }
        return counts;
    }

    /** Removes the account with the least work if there are too many. */
    private makeRoom(now: Milliseconds): void {
        if (this.accounts.size < maxAccounts) {
            return;
        }
        let least: string | undefined;
        let leastWork = Infinity;
        for (const [account, { fleet }] of this.accounts) {
            const work = fleet.at(now);
            if (work < leastWork) {
                least = account;
                leastWork = work;
            }
        }
        this.accounts.delete(least!);
    }

    private sweep(now: Milliseconds): void {
        if (now - this.sweptAt < sweepInterval) {
            return;
        }
        this.sweptAt = now;
        let total = 0;
        for (const [account, { fleet, lift }] of this.accounts) {
            const work = fleet.at(now);
            total += work;
            if (work < negligibleWork && lift.at(now) < negligibleWork) {
                this.accounts.delete(account);
            }
        }
        let activeWork = 0;
        let activeWeight = 0;
        this.activeAccounts = 0;
        for (const { fleet, weight } of this.accounts.values()) {
            const work = fleet.at(now);
            if (work >= total * minActiveShare) {
                this.activeAccounts += 1;
                activeWork += work;
                activeWeight += weight;
            }
        }
        this.meanOfActive = activeWeight === 0 ? 0 : activeWork / activeWeight;
    }
}

/** Removes the first entries of a map beyond a number of entries. */
function removeFirst(map: Map<string, unknown>, maxSize: number): void {
    for (const key of map.keys()) {
        if (map.size <= maxSize) {
            return;
        }
        map.delete(key);
    }
}
