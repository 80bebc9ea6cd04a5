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
import { StoreFault } from "@redwingpin/outside";
import fc from "fast-check";
import type { FuzzTarget } from "./fuzzTarget.js";

const routerCount = 3;
const accountName = "kartela";
const usualRate = 2_000;
const usualBurst = 6_000;
const startTime: Milliseconds = 4_000;
/** Long enough for the VM list to count a replaced VM as gone, and for a burst to fill. */
const mendTime: Milliseconds = 24_000;
const rushPause: Milliseconds = 10;
const smallestDrain = 10;

interface Rush {
    readonly kind: "rush";
    readonly router: number;
    readonly count: number;
    readonly tokens: number;
    /** Part of the reservation that is spent in the end, from 0 to 1. */
    readonly spent: number;
    readonly duration: Milliseconds;
}

/** Requests of falling size at some routers, so that hardly a token is left. */
interface Drain {
    readonly kind: "drain";
    readonly routers: readonly number[];
    readonly spent: number;
    readonly duration: Milliseconds;
}

/** Requests of one size at one router. */
interface Rush {
    readonly kind: "rush";
    readonly router: number;
    readonly count: number;
    readonly tokens: number;
    /** Part of the reservation that is spent in the end, from 0 to 1. */
    readonly spent: number;
    readonly duration: Milliseconds;
}

/** Requests of falling size at some routers, so that hardly a token is left. */
interface Drain {
    readonly kind: "drain";
    readonly routers: readonly number[];
    readonly spent: number;
    readonly duration: Milliseconds;
}

/** Something that happens to one router. */
interface RouterFault {
    readonly kind: "kill" | "restart" | "stop" | "remove" | "leave" | "freeze" | "thaw";
    readonly router: number;
}

/** A change of the account's limits. */
interface LimitChange {
    readonly kind: "limits";
    readonly factor: number;
    /** The only router that takes it over; all do where it is absent. */
    readonly router: number | undefined;
}

type Action =
    | Rush
    | Drain
    | RouterFault
    | LimitChange
    | { readonly kind: "pass"; readonly duration: Milliseconds; }
    | { readonly kind: "lag"; readonly router: number; readonly lag: Milliseconds; }
    | { readonly kind: "restartAll"; }
    | { readonly kind: "cut"; readonly from: number; readonly to: number; readonly both: boolean; }
    | { readonly kind: "heal"; }
    | {
        readonly kind: "network";
        readonly loss: number;
        readonly repetition: number;
        readonly delay: number;
    }
    | { readonly kind: "store"; readonly fault: StoreFault; };

const router = fc.nat({ max: routerCount - 1 });
const probability = fc.constantFrom(0, 0.2, 0.6);

const spent = fc.constantFrom(0, 1);
const duration = fc.constantFrom(1, 200, 3_400);

const drain: fc.Arbitrary<Action> = fc.record({
    kind: fc.constant("drain" as const),
    routers: fc.uniqueArray(router, { minLength: 1 }),
    spent,
    duration,
});

const rush: fc.Arbitrary<Action> = fc.record({
    kind: fc.constant("rush" as const),
    router,
    count: fc.integer({ min: 1, max: 4 }),
    tokens: fc.oneof(fc.constant(usualBurst), fc.integer({ min: 50, max: usualBurst })),
    spent,
    duration,
});

/** Times in which a bucket fills, a grant lapses or a VM counts as gone, and short ones. */
const pass: fc.Arbitrary<Action> = fc.record({
    kind: fc.constant("pass" as const),
    duration: fc.oneof(
        { weight: 3, arbitrary: fc.integer({ min: 1, max: 400 }) },
        { weight: 3, arbitrary: fc.constant(3_200) },
        { weight: 1, arbitrary: fc.constantFrom(290, 310, 6_000, 17_000) },
    ),
});

const routerFault = (...kinds: RouterFault["kind"][]): fc.Arbitrary<Action> =>
    fc.record({ kind: fc.constantFrom(...kinds), router });

/** Kinds of faults; each history draws some of them, so that rare combinations come up. */
const faults: fc.Arbitrary<Action>[] = [
    routerFault("kill", "restart", "stop"),
    fc.constant({ kind: "restartAll" }),
    routerFault("freeze", "thaw", "thaw"),
    routerFault("remove", "restart"),
    routerFault("leave", "restart"),
    fc.record({ kind: fc.constant("lag" as const), router, lag: fc.constantFrom(0, 5_000, 12_000) }),
    fc.oneof(
        fc.record({ kind: fc.constant("cut" as const), from: router, to: router, both: fc.boolean() }),
        fc.constant<Action>({ kind: "heal" }),
    ),
    fc.record({
        kind: fc.constant("network" as const),
        loss: probability,
        repetition: probability,
        delay: probability,
    }),
    fc.record({ kind: fc.constant("store" as const), fault: fc.constantFrom(...Object.values(StoreFault)) }),
    fc.record({
        kind: fc.constant("limits" as const),
        factor: fc.constantFrom(0, 0.2, 1, 1, 2),
        router: fc.option(router, { nil: undefined }),
    }),
];

const histories = fc.subarray(faults, { maxLength: 4 }).chain((chosen) =>
    fc.array(
        fc.oneof(
            { weight: 4, arbitrary: drain },
            { weight: 1, arbitrary: rush },
            { weight: 4, arbitrary: pass },
            ...chosen.map((arbitrary) => ({ weight: 1, arbitrary })),
        ),
        { minLength: 1, maxLength: 40, size: "max" },
    )
);

function accountsOf(factor: number): ClientAccount[] {
    return [{
        name: accountName,
        tokensPerSecond: Math.round(usualRate * factor),
        burstTokens: Math.round(usualBurst * factor),
        keys: [],
    }];
}

async function rushInto(fleet: RateFleet, action: Rush): Promise<void> {
    for (let sent = 0; sent < action.count; sent++) {
        const spent = Math.floor(action.tokens * action.spent);
        fleet.offer(action.router, accountName, action.tokens, spent, action.duration);
    }
    await fleet.pass(rushPause);
}

async function drainInto(fleet: RateFleet, action: Drain): Promise<void> {
    for (let tokens = usualBurst / 2; tokens > smallestDrain; tokens = Math.floor(tokens / 2)) {
        for (const router of action.routers) {
            const spent = Math.floor(tokens * action.spent);
            fleet.offer(router, accountName, tokens, spent, action.duration);
            fleet.offer(router, accountName, tokens, spent, action.duration);
        }
        await fleet.pass(rushPause);
    }
}

async function perform(fleet: RateFleet, action: Action): Promise<void> {
    switch (action.kind) {
        case "rush":
            return await rushInto(fleet, action);
        case "drain":
            return await drainInto(fleet, action);
        case "lag":
            return fleet.setListLag(action.router, action.lag);
        case "pass":
            return await fleet.pass(action.duration);
        case "kill":
        case "stop":
        case "restart":
        case "remove":
        case "leave":
        case "freeze":
        case "thaw":
            return fleet[action.kind](action.router);
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
            return fleet.install(accountsOf(action.factor), action.router);
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
        fleet.setListLag(index, 0);
        if (!fleet.runs(index) || fleet.isLeaving(index)) {
            fleet.restart(index);
        }
    }
    fleet.install(accountsOf(1));
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
    fleet.offer(0, accountName, usualBurst, usualBurst, 1);
    await fleet.pass(startTime);
    const outcome = fleet.offered[before].outcome;
    if (outcome !== "admitted") {
        throw new Error(`a whole burst was refused when every fault was mended: ${outcome}`);
    }
}

async function holds(history: readonly Action[], seed: number): Promise<void> {
    const fleet = new RateFleet({
        routers: routerCount,
        accounts: accountsOf(1),
        random: seededRandom(seed),
    });
    await fleet.pass(startTime);
    for (const action of history) {
        await perform(fleet, action);
    }
    mend(fleet);
    await fleet.pass(mendTime);
    await checkWholeBurst(fleet);
    checkOverspend(fleet);
}

/** Rates and bursts hold over the whole fleet, whatever fails. */
export const ratesTarget: FuzzTarget = {
    name: "rates",
    property: () => fc.asyncProperty(histories, fc.nat(), holds),
    boundedRuns: 60,
};
