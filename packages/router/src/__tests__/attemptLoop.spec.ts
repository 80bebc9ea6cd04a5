import { CallOutcome, RefusalReason, RetryReason } from "@redwingpin/common";
import { expect } from "chai";
import fc from "fast-check";
import {
    AnswerProgress,
    type AttemptEvent,
    attemptLoop,
    type AttemptOutcome,
    type RequestOutcome,
} from "../decision/attemptLoop.js";
import { notRun, outcomeUnknown } from "../decision/refusal.js";

const declined: AttemptOutcome = {
    kind: "notRun",
    retryReason: RetryReason.AgentDeclinedQueueFull,
    refusal: notRun(RefusalReason.QueueFull, "full"),
};

function broken(progress = AnswerProgress.Nothing): AttemptOutcome {
    const refusal = outcomeUnknown(RefusalReason.EndpointFailed, "died");
    return { kind: "broken", retryReason: RetryReason.ConnectionLost, refusal, progress };
}

interface Run {
    readonly outcome: RequestOutcome;
    readonly attempts: number;
    readonly instances: readonly string[];
    readonly retries: readonly RetryReason[];
}

/** Runs the loop with the given outcomes of attempts, an endpoint for each of them, and a budget of retries. */
function run(idempotent: boolean, outcomes: readonly AttemptOutcome[], budget = 10): Run {
    const loop = attemptLoop({ idempotent, maxAttempts: 4, pool: "engines" });
    const instances: string[] = [];
    const retries: RetryReason[] = [];
    let remaining = budget;
    let step = loop.next();
    while (!step.done) {
        const effect = step.value;
        let event: AttemptEvent;
        switch (effect.kind) {
            case "choose":
                event = {
                    kind: "chosen",
                    instance: instances.length < outcomes.length ? `agent-${instances.length}` : undefined,
                };
                break;
            case "spendRetry":
                retries.push(effect.reason);
                event = { kind: "retry", allowed: remaining-- > 0 };
                break;
            case "dispatch":
                instances.push(effect.instance);
                event = { kind: "ended", outcome: outcomes[instances.length - 1] };
                break;
        }
        step = loop.next(event);
    }
    return { outcome: step.value, attempts: instances.length, instances, retries };
}

function outcomeOf(result: Run): CallOutcome | undefined {
    return result.outcome.kind === "refused" ? result.outcome.refusal.outcome : undefined;
}

describe("attemptLoop", () => {
    it("tries another endpoint after a decline and after an interrupted idempotent request", () => {
        expect(run(true, [declined, broken(), { kind: "delivered" }]).outcome.kind).to.equal("answered");
    });

    it("never repeats a call that may have run and is not idempotent", () => {
        const result = run(false, [declined, broken(), { kind: "delivered" }]);
        expect(result.attempts).to.equal(2);
        expect(outcomeOf(result)).to.equal(CallOutcome.Unknown);
    });

    it("does not report that a request did not run if an earlier attempt may have run it", () => {
        expect(outcomeOf(run(true, [broken(), declined]))).to.equal(CallOutcome.Unknown);
        expect(outcomeOf(run(true, [declined, declined]))).to.equal(CallOutcome.NotRun);
    });

    it("truncates the answer, and does not refuse, once the caller has received part of it", () => {
        expect(run(true, [broken(AnswerProgress.Partial), { kind: "delivered" }]).outcome.kind).to.equal(
            "truncated",
        );
    });

    it("gives a resumed stream as the reason of its retry, and stops other retries at the budget", () => {
        const resumed = run(true, [broken(AnswerProgress.Resumable), { kind: "delivered" }]);
        expect(resumed.retries).to.deep.equal([RetryReason.StreamResumed]);
        const stopped = run(true, [declined, { kind: "delivered" }], 0);
        expect(stopped.outcome).to.deep.include({ kind: "refused" });
        expect(stopped.attempts).to.equal(1);
    });

    it("in any history, reports not-run correctly, runs a call that is not idempotent once and repeats no endpoint", () => {
        const attemptOutcome = fc.constantFrom<AttemptOutcome>(
            declined,
            broken(),
            broken(AnswerProgress.Resumable),
            {
                kind: "delivered",
            },
        );
        fc.assert(
            fc.property(
                fc.boolean(),
                fc.array(attemptOutcome, { maxLength: 6 }),
                fc.nat(4),
                (idempotent, outcomes, budget) => {
                    const result = run(idempotent, outcomes, budget);
                    const madeAttempts = outcomes.slice(0, result.attempts);
                    const mayHaveRun = madeAttempts.filter((attempt) => attempt.kind !== "notRun").length;
                    if (!idempotent) {
                        expect(mayHaveRun).to.be.at.most(1);
                    }
                    if (outcomeOf(result) === CallOutcome.NotRun) {
                        expect(mayHaveRun).to.equal(0);
                    }
                    expect(new Set(result.instances).size).to.equal(result.instances.length);
                },
            ),
            { seed: 3, numRuns: 500 },
        );
    });
});
