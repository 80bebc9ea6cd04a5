/**
 * Fuzz of admission: random histories of requests and faults on a simulated fleet.
 *
 * The oracle judges the recorded admissions over every interval, and at the end, when every fault is mended, asks
 * for a whole burst at once: no share may have been lost for good.
 *
 * @module
 */
import { RateFleet } from "@redwingpin/admission/trial";
import { assertNever, type Milliseconds, seededRandom } from "@redwingpin/common";
import type { ClientAccount } from "@redwingpin/manifest";
import { StoreFault } from "@redwingpin/platform";
import fc from "fast-check";
import type { FuzzTarget } from "./fuzzTarget.js";

const routerCount = 3;
const accountNames = ["office", "kartela"];
const usualRate = 2_000;
const usualBurst = 6_000;
const startTime: Milliseconds = 4_000;
/** Long enough for the VM list to count a replaced VM as gone, and for a burst to fill. */
const mendTime: Milliseconds = 24_000;
const rushPause: Milliseconds = 10;

type Action =
    | {
        readonly kind: "rush";
        readonly router: number;
        readonly account: string;
        readonly count: number;
        readonly tokens: number;
        /** Part of the reservation that is spent in the end, from 0 to 1. */
        readonly spent: number;
        readonly duration: Milliseconds;
    }
    | { readonly kind: "pass"; readonly duration: Milliseconds; }
    | {
        readonly kind: "kill" | "restart" | "replace" | "leave" | "freeze" | "thaw";
        readonly router: number;
    }
    | { readonly kind: "restartAll"; }
    | { readonly kind: "cut"; readonly from: number; readonly to: number; readonly both: boolean; }
    | { readonly kind: "heal"; }
    | {
        readonly kind: "network";
        readonly loss: number;
        readonly repetition: number;
        readonly delay: number;
    }
    | { readonly kind: "store"; readonly fault: StoreFault; }
    | {
        readonly kind: "limits";
        readonly account: string;
        readonly factor: number;
        /** Router that takes it over first; the others follow with the next change. */
        readonly router: number | undefined;
    };

const router = fc.nat({ max: routerCount - 1 });
const account = fc.constantFrom(...accountNames);
const probability = fc.constantFrom(0, 0, 0.1, 0.5);

const rush: fc.Arbitrary<Action> = fc.record({
    kind: fc.constant("rush" as const),
    router,
    account,
    count: fc.integer({ min: 1, max: 12 }),
    tokens: fc.integer({ min: 50, max: usualBurst }),
    spent: fc.constantFrom(0, 0.3, 1),
    duration: fc.constantFrom(1, 200, 1_000, 4_000),
});

const pass: fc.Arbitrary<Action> = fc.record({
    kind: fc.constant("pass" as const),
    duration: fc.oneof(
        fc.integer({ min: 1, max: 600 }),
        fc.constantFrom(grantTime(-10), grantTime(10), 3_000, 9_000),
    ),
});

function grantTime(offset: Milliseconds): Milliseconds {
    return 300 + offset;
}

const fault: fc.Arbitrary<Action> = fc.oneof(
    fc.record({
        kind: fc.constantFrom("kill", "restart", "replace", "leave", "freeze", "thaw"),
        router,
    }),
    fc.constant<Action>({ kind: "restartAll" }),
    fc.record({ kind: fc.constant("cut" as const), from: router, to: router, both: fc.boolean() }),
    fc.constant<Action>({ kind: "heal" }),
    fc.record({
        kind: fc.constant("network" as const),
        loss: probability,
        repetition: probability,
        delay: probability,
    }),
    fc.record({ kind: fc.constant("store" as const), fault: fc.constantFrom(...Object.values(StoreFault)) }),
    fc.record({
        kind: fc.constant("limits" as const),
        account,
        factor: fc.constantFrom(0, 0.2, 1, 2),
        router: fc.option(router, { nil: undefined }),
    }),
);

const actions = fc.array(
    fc.oneof({ weight: 4, arbitrary: rush }, { weight: 3, arbitrary: pass }, { weight: 3, arbitrary: fault }),
    { minLength: 1, maxLength: 40, size: "max" },
);

function accountsOf(factors: ReadonlyMap<string, number>): ClientAccount[] {
    return accountNames.map((name) => ({
        name,
        tokensPerSecond: Math.round(usualRate * (factors.get(name) ?? 1)),
        burstTokens: Math.round(usualBurst * (factors.get(name) ?? 1)),
        keys: [],
    }));
}

async function rushInto(fleet: RateFleet, action: Extract<Action, { kind: "rush"; }>): Promise<void> {
    for (let sent = 0; sent < action.count; sent++) {
        const spent = Math.floor(action.tokens * action.spent);
        fleet.offer(action.router, action.account, action.tokens, spent, action.duration);
    }
    await fleet.pass(rushPause);
}

async function perform(fleet: RateFleet, factors: Map<string, number>, action: Action): Promise<void> {
    switch (action.kind) {
        case "rush":
            return await rushInto(fleet, action);
        case "pass":
            return await fleet.pass(action.duration);
        case "kill":
        case "restart":
        case "replace":
        case "freeze":
        case "thaw":
            return fleet[action.kind](action.router);
        case "leave":
            return await fleet.leave(action.router);
        case "restartAll":
            return restartAll(fleet);
        case "cut":
            fleet.setCut(action.from, action.to, true);
            return fleet.setCut(action.to, action.from, action.both);
        case "heal":
            return fleet.network.healAll();
        case "network":
            Object.assign(fleet.network.faults, {
                loss: action.loss,
                repetition: action.repetition,
                delay: action.delay,
            });
            return;
        case "store":
            return fleet.setStoreFault(action.fault);
        case "limits":
            factors.set(action.account, action.factor);
            return fleet.install(accountsOf(factors), action.router);
        default:
            return assertNever(action);
    }
}

function restartAll(fleet: RateFleet): void {
    for (let index = 0; index < routerCount; index++) {
        fleet.restart(index);
    }
}

function mend(fleet: RateFleet): void {
    fleet.network.healAll();
    Object.assign(fleet.network.faults, { loss: 0, repetition: 0, delay: 0 });
    fleet.setStoreFault(StoreFault.None);
    for (let index = 0; index < routerCount; index++) {
        fleet.thaw(index);
        if (!fleet.runs(index)) {
            fleet.restart(index);
        }
    }
    fleet.install(accountsOf(new Map()));
}

function checkOverspend(fleet: RateFleet): void {
    for (const [name, tokens] of fleet.overspent()) {
        if (tokens > 0) {
            throw new Error(`account "${name}" spent ${tokens} tokens more than its rate and burst allow`);
        }
    }
}

async function checkWholeBurst(fleet: RateFleet): Promise<void> {
    const before = fleet.offered.length;
    for (const [index, name] of accountNames.entries()) {
        fleet.offer(index, name, usualBurst, usualBurst, 1);
    }
    await fleet.pass(startTime);
    for (const offer of fleet.offered.slice(before)) {
        if (offer.outcome !== "admitted") {
            throw new Error(`a whole burst of account "${offer.account}" was refused: ${offer.outcome}`);
        }
    }
}

async function holds(history: readonly Action[], seed: number): Promise<void> {
    const fleet = new RateFleet({
        routers: routerCount,
        accounts: accountsOf(new Map()),
        random: seededRandom(seed),
    });
    const factors = new Map<string, number>();
    await fleet.pass(startTime);
    for (const action of history) {
        await perform(fleet, factors, action);
    }
    mend(fleet);
    await fleet.pass(mendTime);
    await checkWholeBurst(fleet);
    checkOverspend(fleet);
}

/** Rates and bursts hold over the whole fleet, whatever fails. */
export const ratesTarget: FuzzTarget = {
    name: "rates",
    property: () => fc.asyncProperty(actions, fc.nat(), holds),
    boundedRuns: 60,
};
