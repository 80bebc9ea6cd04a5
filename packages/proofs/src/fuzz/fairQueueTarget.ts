/**
 * Fuzzes the fair queue against a plain list: no entry is lost, runs twice, runs after its deadline or exceeds the
 * limits, and accounts that always have waiting entries get the same number of tokens within a bound.
 *
 * @module
 */
import { RoutePriority } from "@redwingpin/manifest";
import { FairQueue, type QueueEntry } from "@redwingpin/scheduling";
import fc from "fast-check";
import type { FuzzTarget } from "./fuzzTarget.js";

const boundedRuns = 300;
const maximumSteps = 120;
const accounts = ["bridport", "swansea", "penguin"] as const;
const maximumTokens = 5_000;
const prioritySlackTokens = 8_000;
const limits = {
    maximumRunning: 3,
    maximumUnanswered: 2,
    maximumQueuedRequests: 5,
    maximumQueuedTokens: 12_000,
    prioritySlackTokens,
};

enum StepKind {
    Offer = "offer",
    Take = "take",
    Answer = "answer",
    Finish = "finish",
    Remove = "remove",
    Expire = "expire",
}

interface Step {
    readonly kind: StepKind;
    readonly account: number;
    readonly priority: RoutePriority;
    readonly tokens: number;
    /** Milliseconds from the offer of an entry to its deadline. */
    readonly lifetime: number;
    /** Selects one of the waiting or running entries. */
    readonly selector: number;
    /** Milliseconds that pass before the step. */
    readonly elapsed: number;
}

const steps = fc.array(
    fc.record<Step>({
        kind: fc.constantFrom(...Object.values(StepKind), StepKind.Offer, StepKind.Offer, StepKind.Take),
        account: fc.nat(accounts.length - 1),
        priority: fc.constantFrom(...Object.values(RoutePriority)),
        tokens: fc.integer({ min: 1, max: maximumTokens }),
        lifetime: fc.integer({ min: 0, max: 3_000 }),
        selector: fc.nat(20),
        elapsed: fc.nat(100),
    }),
    { maxLength: maximumSteps },
);

/** The queue beside lists of the entries that wait and that run. */
class QueueHistory {
    private readonly queue = new FairQueue(limits);
    private waiting: QueueEntry[] = [];
    private running: { readonly entry: QueueEntry; answered: boolean; }[] = [];
    private readonly started = new Set<string>();
    private now = 0;
    private offered = 0;

    apply(step: Step): void {
        this.now += step.elapsed;
        this.performStep(step);
        const tokens = this.waiting.reduce((sum, entry) => sum + entry.tokens, 0);
        check(
            this.queue.queuedRequests === this.waiting.length,
            "queue.queuedRequests differs from the number of waiting entries",
        );
        check(
            this.queue.queuedTokens === tokens,
            "queue.queuedTokens differs from the tokens of the waiting entries",
        );
        check(
            this.queue.running === this.running.length,
            "queue.running differs from the number of running entries",
        );
        check(
            this.waiting.length <= limits.maximumQueuedRequests,
            "more requests are queued than the limit allows",
        );
        check(
            tokens <= limits.maximumQueuedTokens || this.waiting.length === 1,
            "more tokens are queued than the limit allows",
        );
    }

    private performStep(step: Step): void {
        switch (step.kind) {
            case StepKind.Offer:
                return this.offer(step);
            case StepKind.Take:
                return this.take();
            case StepKind.Answer:
                return this.answer(step.selector);
            case StepKind.Finish:
                return this.finish(step.selector, step.tokens);
            case StepKind.Remove:
                return this.remove(step.selector);
            case StepKind.Expire:
                return this.expire();
        }
    }

    private offer(step: Step): void {
        const entry: QueueEntry = {
            id: `entry-${this.offered++}`,
            account: accounts[step.account]!,
            priority: step.priority,
            tokens: step.tokens,
            deadline: this.now + step.lifetime,
        };
        const ownTokens = this.tokensOf(entry.account) + entry.tokens;
        this.queue.offer(entry, this.now).map(({ displaced }) => {
            check(step.lifetime > 0, "an entry was queued after its deadline");
            for (const displacedEntry of displaced) {
                check(this.waiting.includes(displacedEntry), "an entry was displaced that was not queued");
                check(displacedEntry.account !== entry.account, "an account displaced its own entry");
                check(
                    this.tokensOf(displacedEntry.account) > ownTokens,
                    "an account was displaced although it has fewer queued tokens",
                );
                this.waiting = this.waiting.filter((other) => other !== displacedEntry);
            }
            this.waiting.push(entry);
        });
    }

    private tokensOf(account: string | undefined): number {
        return this.waiting
            .filter((entry) => entry.account === account)
            .reduce((sum, entry) => sum + entry.tokens, 0);
    }

    private take(): void {
        const entry = this.queue.take(this.now);
        const unanswered = this.running.filter((running) => !running.answered).length;
        const hasFreeSlot = this.running.length < limits.maximumRunning
            && unanswered < limits.maximumUnanswered;
        const unexpired = this.waiting.filter((other) => other.deadline > this.now);
        check(
            (entry !== undefined) === (hasFreeSlot && unexpired.length > 0),
            "an entry was held back although the limits allow it, or taken although they don't",
        );
        if (entry === undefined) {
            return;
        }
        check(unexpired.includes(entry), "an entry was taken that was not queued or had passed its deadline");
        check(!this.started.has(entry.id), "an entry was taken twice");
        const sameClass = unexpired.filter((other) =>
            other.account === entry.account && other.priority === entry.priority
        );
        check(sameClass[0] === entry, "an entry was taken before an earlier one of its account and priority");
        this.started.add(entry.id);
        this.waiting = this.waiting.filter((other) => other !== entry);
        this.running.push({ entry, answered: false });
    }

    private answer(selector: number): void {
        const running = this.running[selector % Math.max(1, this.running.length)];
        if (running !== undefined) {
            running.answered = true;
            this.queue.recordAnswered(running.entry.id);
        }
    }

    private finish(selector: number, actualTokens: number): void {
        const running = this.running[selector % Math.max(1, this.running.length)];
        if (running !== undefined) {
            this.running = this.running.filter((other) => other !== running);
            this.queue.finish(running.entry.id, actualTokens);
        }
    }

    private remove(selector: number): void {
        const entry = this.waiting[selector % Math.max(1, this.waiting.length)];
        if (entry !== undefined) {
            check(this.queue.remove(entry.id), "a queued entry could not be removed");
            this.waiting = this.waiting.filter((other) => other !== entry);
        }
    }

    private expire(): void {
        const expected = this.waiting.filter((entry) => entry.deadline <= this.now);
        const expired = this.queue.expire(this.now);
        check(
            expired.length === expected.length && expected.every((entry) => expired.includes(entry)),
            "expire() did not return exactly the entries that had passed their deadline",
        );
        this.waiting = this.waiting.filter((entry) => !expected.includes(entry));
    }
}

const backlogs = fc.record({
    sizes: fc.array(fc.integer({ min: 1, max: maximumTokens }), { minLength: 20, maxLength: 60 }),
    priorities: fc.array(fc.constantFrom(...Object.values(RoutePriority)), { minLength: 20, maxLength: 60 }),
});

/**
 * Serves accounts that always have waiting entries. No account may be served more tokens than another by more than the
 * priority slack and two requests of the maximum size.
 */
function checkShares(sizes: readonly number[], priorities: readonly RoutePriority[]): void {
    const queue = new FairQueue({ ...limits, maximumQueuedRequests: 1_000, maximumQueuedTokens: 10_000_000 });
    const served = new Map<string, number>();
    let next = 0;
    const offer = (account: string) => {
        const tokens = sizes[next % sizes.length]!;
        const priority = priorities[(next * 7) % priorities.length]!;
        queue.offer({ id: `entry-${next++}`, account, priority, tokens, deadline: Number.MAX_VALUE }, 0);
    };
    accounts.forEach((account) => {
        served.set(account, 0);
        Array.from({ length: 4 }, () => offer(account));
    });
    for (let round = 0; round < 300; round++) {
        const entry = queue.take(0)!;
        queue.finish(entry.id);
        served.set(entry.account!, served.get(entry.account!)! + entry.tokens);
        offer(entry.account!);
        const servedTokens = [...served.values()];
        const lead = Math.max(...servedTokens) - Math.min(...servedTokens);
        check(
            lead <= prioritySlackTokens + 2 * maximumTokens,
            `one account was served ${lead} tokens more than another`,
        );
    }
}

function check(condition: boolean, message: string): void {
    if (!condition) {
        throw new Error(message);
    }
}

/** Fuzzes the fair queue against a plain list. */
export const fairQueueTarget: FuzzTarget = {
    name: "fair queue",
    boundedRuns,
    property: () =>
        fc.property(steps, backlogs, (history, { sizes, priorities }) => {
            const queueHistory = new QueueHistory();
            history.forEach((step) => queueHistory.apply(step));
            checkShares(sizes, priorities);
        }),
};
