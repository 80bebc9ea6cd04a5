import { RefusalReason, RetryReason } from "@redwingpin/common";
import { expect } from "chai";
import { type AttemptOutcome, type Choice, planAttempts, type RequestOutcome } from "../index.js";
import { endpointStateFixture } from "./gatewayFixture.js";

const queueFull: AttemptOutcome = {
    kind: "notRun",
    retryReason: RetryReason.AgentDeclinedQueueFull,
    reached: true,
};
const unreached: AttemptOutcome = { kind: "notRun", retryReason: RetryReason.ConnectFailed, reached: false };
const broken: AttemptOutcome = { kind: "broken", detail: "reset", hasHead: false, isClosed: true };
const failed: AttemptOutcome = {
    kind: "failed",
    answer: { status: 500, rawHeaders: [], body: [] },
};

interface Script {
    readonly repeatable: boolean;
    readonly attempts?: number;
    readonly outcomes: readonly AttemptOutcome[];
    /** Number of endpoints that can be chosen. */
    readonly endpoints?: number;
    readonly budget?: number;
}

/** Runs a plan against scripted outcomes; returns its outcome and the numbers of dispatches and retries. */
function runPlan(script: Script): { outcome: RequestOutcome; dispatches: number; retries: number; } {
    const plan = planAttempts({ repeatable: script.repeatable, attempts: script.attempts ?? 2 });
    const choice: Choice = {
        endpointState: endpointStateFixture("a"),
        version: undefined,
        tokensToProcess: 0,
        latency: 0,
        likelyCachedTokens: 0,
        fetchTime: 0,
        cost: 0,
        serviceLatency: 0,
        startsIn: 0,
        fits: true,
        memoryTokens: 0,
        worth: 1,
    };
    let dispatches = 0;
    let retries = 0;
    let step = plan.next();
    while (!step.done) {
        switch (step.value.kind) {
            case "choose": {
                const isAvailable = dispatches < (script.endpoints ?? 9);
                step = plan.next(
                    isAvailable
                        ? { kind: "chosen", choice }
                        : { kind: "noneAvailable", reason: RefusalReason.NoEndpoint, retryAfter: 400 },
                );
                break;
            }
            case "spendRetry":
                retries += 1;
                step = plan.next({ kind: "retry", allowed: retries <= (script.budget ?? 9) });
                break;
            case "dispatch":
                step = plan.next({ kind: "ended", outcome: script.outcomes[dispatches++] });
        }
    }
    return { outcome: step.value, dispatches, retries };
}

describe("attempt plan", () => {
    it("never retries a request that may have run and must run at most once", () => {
        for (const outcome of [broken, failed]) {
            const { dispatches } = runPlan({ repeatable: false, outcomes: [outcome, { kind: "delivered" }] });
            expect(dispatches).to.equal(1);
        }
    });

    it("reports that a request may have run if its only attempt broke", () => {
        const { outcome } = runPlan({ repeatable: false, outcomes: [broken] });
        expect(outcome).to.deep.include({ kind: "unknown", timedOut: false });
    });

    it("retries a request at another endpoint if the first one states that it has not run it", () => {
        const { outcome, dispatches } = runPlan({
            repeatable: false,
            outcomes: [queueFull, { kind: "delivered" }],
        });
        expect([outcome.kind, dispatches]).to.deep.equal(["delivered", 2]);
    });

    it("does not report a request as not run if an earlier attempt broke", () => {
        const { outcome } = runPlan({
            repeatable: true,
            attempts: 3,
            outcomes: [broken, queueFull, queueFull, queueFull],
        });
        expect(outcome.kind).to.equal("unknown");
    });

    it("runs a repeatable request on no more endpoints than its route allows", () => {
        const { dispatches, outcome } = runPlan({
            repeatable: true,
            outcomes: [failed, failed, { kind: "delivered" }],
        });
        expect([dispatches, outcome.kind]).to.deep.equal([2, "failed"]);
    });

    it("refuses with a retry delay if no endpoint can take the request", () => {
        const { outcome } = runPlan({ repeatable: true, outcomes: [], endpoints: 0 });
        expect(outcome).to.deep.equal({ kind: "refused", reason: RefusalReason.NoEndpoint, retryAfter: 400 });
    });

    it("forwards the endpoint's error answer if the retry budget is spent", () => {
        const { outcome } = runPlan({ repeatable: true, outcomes: [failed], budget: 0 });
        expect(outcome.kind).to.equal("failed");
    });

    it("takes nothing from the retry budget for an endpoint that could not be reached", () => {
        const { outcome, retries } = runPlan({
            repeatable: false,
            outcomes: [unreached, { kind: "delivered" }],
        });
        expect([outcome.kind, retries]).to.deep.equal(["delivered", 0]);
    });

    it("refuses after the maximum number of refusals", () => {
        const { outcome, dispatches } = runPlan({
            repeatable: true,
            outcomes: [queueFull, queueFull, queueFull, queueFull],
        });
        expect(outcome).to.deep.include({ kind: "refused", reason: RefusalReason.QueueFull });
        expect(dispatches).to.equal(3);
    });
});
