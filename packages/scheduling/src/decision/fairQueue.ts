/**
 * Fair queue of one endpoint: start-time fair queueing in tokens between accounts, priorities among the accounts
 * within their share, limits on the queue and on concurrent requests, and deadlines.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import { RoutePriority } from "@redwingpin/manifest";
import { err, ok, type Result } from "neverthrow";

/** Options of {@link FairQueue}. */
export interface FairQueueOptions {
    /** Maximum number of concurrent requests at the endpoint. */
    readonly maximumRunning: number;
    /** Maximum number of running requests whose answers have not begun; further ones stay ordered in this queue. */
    readonly maximumUnanswered: number;
    /** Maximum number of waiting requests of all accounts. */
    readonly maximumQueuedRequests: number;
    /** Maximum number of waiting tokens of all accounts. */
    readonly maximumQueuedTokens: number;
    /**
     * An account is within its share if its start tag is at most this many tokens above the lowest one. Among these
     * accounts, priorities decide which entry is next; an entry that was skipped for more tokens than this is promoted.
     * @default defaultPrioritySlackTokens
     */
    readonly prioritySlackTokens?: number;
}

/** Default of {@link FairQueueOptions.prioritySlackTokens}. */
export const defaultPrioritySlackTokens = 16_000;

/** A request that is to run at the endpoint. */
export interface QueueEntry {
    /** Unique for each attempt. */
    readonly id: string;
    /** Account that is charged the tokens; absent for callers without a key on open routes, who share one account. */
    readonly account: string | undefined;
    readonly priority: RoutePriority;
    /** Expected tokens of work of the request at the endpoint. */
    readonly tokens: number;
    /** Time at which the request times out. */
    readonly deadline: Milliseconds;
}

/** Why an entry was not queued. */
export enum QueueRefusal {
    /** The queue is full, and no other account has more waiting tokens than the entry's account would have with it. */
    Full = "full",
    /** The request has already timed out. */
    DeadlineExceeded = "deadlineExceeded",
    /** An entry with this identifier is waiting or running. */
    Duplicate = "duplicate",
}

/** Result of accepting an entry. */
export interface QueueAcceptance {
    /** Entries of the accounts with the most waiting tokens, removed to make room for the new one. */
    readonly displaced: readonly QueueEntry[];
}

interface WaitingEntry {
    readonly entry: QueueEntry;
    /** Tokens of the account's other entries served while this entry was first of its priority. */
    skippedTokens: number;
}

interface AccountQueue {
    readonly account: string;
    readonly waiting: Record<RoutePriority, WaitingEntry[]>;
    waitingTokens: number;
    /** Virtual time at which the account's next request starts. */
    startTag: number;
}

interface QueueHead {
    readonly queue: AccountQueue;
    readonly priority: RoutePriority;
    readonly first: WaitingEntry;
    /** Position in the order of priorities, from 0 for the highest; {@link promotedRank} for a starving entry. */
    readonly rank: number;
}

interface RunningEntry {
    readonly entry: QueueEntry;
    isAnswered: boolean;
}

const prioritiesInOrder: readonly RoutePriority[] = [
    RoutePriority.Interactive,
    RoutePriority.Normal,
    RoutePriority.Bulk,
];

const anonymousAccount = "";

/** Rank of an entry that was skipped in favour of its account's other entries for more than the priority slack. */
const promotedRank = -1;

/** The queue of one endpoint. */
export class FairQueue {
    private readonly accounts = new Map<string, AccountQueue>();
    private readonly runningEntries = new Map<string, RunningEntry>();
    private readonly waitingIds = new Set<string>();
    private virtualTime = 0;
    private waitingTokens = 0;

    constructor(private readonly options: FairQueueOptions) {}

    /** Queues an entry. A full queue makes room by removing entries of the account with the most waiting tokens. */
    offer(entry: QueueEntry, now: Milliseconds): Result<QueueAcceptance, QueueRefusal> {
        if (this.waitingIds.has(entry.id) || this.runningEntries.has(entry.id)) {
            return err(QueueRefusal.Duplicate);
        }
        if (entry.deadline <= now) {
            return err(QueueRefusal.DeadlineExceeded);
        }
        const displaced = this.makeRoom(entry);
        if (displaced === undefined) {
            return err(QueueRefusal.Full);
        }
        this.enqueue(entry);
        return ok({ displaced });
    }

    /** Removes and returns the next entry to run; `undefined` if none waits or a limit is reached. */
    take(now: Milliseconds): QueueEntry | undefined {
        if (
            this.runningEntries.size >= this.options.maximumRunning
            || this.unanswered >= this.options.maximumUnanswered
        ) {
            return undefined;
        }
        const chosen = this.nextHead(now);
        if (chosen === undefined) {
            return undefined;
        }
        const { queue, priority, first } = chosen;
        const { entry } = first;
        queue.waiting[priority] = queue.waiting[priority].filter((waiting) => waiting !== first);
        this.subtractWaiting(queue, entry);
        this.virtualTime = Math.max(this.virtualTime, queue.startTag);
        queue.startTag += entry.tokens;
        this.addSkippedTokens(queue, entry.tokens);
        this.removeIdleAccounts();
        this.runningEntries.set(entry.id, { entry, isAnswered: false });
        return entry;
    }

    /** Removes and returns the waiting entries whose deadlines have passed. */
    expire(now: Milliseconds): QueueEntry[] {
        return this.removeWhere((entry) => entry.deadline <= now);
    }

    /** Removes a waiting entry. Returns false if no such entry waits. */
    remove(id: string): boolean {
        return this.removeWhere((entry) => entry.id === id).length > 0;
    }

    /** Records that the answer to a running entry has begun. */
    recordAnswered(id: string): void {
        const running = this.runningEntries.get(id);
        if (running !== undefined) {
            running.isAnswered = true;
        }
    }

    /** Records that a running entry has ended. `actualTokens` corrects the charge to its account. */
    finish(id: string, actualTokens?: number): void {
        const running = this.runningEntries.get(id);
        if (running === undefined) {
            return;
        }
        this.runningEntries.delete(id);
        const queue = this.accounts.get(running.entry.account ?? anonymousAccount);
        if (queue !== undefined && actualTokens !== undefined) {
            queue.startTag = Math.max(this.virtualTime, queue.startTag + actualTokens - running.entry.tokens);
        }
    }

    /** Number of waiting tokens. */
    get queuedTokens(): number {
        return this.waitingTokens;
    }

    /** Number of waiting requests. */
    get queuedRequests(): number {
        return this.waitingIds.size;
    }

    /** Number of running requests. */
    get running(): number {
        return this.runningEntries.size;
    }

    /** Tokens of running requests whose answers have not begun. */
    get unansweredTokens(): number {
        return [...this.runningEntries.values()]
            .filter((running) => !running.isAnswered)
            .reduce((sum, running) => sum + running.entry.tokens, 0);
    }

    private get unanswered(): number {
        return [...this.runningEntries.values()].filter((running) => !running.isAnswered).length;
    }

    private enqueue(entry: QueueEntry): void {
        const name = entry.account ?? anonymousAccount;
        const queue = this.accounts.get(name) ?? emptyAccount(name);
        if (queue.waitingTokens === 0) {
            queue.startTag = Math.max(queue.startTag, this.virtualTime);
        }
        this.accounts.set(name, queue);
        queue.waiting[entry.priority].push({ entry, skippedTokens: 0 });
        queue.waitingTokens += entry.tokens;
        this.waitingTokens += entry.tokens;
        this.waitingIds.add(entry.id);
    }

    private isFullFor(entry: QueueEntry): boolean {
        return this.waitingIds.size >= this.options.maximumQueuedRequests
            || (this.waitingIds.size > 0
                && this.waitingTokens + entry.tokens > this.options.maximumQueuedTokens);
    }

    /** Removes and returns entries to make room for one; `undefined` if it must be refused as {@link QueueRefusal.Full}. */
    private makeRoom(entry: QueueEntry): QueueEntry[] | undefined {
        const displaced: QueueEntry[] = [];
        const own = entry.account ?? anonymousAccount;
        while (this.isFullFor(entry)) {
            const largest = this.largestAccount();
            const ownTokens = (this.accounts.get(own)?.waitingTokens ?? 0) + entry.tokens;
            if (largest === undefined || largest.account === own || largest.waitingTokens <= ownTokens) {
                displaced.forEach((victim) => this.enqueue(victim));
                return undefined;
            }
            displaced.push(this.removeLast(largest));
        }
        return displaced;
    }

    private largestAccount(): AccountQueue | undefined {
        return [...this.accounts.values()]
            .reduce<AccountQueue | undefined>(
                (largest, queue) => queue.waitingTokens > (largest?.waitingTokens ?? 0) ? queue : largest,
                undefined,
            );
    }

    private removeLast(queue: AccountQueue): QueueEntry {
        const lowest = [...prioritiesInOrder].reverse().find((priority) =>
            queue.waiting[priority].length > 0
        )!;
        const { entry } = queue.waiting[lowest].pop()!;
        this.subtractWaiting(queue, entry);
        return entry;
    }

    private nextHead(now: Milliseconds): QueueHead | undefined {
        const heads = [...this.accounts.values()].flatMap((queue) => this.headsOf(queue, now));
        const minStartTag = Math.min(...heads.map((head) => head.queue.startTag));
        const withinShare = heads.filter((head) => head.queue.startTag <= minStartTag + this.prioritySlack);
        withinShare.sort((left, right) =>
            left.rank - right.rank || left.queue.startTag - right.queue.startTag
        );
        return withinShare[0];
    }

    /** First entry of each priority within its deadline; an entry skipped for too long gets {@link promotedRank}. */
    private headsOf(queue: AccountQueue, now: Milliseconds): QueueHead[] {
        return prioritiesInOrder.flatMap((priority, rank) => {
            const first = queue.waiting[priority].find((waiting) => waiting.entry.deadline > now);
            if (first === undefined) {
                return [];
            }
            return [{
                queue,
                priority,
                first,
                rank: first.skippedTokens > this.prioritySlack ? promotedRank : rank,
            }];
        });
    }

    private get prioritySlack(): number {
        return this.options.prioritySlackTokens ?? defaultPrioritySlackTokens;
    }

    private addSkippedTokens(served: AccountQueue, tokens: number): void {
        for (const priority of prioritiesInOrder) {
            const first = served.waiting[priority][0];
            if (first !== undefined) {
                first.skippedTokens += tokens;
            }
        }
    }

    private removeWhere(condition: (entry: QueueEntry) => boolean): QueueEntry[] {
        const removed: QueueEntry[] = [];
        for (const queue of this.accounts.values()) {
            for (const priority of prioritiesInOrder) {
                const leaving = queue.waiting[priority].filter((waiting) => condition(waiting.entry));
                queue.waiting[priority] = queue.waiting[priority].filter((waiting) =>
                    !condition(waiting.entry)
                );
                leaving.forEach((waiting) => this.subtractWaiting(queue, waiting.entry));
                removed.push(...leaving.map((waiting) => waiting.entry));
            }
        }
        this.removeIdleAccounts();
        return removed;
    }

    private subtractWaiting(queue: AccountQueue, entry: QueueEntry): void {
        queue.waitingTokens -= entry.tokens;
        this.waitingTokens -= entry.tokens;
        this.waitingIds.delete(entry.id);
    }

    /** Removes accounts that have no waiting entry and are not ahead of the virtual time. */
    private removeIdleAccounts(): void {
        for (const [name, queue] of this.accounts) {
            const hasWaiting = prioritiesInOrder.some((priority) => queue.waiting[priority].length > 0);
            if (!hasWaiting && queue.startTag <= this.virtualTime) {
                this.accounts.delete(name);
            }
        }
    }
}

function emptyAccount(account: string): AccountQueue {
    return {
        account,
        waiting: { [RoutePriority.Interactive]: [], [RoutePriority.Normal]: [], [RoutePriority.Bulk]: [] },
        waitingTokens: 0,
        startTag: 0,
    };
}
