/**
 * Fuzzes the quarantine: callers send requests that crash endpoints again and again, among others that do not, while
 * routers restart, endpoints crash by themselves and the store fails. The oracle counts crashes and answers.
 *
 * @module
 */
import { assertNever } from "@redwingpin/common";
import { passTime, StoreFault } from "@redwingpin/outside";
import fc from "fast-check";
import type { FuzzTarget } from "./fuzzTarget.js";
import { QuarantineSite, type SiteRequest } from "./quarantineSite.js";

const routerCount = 3;
const agentCount = 4;
const maximumSteps = 20;
const burstSize = 6;
const resends = 6;
const maximumCrashes = 2;
const callerPatience = 100;
const recoveryTime = 20_000;

type Step =
    /** A caller sends a request that crashes endpoints, waits for its end, and sends it again. */
    | {
        readonly kind: "crasher";
        readonly name: number;
        readonly routers: readonly number[];
        readonly idempotent: boolean;
    }
    | { readonly kind: "innocents"; readonly router: number; }
    | { readonly kind: "restartRouter"; readonly router: number; }
    | { readonly kind: "crashEndpoint"; readonly agent: number; }
    | { readonly kind: "store"; readonly fault: StoreFault; }
    | { readonly kind: "pass"; readonly duration: number; };

const router = fc.nat(routerCount - 1);

const step: fc.Arbitrary<Step> = fc.oneof(
    {
        weight: 3,
        arbitrary: fc.record({
            kind: fc.constant("crasher" as const),
            name: fc.nat(2),
            routers: fc.array(router, { minLength: resends, maxLength: resends }),
            idempotent: fc.boolean(),
        }),
    },
    { weight: 5, arbitrary: fc.record({ kind: fc.constant("innocents" as const), router }) },
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
            kind: fc.constant("pass" as const),
            duration: fc.integer({ min: 5, max: 400 }),
        }),
    },
);

/** The quarantine against a count of crashes and answers. */
export const quarantineTarget: FuzzTarget = {
    name: "quarantine",
    boundedRuns: 100,
    property: () =>
        fc.asyncProperty(fc.array(step, { minLength: 1, maxLength: maximumSteps }), async (steps) => {
            const site = new QuarantineSite(routerCount, agentCount);
            const started = new Set<number>();
            for (const one of steps) {
                await perform(site, one, started);
            }
            site.store.fault = StoreFault.None;
            await passTime(site.clock, recoveryTime);
            checkCrashes(site);
            checkInnocents(site, steps);
        }),
};

async function perform(site: QuarantineSite, one: Step, started: Set<number>): Promise<void> {
    switch (one.kind) {
        case "crasher":
            if (!started.has(one.name)) {
                started.add(one.name);
                void sendAgainAndAgain(site, one.name, one.routers, one.idempotent);
            }
            return;
        case "innocents":
            for (let sent = 0; sent < burstSize; sent++) {
                void site.send(one.router, makeRequest(`innocent-${site.requests.length}`, false, true));
            }
            return;
        case "restartRouter":
            return site.restartRouter(one.router);
        case "crashEndpoint":
            return site.crash(one.agent);
        case "store":
            site.store.fault = one.fault;
            return;
        case "pass":
            return await passTime(site.clock, one.duration);
        default:
            return assertNever(one);
    }
}

async function sendAgainAndAgain(
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
        const deadline = site.clock.now() + callerPatience * resends;
        const look = () => {
            if (request.told !== undefined || site.clock.now() >= deadline) {
                resolve();
                return;
            }
            site.clock.schedule(1, look);
        };
        look();
    });
}

function makeRequest(fingerprint: string, crashes: boolean, idempotent: boolean): SiteRequest {
    return { fingerprint, crashes, idempotent, told: undefined };
}

function checkCrashes(site: QuarantineSite): void {
    for (const [fingerprint, crashes] of site.crashesCaused) {
        if (crashes > maximumCrashes) {
            throw new Error(`request "${fingerprint}" crashed ${crashes} endpoints`);
        }
    }
}

/**
 * A router that restarts cuts what it serves. A request that ran at two crashes may be held for their cause, but only
 * where endpoints crash by themselves.
 */
function checkInnocents(site: QuarantineSite, steps: readonly Step[]): void {
    const restarted = steps.some((one) => one.kind === "restartRouter");
    const unprovoked = steps.some((one) => one.kind === "crashEndpoint");
    for (const request of site.requests.filter((candidate) => !candidate.crashes)) {
        const crashes = site.crashesSeen.get(request.fingerprint) ?? 0;
        const cut = restarted && request.told === undefined;
        const held = unprovoked && crashes >= maximumCrashes;
        if (request.told !== "answer" && !held && !cut) {
            throw new Error(
                `request "${request.fingerprint}" was told ${request.told} after ${crashes} crashes`,
            );
        }
    }
}
