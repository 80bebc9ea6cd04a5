/**
 * Fuzzes the quarantine: callers repeat requests that crash endpoints and send others that do not, while routers
 * restart, endpoints crash for other reasons and the store fails. The oracle counts crashes and answers.
 *
 * @module
 */
import { assertNever } from "@redwingpin/common";
import { advanceTime, StoreFault } from "@redwingpin/outside";
import fc from "fast-check";
import type { FuzzTarget } from "./fuzzTarget.js";
import { QuarantineSite, type SiteRequest } from "./quarantineSite.js";

const routerCount = 3;
const agentCount = 4;
const maximumSteps = 20;
const harmlessRequestsPerStep = 6;
const sendsPerCrashingRequest = 6;
const maximumCrashes = 2;
const callerTimeoutMilliseconds = 100;
const recoveryMilliseconds = 20_000;

type Step =
    /** A caller sends a request that crashes endpoints, waits until it ends, and sends it again. */
    | {
        readonly kind: "crashingRequest";
        readonly name: number;
        readonly routers: readonly number[];
        readonly idempotent: boolean;
    }
    | { readonly kind: "harmlessRequests"; readonly router: number; }
    | { readonly kind: "restartRouter"; readonly router: number; }
    | { readonly kind: "crashEndpoint"; readonly agent: number; }
    | { readonly kind: "store"; readonly fault: StoreFault; }
    | { readonly kind: "advance"; readonly duration: number; };

const router = fc.nat(routerCount - 1);

const step: fc.Arbitrary<Step> = fc.oneof(
    {
        weight: 3,
        arbitrary: fc.record({
            kind: fc.constant("crashingRequest" as const),
            name: fc.nat(2),
            routers: fc.array(router, {
                minLength: sendsPerCrashingRequest,
                maxLength: sendsPerCrashingRequest,
            }),
            idempotent: fc.boolean(),
        }),
    },
    { weight: 5, arbitrary: fc.record({ kind: fc.constant("harmlessRequests" as const), router }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("restartRouter" as const), router }) },
    {
        weight: 1,
        arbitrary: fc.record({ kind: fc.constant("crashEndpoint" as const), agent: fc.nat(agentCount - 1) }),
    },
    {
        weight: 1,
        arbitrary: fc.record({
            kind: fc.constant("store" as const),
            fault: fc.constantFrom(...Object.values(StoreFault)),
        }),
    },
    {
        weight: 4,
        arbitrary: fc.record({
            kind: fc.constant("advance" as const),
            duration: fc.integer({ min: 5, max: 400 }),
        }),
    },
);

/** Fuzzes the quarantine against a count of crashes and answers. */
export const quarantineTarget: FuzzTarget = {
    name: "quarantine",
    boundedRuns: 100,
    property: () =>
        fc.asyncProperty(fc.array(step, { minLength: 1, maxLength: maximumSteps }), async (steps) => {
            const site = new QuarantineSite(routerCount, agentCount);
            const started = new Set<number>();
            for (const next of steps) {
                await perform(site, next, started);
            }
            site.store.fault = StoreFault.None;
            await advanceTime(site.clock, recoveryMilliseconds);
            checkCrashes(site);
            checkHarmlessRequests(site, steps);
        }),
};

async function perform(site: QuarantineSite, next: Step, started: Set<number>): Promise<void> {
    switch (next.kind) {
        case "crashingRequest":
            if (!started.has(next.name)) {
                started.add(next.name);
                void sendRepeatedly(site, next.name, next.routers, next.idempotent);
            }
            return;
        case "harmlessRequests":
            for (let sent = 0; sent < harmlessRequestsPerStep; sent++) {
                void site.send(next.router, makeRequest(`innocent-${site.requests.length}`, false, true));
            }
            return;
        case "restartRouter":
            return site.restartRouter(next.router);
        case "crashEndpoint":
            return site.crash(next.agent);
        case "store":
            site.store.fault = next.fault;
            return;
        case "advance":
            return await advanceTime(site.clock, next.duration);
        default:
            return assertNever(next);
    }
}

async function sendRepeatedly(
    site: QuarantineSite,
    name: number,
    routers: readonly number[],
    idempotent: boolean,
): Promise<void> {
    for (const index of routers) {
        const request = makeRequest(`crasher-${name}`, true, idempotent);
        await site.send(index, request);
        await waitForEnd(site, request);
    }
}

function waitForEnd(site: QuarantineSite, request: SiteRequest): Promise<void> {
    return new Promise((resolve) => {
        const deadline = site.clock.now() + callerTimeoutMilliseconds * sendsPerCrashingRequest;
        const poll = () => {
            if (request.reportedOutcome !== undefined || site.clock.now() >= deadline) {
                resolve();
                return;
            }
            site.clock.schedule(1, poll);
        };
        poll();
    });
}

function makeRequest(fingerprint: string, crashes: boolean, idempotent: boolean): SiteRequest {
    return { fingerprint, crashes, idempotent, reportedOutcome: undefined };
}

function checkCrashes(site: QuarantineSite): void {
    for (const [fingerprint, crashes] of site.crashesCaused) {
        if (crashes > maximumCrashes) {
            throw new Error(
                `request "${fingerprint}" crashed ${crashes} endpoints, more than allowed`,
            );
        }
    }
}

/**
 * A router that restarts interrupts the requests that it serves. A request that ran during two crashes may be
 * quarantined as their presumed cause, but only if endpoints crash for other reasons.
 */
function checkHarmlessRequests(site: QuarantineSite, steps: readonly Step[]): void {
    const hasRouterRestarts = steps.some((next) => next.kind === "restartRouter");
    const hasUnrelatedCrashes = steps.some((next) => next.kind === "crashEndpoint");
    for (const request of site.requests.filter((candidate) => !candidate.crashes)) {
        const crashes = site.crashesWhileRunning.get(request.fingerprint) ?? 0;
        const isInterrupted = hasRouterRestarts && request.reportedOutcome === undefined;
        const mayBeQuarantined = hasUnrelatedCrashes && crashes >= maximumCrashes;
        if (request.reportedOutcome !== "answer" && !mayBeQuarantined && !isInterrupted) {
            throw new Error(
                `harmless request "${request.fingerprint}" ended with ${request.reportedOutcome} after ${crashes} crashes`,
            );
        }
    }
}
