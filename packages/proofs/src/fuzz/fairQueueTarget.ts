/**
 * Fuzz of the fair queue against a plain list: nothing is lost, run twice, run late or run beyond the limits, and
 * two accounts that wait all the time get the same tokens within a bound.
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
    readonly lifetime: number;
    readonly which: number;
    readonly elapsed: number;
}

const steps = fc.array(
    fc.record<Step>({
        kind: fc.constantFrom(...Object.values(StepKind), StepKind.Offer, StepKind.Offer, StepKind.Take),
        account: fc.nat(accounts.length - 1),
        priority: fc.constantFrom(...Object.values(RoutePriority)),
        tokens: fc.integer({ min: 1, max: maximumTokens }),
        lifetime: fc.integer({ min: 0, max: 3_000 }),
        which: fc.nat(20),
        elapsed: fc.nat(100),
    }),
    { maxLength: maximumSteps },
);

/** The queue beside a list of what waits and what runs. */
class QueueHistory {
    private readonly queue = new FairQueue(limits);
    private waiting: QueueEntry[] = [];
    private running: { readonly entry: QueueEntry; answered: boolean; }[] = [];
    private readonly started = new Set<string>();
    private now = 0;
    private offered = 0;

    play(step: Step): void {
        this.now += step.elapsed;
        this.playStep(step);
        const tokens = this.waiting.reduce((sum, entry) => sum + entry.tokens, 0);
        check(this.queue.queuedRequests === this.waiting.length, "the number of waiting requests differs");
        check(this.queue.queuedTokens === tokens, "the tokens of waiting requests differ");
        check(this.queue.running === this.running.length, "the number of running requests differs");
        check(this.waiting.length <= limits.maximumQueuedRequests, "more requests wait than may");
        check(tokens <= limits.maximumQueuedTokens || this.waiting.length === 1, "more tokens wait than may");
    }

    private playStep(step: Step): void {
        switch (step.kind) {
            case StepKind.Offer:
                return this.offer(step);
            case StepKind.Take:
                return this.take();
            case StepKind.Answer:
                return this.answer(step.which);
            case StepKind.Finish:
                return this.finish(step.which, step.tokens);
            case StepKind.Remove:
                return this.remove(step.which);
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
        const own = this.tokensOf(entry.account) + entry.tokens;
        this.queue.offer(entry, this.now).map(({ displaced }) => {
            check(step.lifetime > 0, "an entry past its deadline was queued");
            for (const victim of displaced) {
                check(this.waiting.includes(victim), "an entry that did not wait was displaced");
                check(victim.account !== entry.account, "an account displaced its own entry");
                check(this.tokensOf(victim.account) > own, "an account was displaced that waits for less");
                this.waiting = this.waiting.filter((other) => other !== victim);
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
        const isFree = this.running.length < limits.maximumRunning && unanswered < limits.maximumUnanswered;
        const live = this.waiting.filter((other) => other.deadline > this.now);
        check(
            (entry !== undefined) === (isFree && live.length > 0),
            "an entry was held back or let through wrongly",
        );
        if (entry === undefined) {
            return;
        }
        check(live.includes(entry), "an entry ran that did not wait or was past its deadline");
        check(!this.started.has(entry.id), "an entry ran twice");
        const sameClass = live.filter((other) =>
            other.account === entry.account && other.priority === entry.priority
        );
        check(sameClass[0] === entry, "an entry overtook an earlier one of its account and priority");
        this.started.add(entry.id);
        this.waiting = this.waiting.filter((other) => other !== entry);
        this.running.push({ entry, answered: false });
    }

    private answer(which: number): void {
        const running = this.running[which % Math.max(1, this.running.length)];
        if (running !== undefined) {
            running.answered = true;
            this.queue.recordAnswered(running.entry.id);
        }
    }

    private finish(which: number, actualTokens: number): void {
        const running = this.running[which % Math.max(1, this.running.length)];
        if (running !== undefined) {
            this.running = this.running.filter((other) => other !== running);
            this.queue.finish(running.entry.id, actualTokens);
        }
    }

    private remove(which: number): void {
        const entry = this.waiting[which % Math.max(1, this.waiting.length)];
        if (entry !== undefined) {
            check(this.queue.remove(entry.id), "a waiting entry could not be removed");
            this.waiting = this.waiting.filter((other) => other !== entry);
        }
    }

    private expire(): void {
        const late = this.waiting.filter((entry) => entry.deadline <= this.now);
        const expired = this.queue.expire(this.now);
        check(
            expired.length === late.length && late.every((entry) => expired.includes(entry)),
            "expiry differs",
        );
        this.waiting = this.waiting.filter((entry) => !late.includes(entry));
    }
}

const backlogs = fc.record({
    sizes: fc.array(fc.integer({ min: 1, max: maximumTokens }), { minLength: 20, maxLength: 60 }),
    priorities: fc.array(fc.constantFrom(...Object.values(RoutePriority)), { minLength: 20, maxLength: 60 }),
});

/** Serves accounts that always wait; at no time may one be further ahead than slack and two requests allow. */
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
    for (let turn = 0; turn < 300; turn++) {
        const entry = queue.take(0)!;
        queue.finish(entry.id);
        served.set(entry.account!, served.get(entry.account!)! + entry.tokens);
        offer(entry.account!);
        const shares = [...served.values()];
        const lead = Math.max(...shares) - Math.min(...shares);
        check(
            lead <= prioritySlackTokens + 2 * maximumTokens,
            `one account is ${lead} tokens ahead of another`,
        );
    }
}

function check(condition: boolean, message: string): void {
    if (!condition) {
        throw new Error(message);
    }
}

/** The fair queue against a plain list. */
export const fairQueueTarget: FuzzTarget = {
    name: "fair queue",
    boundedRuns,
    property: () =>
        fc.property(steps, backlogs, (history, { sizes, priorities }) => {
            const play = new QueueHistory();
            history.forEach((step) => play.play(step));
            checkShares(sizes, priorities);
        }),
};
