/**
 * Fair queue before one endpoint: start-time fair queueing in tokens between accounts, priorities among the
 * accounts that are within their share, a bounded queue, deadlines and limits on what runs at once.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import { RoutePriority } from "@redwingpin/manifest";
import { err, ok, type Result } from "neverthrow";

/** Options of {@link FairQueue}. */
export interface FairQueueOptions {
    /** Requests that may run at the endpoint at once. */
    readonly maximumRunning: number;
    /** Requests that may run and have not begun to answer; keeps the order of the rest in this queue. */
    readonly maximumUnanswered: number;
    /** Requests that may wait, of all accounts. */
    readonly maximumQueuedRequests: number;
    /** Tokens that may wait, of all accounts. */
    readonly maximumQueuedTokens: number;
    /**
     * Tokens by which an account may run ahead of the one furthest behind for the sake of priority.
     * @default defaultPrioritySlackTokens
     */
    readonly prioritySlackTokens?: number;
}

/** Default of {@link FairQueueOptions.prioritySlackTokens}. */
export const defaultPrioritySlackTokens = 16_000;

/** A request that wants to run at the endpoint. */
export interface QueueEntry {
    /** Differs for each attempt. */
    readonly id: string;
    /** Account that the tokens are counted for; callers of an open route without a key share one. */
    readonly account: string | undefined;
    readonly priority: RoutePriority;
    /** Tokens of work that the endpoint is expected to spend on the request. */
    readonly tokens: number;
    /** Time after which the caller has given up. */
    readonly deadline: Milliseconds;
}

/** Why an entry was not queued. */
export enum QueueRefusal {
    /** The queue is full and the account holds at least its share of it. */
    Full = "full",
    /** The caller has given up already. */
    DeadlineExceeded = "deadlineExceeded",
    /** An entry of this identifier waits or runs. */
    Duplicate = "duplicate",
}

/** What became of the queue when an entry was accepted. */
export interface Accepted {
    /** Entries of the account with the most waiting tokens that had to leave for the new one. */
    readonly displaced: readonly QueueEntry[];
}

interface WaitingEntry {
    readonly entry: QueueEntry;
    /** Tokens that were served while the entry was the next of its account's class. */
    passedOver: number;
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
    /** Place in the order of priorities, from 0 for the highest; {@link promotedRank} for a starving entry. */
    readonly rank: number;
}

interface RunningEntry {
    readonly entry: QueueEntry;
    answered: boolean;
}

const prioritiesInOrder: readonly RoutePriority[] = [
    RoutePriority.Interactive,
    RoutePriority.Normal,
    RoutePriority.Bulk,
];

const openAccount = "";

/** Rank of an entry that its own account has passed over for long. */
const promotedRank = -1;

/** The queue before one endpoint. */
export class FairQueue {
    private readonly accounts = new Map<string, AccountQueue>();
    private readonly runningEntries = new Map<string, RunningEntry>();
    private readonly waitingIds = new Set<string>();
    private virtualTime = 0;
    private waitingTokens = 0;

    constructor(private readonly options: FairQueueOptions) {}

    /** Queues an entry. A full queue makes room at the cost of the account with the most waiting tokens. */
    offer(entry: QueueEntry, now: Milliseconds): Result<Accepted, QueueRefusal> {
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

    /** Takes the next entry to run, or `undefined` where none waits or the limits are reached. */
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
        this.forgetWaiting(queue, entry);
        this.virtualTime = Math.max(this.virtualTime, queue.startTag);
        queue.startTag += entry.tokens;
        this.countPassedOver(queue, entry.tokens);
        this.dropIdle();
        this.runningEntries.set(entry.id, { entry, answered: false });
        return entry;
    }

    /** Removes and returns the waiting entries whose callers have given up. */
    expire(now: Milliseconds): QueueEntry[] {
        return this.removeWhere((entry) => entry.deadline <= now);
    }

    /** Removes a waiting entry. Returns false where it does not wait. */
    remove(id: string): boolean {
        return this.removeWhere((entry) => entry.id === id).length > 0;
    }

    /** Records that a running entry has begun to answer. */
    answered(id: string): void {
        const running = this.runningEntries.get(id);
        if (running !== undefined) {
            running.answered = true;
        }
    }

    /** Records that a running entry has ended. `actualTokens` corrects what its account is charged. */
    finish(id: string, actualTokens?: number): void {
        const running = this.runningEntries.get(id);
        if (running === undefined) {
            return;
        }
        this.runningEntries.delete(id);
        const queue = this.accounts.get(running.entry.account ?? openAccount);
        if (queue !== undefined && actualTokens !== undefined) {
            queue.startTag = Math.max(this.virtualTime, queue.startTag + actualTokens - running.entry.tokens);
        }
    }

    /** Tokens that wait. */
    get queuedTokens(): number {
        return this.waitingTokens;
    }

    /** Requests that wait. */
    get queuedRequests(): number {
        return this.waitingIds.size;
    }

    /** Requests that run. */
    get running(): number {
        return this.runningEntries.size;
    }

    /** Tokens of requests that run and have not begun to answer. */
    get unansweredTokens(): number {
        return [...this.runningEntries.values()]
            .filter((running) => !running.answered)
            .reduce((sum, running) => sum + running.entry.tokens, 0);
    }

    private get unanswered(): number {
        return [...this.runningEntries.values()].filter((running) => !running.answered).length;
    }

    private enqueue(entry: QueueEntry): void {
        const name = entry.account ?? openAccount;
        const queue = this.accounts.get(name) ?? emptyAccount(name);
        if (queue.waitingTokens === 0) {
            queue.startTag = Math.max(queue.startTag, this.virtualTime);
        }
        this.accounts.set(name, queue);
        queue.waiting[entry.priority].push({ entry, passedOver: 0 });
        queue.waitingTokens += entry.tokens;
        this.waitingTokens += entry.tokens;
        this.waitingIds.add(entry.id);
    }

    private isFullFor(entry: QueueEntry): boolean {
        return this.waitingIds.size >= this.options.maximumQueuedRequests
            || (this.waitingIds.size > 0
                && this.waitingTokens + entry.tokens > this.options.maximumQueuedTokens);
    }

    /** Entries to displace, already removed; `undefined` where the new entry's account is the one with the most. */
    private makeRoom(entry: QueueEntry): QueueEntry[] | undefined {
        const displaced: QueueEntry[] = [];
        const own = entry.account ?? openAccount;
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
        this.forgetWaiting(queue, entry);
        return entry;
    }

    private nextHead(now: Milliseconds): QueueHead | undefined {
        const heads = [...this.accounts.values()].flatMap((queue) => this.headsOf(queue, now));
        const furthestBehind = Math.min(...heads.map((head) => head.queue.startTag));
        const withinShare = heads.filter((head) =>
            head.queue.startTag <= furthestBehind + this.prioritySlack
        );
        withinShare.sort((left, right) =>
            left.rank - right.rank || left.queue.startTag - right.queue.startTag
        );
        return withinShare[0];
    }

    /** First live entry of each class; one that its own account passed over for long ranks before all. */
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
                rank: first.passedOver > this.prioritySlack ? promotedRank : rank,
            }];
        });
    }

    private get prioritySlack(): number {
        return this.options.prioritySlackTokens ?? defaultPrioritySlackTokens;
    }

    private countPassedOver(served: AccountQueue, tokens: number): void {
        for (const priority of prioritiesInOrder) {
            const first = served.waiting[priority][0];
            if (first !== undefined) {
                first.passedOver += tokens;
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
                leaving.forEach((waiting) => this.forgetWaiting(queue, waiting.entry));
                removed.push(...leaving.map((waiting) => waiting.entry));
            }
        }
        this.dropIdle();
        return removed;
    }

    private forgetWaiting(queue: AccountQueue, entry: QueueEntry): void {
        queue.waitingTokens -= entry.tokens;
        this.waitingTokens -= entry.tokens;
        this.waitingIds.delete(entry.id);
    }

    /** An account that waits for nothing and is not ahead of the others leaves no state behind. */
    private dropIdle(): void {
        for (const [name, queue] of this.accounts) {
            const waits = prioritiesInOrder.some((priority) => queue.waiting[priority].length > 0);
            if (!waits && queue.startTag <= this.virtualTime) {
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
