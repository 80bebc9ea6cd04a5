import { CallOutcome, RefusalReason, RetryReason } from "@redwingpin/common";
import { expect } from "chai";
import fc from "fast-check";
import {
    AnswerProgress,
    type AttemptEnd,
    type AttemptEvent,
    attemptLoop,
    type RequestOutcome,
} from "../decision/attemptLoop.js";
import { notRun, outcomeUnknown } from "../decision/refusal.js";

const declined: AttemptEnd = {
    kind: "notRun",
    retry: RetryReason.AgentDeclinedQueueFull,
    refusal: notRun(RefusalReason.QueueFull, "full"),
};

function broken(progress = AnswerProgress.Nothing): AttemptEnd {
    const refusal = outcomeUnknown(RefusalReason.EndpointFailed, "died");
    return { kind: "broken", retry: RetryReason.ConnectionLost, refusal, progress };
}

interface Run {
    readonly outcome: RequestOutcome;
    readonly attempts: number;
    readonly asked: readonly string[];
    readonly retries: readonly RetryReason[];
}

/** Runs the loop with the given ends of attempts, endless endpoints and a budget of retries. */
function run(idempotent: boolean, ends: readonly AttemptEnd[], budget = 10): Run {
    const loop = attemptLoop({ idempotent, maxAttempts: 4, pool: "engines" });
    const asked: string[] = [];
    const retries: RetryReason[] = [];
    let left = budget;
    let step = loop.next();
    while (!step.done) {
        const effect = step.value;
        let event: AttemptEvent;
        switch (effect.kind) {
            case "choose":
                event = {
                    kind: "chosen",
                    instance: asked.length < ends.length ? `agent-${asked.length}` : undefined,
                };
                break;
            case "spendRetry":
                retries.push(effect.reason);
                event = { kind: "retry", allowed: left-- > 0 };
                break;
            case "attempt":
                asked.push(effect.instance);
                event = { kind: "ended", end: ends[asked.length - 1] };
                break;
        }
        step = loop.next(event);
    }
    return { outcome: step.value, attempts: asked.length, asked, retries };
}

function outcomeOf(result: Run): CallOutcome | undefined {
    return result.outcome.kind === "refused" ? result.outcome.refusal.outcome : undefined;
}

describe("attemptLoop", () => {
    it("tries another endpoint after a decline and after a break of an idempotent request", () => {
        expect(run(true, [declined, broken(), { kind: "complete" }]).outcome.kind).to.equal("answered");
    });

    it("never repeats a call that may have run and is not idempotent", () => {
        const result = run(false, [declined, broken(), { kind: "complete" }]);
        expect(result.attempts).to.equal(2);
        expect(outcomeOf(result)).to.equal(CallOutcome.Unknown);
    });

    it("does not say that a request did not run where an earlier attempt may have run it", () => {
        expect(outcomeOf(run(true, [broken(), declined]))).to.equal(CallOutcome.Unknown);
        expect(outcomeOf(run(true, [declined, declined]))).to.equal(CallOutcome.NotRun);
    });

    it("cuts, and does not refuse, once the caller has part of the answer", () => {
        expect(run(true, [broken(AnswerProgress.Partial), { kind: "complete" }]).outcome.kind).to.equal(
            "cut",
        );
    });

    it("names a resumed stream as such and stops other retries at the budget", () => {
        const resumed = run(true, [broken(AnswerProgress.Resumable), { kind: "complete" }]);
        expect(resumed.retries).to.deep.equal([RetryReason.StreamResumed]);
        const stopped = run(true, [declined, { kind: "complete" }], 0);
        expect(stopped.outcome).to.deep.include({ kind: "refused" });
        expect(stopped.attempts).to.equal(1);
    });

    it("holds over any history: not-run is true, nothing runs twice, endpoints differ", () => {
        const end = fc.constantFrom<AttemptEnd>(declined, broken(), broken(AnswerProgress.Resumable), {
            kind: "complete",
        });
        fc.assert(
            fc.property(
                fc.boolean(),
                fc.array(end, { maxLength: 6 }),
                fc.nat(4),
                (idempotent, ends, budget) => {
                    const result = run(idempotent, ends, budget);
                    const made = ends.slice(0, result.attempts);
                    const mayHaveRun = made.filter((attempt) => attempt.kind !== "notRun").length;
                    if (!idempotent) {
                        expect(mayHaveRun).to.be.at.most(1);
                    }
                    if (outcomeOf(result) === CallOutcome.NotRun) {
                        expect(mayHaveRun).to.equal(0);
                    }
                    expect(new Set(result.asked).size).to.equal(result.asked.length);
                },
            ),
            { seed: 3, numRuns: 500 },
        );
    });
});
