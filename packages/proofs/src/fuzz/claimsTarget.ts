/**
 * Fuzzes the claims: several routers receive the same few calls, while they are killed, stopped and paused and the
 * store and the service fail. The oracle is the service's own list of executions.
 *
 * @module
 */
import { assertNever, CallOutcome } from "@redwingpin/common";
import { advanceTime, StoreFault } from "@redwingpin/outside";
import fc from "fast-check";
import { answerTextOf, ClaimsSite, ServiceMode, siteLimits } from "./claimsSite.js";
import type { FuzzTarget } from "./fuzzTarget.js";

const routerCount = 3;
const keyCount = 2;
const callsPerRound = 16;
const roundMilliseconds = 200;
const timeToCommitMilliseconds = 15;
const maximumSteps = 30;
const maximumAdvanceMilliseconds = 1_500;
const recoveryMilliseconds = 8_000;

type Step =
    | { readonly kind: "send"; readonly router: number; readonly key: number; readonly body: number; }
    /** Pauses a router while the claim of a call is in transit to or from the store. */
    | { readonly kind: "pauseDuringCommit"; readonly router: number; readonly key: number; }
    /** Sends calls that no other step sends, so that the ring of segments wraps around. */
    | { readonly kind: "load"; readonly router: number; }
    | { readonly kind: "restart" | "stop" | "pause" | "resume"; readonly router: number; }
    | { readonly kind: "restartAll"; }
    | { readonly kind: "store"; readonly fault: StoreFault; }
    | { readonly kind: "service"; readonly mode: ServiceMode; }
    | { readonly kind: "writer"; readonly router: number | undefined; }
    | { readonly kind: "loseMessages"; readonly requests: boolean; readonly replies: boolean; }
    | { readonly kind: "advance"; readonly duration: number; };

const router = fc.nat(routerCount - 1);

const step: fc.Arbitrary<Step> = fc.oneof(
    {
        weight: 8,
        arbitrary: fc.record({
            kind: fc.constant("send" as const),
            router,
            key: fc.nat(keyCount - 1),
            body: fc.constantFrom(0, 0, 0, 1),
        }),
    },
    {
        weight: 3,
        arbitrary: fc.record({
            kind: fc.constantFrom("restart" as const, "stop" as const, "pause" as const, "resume" as const),
            router,
        }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("load" as const), router }) },
    {
        weight: 1,
        arbitrary: fc.record({
            kind: fc.constant("pauseDuringCommit" as const),
            router,
            key: fc.nat(keyCount - 1),
        }),
    },
    { weight: 1, arbitrary: fc.constant({ kind: "restartAll" as const }) },
    {
        weight: 3,
        arbitrary: fc.record({
            kind: fc.constant("store" as const),
            fault: fc.constantFrom(...Object.values(StoreFault)),
        }),
    },
    {
        weight: 2,
        arbitrary: fc.record({
            kind: fc.constant("service" as const),
            mode: fc.constantFrom(...Object.values(ServiceMode)),
        }),
    },
    {
        weight: 2,
        arbitrary: fc.record({
            kind: fc.constant("writer" as const),
            router: fc.constantFrom(undefined, 0, 1, 2),
        }),
    },
    {
        weight: 1,
        arbitrary: fc.record({
            kind: fc.constant("loseMessages" as const),
            requests: fc.boolean(),
            replies: fc.boolean(),
        }),
    },
    {
        weight: 6,
        arbitrary: fc.record({
            kind: fc.constant("advance" as const),
            duration: fc.oneof(
                { weight: 4, arbitrary: fc.integer({ min: 5, max: 60 }) },
                { weight: 4, arbitrary: fc.integer({ min: 5, max: maximumAdvanceMilliseconds }) },
                { weight: 1, arbitrary: fc.constant(siteLimits.minimumRetention) },
            ),
        }),
    },
);

/** Fuzzes the claims against the service's list of executions. */
export const claimsTarget: FuzzTarget = {
    name: "claims",
    boundedRuns: 150,
    property: () =>
        fc.asyncProperty(fc.array(step, { minLength: 1, maxLength: maximumSteps }), async (steps) => {
            const site = new ClaimsSite(routerCount);
            for (const next of steps) {
                await perform(site, next);
            }
            await repairAndSettle(site);
            checkExecutions(site);
            checkAnswers(site);
            await checkProgress(site);
        }),
};

async function perform(site: ClaimsSite, next: Step): Promise<void> {
    switch (next.kind) {
        case "send":
            site.send(next.router, `key-${next.key}`, `body-${next.body}`);
            return;
        case "load":
            return await sendLoad(site, next.router);
        case "pauseDuringCommit":
            return await pauseDuringCommit(site, next.router, next.key);
        case "restart":
            return site.restart(next.router);
        case "stop":
            return site.stop(next.router);
        case "pause":
            return site.process(next.router).pause();
        case "resume":
            return site.process(next.router).resume();
        case "restartAll":
            return Array.from({ length: routerCount }, (_, index) => index).forEach((index) =>
                site.restart(index)
            );
        case "store":
            site.store.fault = next.fault;
            return;
        case "service":
            site.serviceMode = next.mode;
            return;
        case "writer":
            site.writer = next.router;
            return;
        case "loseMessages":
            site.messageLoss.requests = next.requests;
            site.messageLoss.replies = next.replies;
            return;
        case "advance":
            return await advanceTime(site.clock, next.duration);
        default:
            return assertNever(next);
    }
}

async function sendLoad(site: ClaimsSite, index: number): Promise<void> {
    for (let round = 0; round < siteLimits.slots; round++) {
        for (let sent = 0; sent < callsPerRound; sent++) {
            site.send(index, `load-${site.requests.length}`, "body");
        }
        await advanceTime(site.clock, roundMilliseconds);
    }
}

async function pauseDuringCommit(site: ClaimsSite, index: number, key: number): Promise<void> {
    site.send(index, `key-${key}`, "body-0");
    await advanceTime(site.clock, timeToCommitMilliseconds);
    site.process(index).pause();
}

async function repairAndSettle(site: ClaimsSite): Promise<void> {
    site.store.fault = StoreFault.None;
    site.serviceMode = ServiceMode.Normal;
    site.messageLoss.requests = false;
    site.messageLoss.replies = false;
    for (let index = 0; index < routerCount; index++) {
        site.process(index).resume();
    }
    await advanceTime(site.clock, recoveryMilliseconds);
}

function checkExecutions(site: ClaimsSite): void {
    const retentionMilliseconds = siteLimits.minimumRetention - siteLimits.dispatchWindow;
    for (const [index, execution] of site.executions.entries()) {
        const earlier = site.executions.slice(0, index).find((other) =>
            other.key === execution.key && execution.at - other.at < retentionMilliseconds
        );
        if (earlier !== undefined) {
            throw new Error(
                `a call was executed twice: "${answerTextOf(earlier)}" and "${answerTextOf(execution)}"`,
            );
        }
    }
}

function checkAnswers(site: ClaimsSite): void {
    for (const { number, key, body, reportedOutcome } of site.requests) {
        const own = site.executions.find((execution) => execution.request === number);
        if (reportedOutcome?.kind === CallOutcome.NotRun && own !== undefined) {
            throw new Error(
                `request ${number} was refused as not-run, but was executed: "${answerTextOf(own)}"`,
            );
        }
        if (reportedOutcome?.kind === "answer") {
            const isOwnAnswer = site.executions.some((execution) =>
                execution.key === key && execution.body === body
                && answerTextOf(execution) === reportedOutcome.text
            );
            if (!isOwnAnswer) {
                throw new Error(
                    `request ${number} received the answer of another call: "${reportedOutcome.text}"`,
                );
            }
        }
    }
}

async function checkProgress(site: ClaimsSite): Promise<void> {
    // During the first retention period the last outcomes are written; during the second, their segments expire.
    await advanceTime(site.clock, 2 * siteLimits.minimumRetention);
    const requests = Array.from(
        { length: routerCount },
        (_, index) => site.send(index, `fresh-${index}`, "body"),
    );
    await advanceTime(site.clock, recoveryMilliseconds);
    const failed = requests.find((request) => request.reportedOutcome?.kind !== "answer");
    if (failed !== undefined) {
        throw new Error(
            `a new call after recovery ended with ${
                JSON.stringify(failed.reportedOutcome)
            }, not with an answer`,
        );
    }
}
