import { CallOutcome, FakeClock, type RefusalOutcome, RefusalReason } from "@redwingpin/common";
import { MemoryStore, StoreFault } from "@redwingpin/outside";
import { expect } from "chai";
import { type Claim, type ClaimDecision } from "../decision/claimCall.js";
import type { Claims } from "../node/claims.js";
import { advanceTime, makeAnswer, makeCall, makeClaims, resultAfter } from "./fixtures.js";

const latency = 4;
const decisionTime = 400;
const beyondTimeout = 3_000;

function makeStore(): { clock: FakeClock; store: MemoryStore; } {
    const clock = new FakeClock(1_000_000);
    return { clock, store: new MemoryStore(clock, latency) };
}

async function claim(clock: FakeClock, claims: Claims, key: string): Promise<Claim> {
    const decision = await resultAfter(clock, decisionTime, claims.begin(makeCall(key)));
    if (decision.kind !== "run") {
        throw new Error(`expected to run, got ${JSON.stringify(decision)}`);
    }
    return decision.claim;
}

function refusal(reason: RefusalReason, outcome: RefusalOutcome): ClaimDecision {
    return { kind: "refuse", reason, outcome };
}

describe("claims", () => {
    it("runs a call once and replays its answer after a restart", async () => {
        const { clock, store } = makeStore();
        const first = makeClaims(clock, store, "a");
        first.finish(await claim(clock, first, "k"), makeAnswer("stamped"));
        await resultAfter(clock, decisionTime, first.stop());
        const second = makeClaims(clock, store, "b");
        const decision = await resultAfter(clock, decisionTime, second.begin(makeCall("k")));
        expect(decision).to.deep.equal({ kind: "replay", answer: makeAnswer("stamped") });
    });

    it("refuses a call whose claim has no outcome, since it may have run", async () => {
        const { clock, store } = makeStore();
        await claim(clock, makeClaims(clock, store, "a"), "k");
        const second = makeClaims(clock, store, "b");
        const soon = await resultAfter(clock, decisionTime, second.begin(makeCall("k")));
        expect(soon).to.deep.equal(refusal(RefusalReason.CallInProgress, CallOutcome.Unknown));
        clock.advance(200_000);
        const late = await resultAfter(clock, decisionTime, second.begin(makeCall("k")));
        expect(late).to.deep.equal(refusal(RefusalReason.OutcomeUnknown, CallOutcome.Unknown));
    });

    it("refuses an idempotency key that is reused with another body", async () => {
        const { clock, store } = makeStore();
        const claims = makeClaims(clock, store, "a");
        await claim(clock, claims, "k");
        const decision = await resultAfter(clock, decisionTime, claims.begin(makeCall("k", "stamp 2")));
        expect(decision).to.deep.equal(refusal(RefusalReason.IdempotencyKeyReused, CallOutcome.NotRun));
    });

    it("runs a call again that certainly did not run", async () => {
        const { clock, store } = makeStore();
        const claims = makeClaims(clock, store, "a");
        claims.abandon(await claim(clock, claims, "k"), true);
        await claim(clock, claims, "k");
    });

    it("refuses calls as not run while the store fails, and runs the same key afterwards", async () => {
        for (const fault of [StoreFault.Down, StoreFault.DelaysEffects, StoreFault.LosesAnswers]) {
            const { clock, store } = makeStore();
            const claims = makeClaims(clock, store, "a");
            await claim(clock, claims, "earlier");
            store.fault = fault;
            const decision = await resultAfter(clock, beyondTimeout, claims.begin(makeCall("k")));
            expect(decision).to.deep.equal(refusal(RefusalReason.ClaimStoreUnavailable, CallOutcome.NotRun));
            store.fault = StoreFault.None;
            await advanceTime(clock, beyondTimeout);
            await claim(clock, claims, "k");
        }
    });

    it("grants a claim to only one of two processes that ask at the same time", async () => {
        const { clock, store } = makeStore();
        const decisions = ["a", "b"].map((name) => makeClaims(clock, store, name).begin(makeCall("k")));
        await advanceTime(clock, decisionTime);
        const kinds = (await Promise.all(decisions)).map((decision) => decision.kind);
        expect(kinds.sort()).to.deep.equal(["refuse", "run"]);
    });

    it("commits many calls in one write", async () => {
        const { clock, store } = makeStore();
        const claims = makeClaims(clock, store, "a", { shards: 1 });
        await claim(clock, claims, "first");
        const before = claims.statistics().writes;
        const calls = Array.from({ length: 100 }, (_, index) => claims.begin(makeCall(`key-${index}`)));
        await advanceTime(clock, decisionTime);
        expect((await Promise.all(calls)).every((decision) => decision.kind === "run")).to.equal(true);
        expect(claims.statistics().writes - before).to.be.at.most(2);
    });

    it("overwrites old claims only after the retention, and refuses new ones until then", async () => {
        const { clock, store } = makeStore();
        const writer = { slots: 3, segmentCloseBytes: 100, minimumRetention: 60_000 };
        const claims = makeClaims(clock, store, "a", { shards: 1, writer });
        const decisions: ClaimDecision[] = [];
        for (let index = 0; index < 10; index++) {
            decisions.push(await resultAfter(clock, decisionTime, claims.begin(makeCall(`key-${index}`))));
        }
        expect(decisions[0].kind).to.equal("run");
        const full = refusal(RefusalReason.ClaimStoreUnavailable, CallOutcome.NotRun);
        expect(decisions.at(-1)).to.deep.equal(full);
        clock.advance(60_000);
        await claim(clock, claims, "key-10");
    });
});
