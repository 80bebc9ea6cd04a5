/**
 * Fuzzes the claims: several routers are sent the same few calls, while they are killed, stopped and frozen and the
 * store and the service fail. The oracle is the service's own list of executions.
 *
 * @module
 */
import { assertNever, CallOutcome } from "@redwingpin/common";
import { passTime, StoreFault } from "@redwingpin/outside";
import fc from "fast-check";
import { answerText, ClaimsSite, ServiceMode, siteLimits } from "./claimsSite.js";
import type { FuzzTarget } from "./fuzzTarget.js";

const routerCount = 3;
const keyCount = 2;
const callsPerRound = 16;
const roundDuration = 200;
const commitInFlight = 15;
const maximumSteps = 30;
const maximumPass = 1_500;
const recoveryTime = 8_000;

type Step =
    | { readonly kind: "send"; readonly router: number; readonly key: number; readonly body: number; }
    /** Freezes a router while the claim of a call is on its way to the store or back. */
    | { readonly kind: "freezeInCommit"; readonly router: number; readonly key: number; }
    /** Sends calls that no other step sends, so that the ring turns. */
    | { readonly kind: "load"; readonly router: number; }
    | { readonly kind: "restart" | "stop" | "freeze" | "thaw"; readonly router: number; }
    | { readonly kind: "restartAll"; }
    | { readonly kind: "store"; readonly fault: StoreFault; }
    | { readonly kind: "service"; readonly mode: ServiceMode; }
    | { readonly kind: "writer"; readonly router: number | undefined; }
    | { readonly kind: "cut"; readonly requests: boolean; readonly replies: boolean; }
    | { readonly kind: "pass"; readonly duration: number; };

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
            kind: fc.constantFrom("restart" as const, "stop" as const, "freeze" as const, "thaw" as const),
            router,
        }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("load" as const), router }) },
    {
        weight: 1,
        arbitrary: fc.record({
            kind: fc.constant("freezeInCommit" as const),
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
            kind: fc.constant("cut" as const),
            requests: fc.boolean(),
            replies: fc.boolean(),
        }),
    },
    {
        weight: 6,
        arbitrary: fc.record({
            kind: fc.constant("pass" as const),
            duration: fc.oneof(
                { weight: 4, arbitrary: fc.integer({ min: 5, max: 60 }) },
                { weight: 4, arbitrary: fc.integer({ min: 5, max: maximumPass }) },
                { weight: 1, arbitrary: fc.constant(siteLimits.minimumRetention) },
            ),
        }),
    },
);

/** The claims against the service's list of executions. */
export const claimsTarget: FuzzTarget = {
    name: "claims",
    boundedRuns: 150,
    property: () =>
        fc.asyncProperty(fc.array(step, { minLength: 1, maxLength: maximumSteps }), async (steps) => {
            const site = new ClaimsSite(routerCount);
            for (const one of steps) {
                await perform(site, one);
            }
            await recover(site);
            checkExecutions(site);
            checkAnswers(site);
            await checkProgress(site);
        }),
};

async function perform(site: ClaimsSite, one: Step): Promise<void> {
    switch (one.kind) {
        case "send":
            site.send(one.router, `key-${one.key}`, `body-${one.body}`);
            return;
        case "load":
            return await sendLoad(site, one.router);
        case "freezeInCommit":
            return await freezeInCommit(site, one.router, one.key);
        case "restart":
            return site.restart(one.router);
        case "stop":
            return site.stop(one.router);
        case "freeze":
            return site.process(one.router).freeze();
        case "thaw":
            return site.process(one.router).thaw();
        case "restartAll":
            return Array.from({ length: routerCount }, (_, index) => index).forEach((index) =>
                site.restart(index)
            );
        case "store":
            site.store.fault = one.fault;
            return;
        case "service":
            site.service = one.mode;
            return;
        case "writer":
            site.writer = one.router;
            return;
        case "cut":
            site.cuts.requests = one.requests;
            site.cuts.replies = one.replies;
            return;
        case "pass":
            return await passTime(site.clock, one.duration);
        default:
            return assertNever(one);
    }
}

async function sendLoad(site: ClaimsSite, index: number): Promise<void> {
    for (let round = 0; round < siteLimits.slots; round++) {
        for (let sent = 0; sent < callsPerRound; sent++) {
            site.send(index, `load-${site.requests.length}`, "body");
        }
        await passTime(site.clock, roundDuration);
    }
}

async function freezeInCommit(site: ClaimsSite, index: number, key: number): Promise<void> {
    site.send(index, `key-${key}`, "body-0");
    await passTime(site.clock, commitInFlight);
    site.process(index).freeze();
}

async function recover(site: ClaimsSite): Promise<void> {
    site.store.fault = StoreFault.None;
    site.service = ServiceMode.Normal;
    site.cuts.requests = false;
    site.cuts.replies = false;
    for (let index = 0; index < routerCount; index++) {
        site.process(index).thaw();
    }
    await passTime(site.clock, recoveryTime);
}

function checkExecutions(site: ClaimsSite): void {
    const remembered = siteLimits.minimumRetention - siteLimits.dispatchWindow;
    for (const [index, execution] of site.executions.entries()) {
        const earlier = site.executions.slice(0, index).find((other) =>
            other.key === execution.key && execution.at - other.at < remembered
        );
        if (earlier !== undefined) {
            throw new Error(`ran twice: "${answerText(earlier)}" and "${answerText(execution)}"`);
        }
    }
}

function checkAnswers(site: ClaimsSite): void {
    for (const { number, key, body, told } of site.requests) {
        const own = site.executions.find((execution) => execution.request === number);
        if (told?.kind === CallOutcome.NotRun && own !== undefined) {
            throw new Error(`request ${number} was told not-run, and ran: "${answerText(own)}"`);
        }
        if (told?.kind === "answer") {
            const known = site.executions.some((execution) =>
                execution.key === key && execution.body === body && answerText(execution) === told.text
            );
            if (!known) {
                throw new Error(`request ${number} got the answer "${told.text}", which is not its own`);
            }
        }
    }
}

async function checkProgress(site: ClaimsSite): Promise<void> {
    // The first retention lets the last outcomes be written, the second makes room after them.
    await passTime(site.clock, 2 * siteLimits.minimumRetention);
    const requests = Array.from(
        { length: routerCount },
        (_, index) => site.send(index, `fresh-${index}`, "body"),
    );
    await passTime(site.clock, recoveryTime);
    const stuck = requests.find((request) => request.told?.kind !== "answer");
    if (stuck !== undefined) {
        throw new Error(`after recovery a fresh call was told ${JSON.stringify(stuck.told)}`);
    }
}
