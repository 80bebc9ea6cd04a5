/**
 * Fuzzes admission: random histories of requests and faults on a simulated fleet.
 *
 * The oracle checks the recorded admissions over every interval. At the end, when every fault is repaired, it requests
 * a full burst at once, which shows that no share of the rate was lost permanently.
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
const usualTokensPerSecond = 2_000;
const usualBurstTokens = 6_000;
const startTime: Milliseconds = 4_000;
/** Long enough for the VM list to drop a replaced VM, and for the bucket to fill to its burst. */
const recoveryTime: Milliseconds = 24_000;
const batchDelay: Milliseconds = 10;
const minimumDepletionTokens = 10;

interface RequestBatch {
    readonly kind: "batch";
    readonly router: number;
    readonly count: number;
    readonly tokens: number;
    /** Fraction of the reservation that is spent in the end, from 0 to 1. */
    readonly spentFraction: number;
    readonly duration: Milliseconds;
}

/** Requests of decreasing size at some routers, so that hardly a token is left. */
interface Depletion {
    readonly kind: "deplete";
    readonly routers: readonly number[];
    readonly spentFraction: number;
    readonly duration: Milliseconds;
}

/** Requests of one size at one router. */
interface RequestBatch {
    readonly kind: "batch";
    readonly router: number;
    readonly count: number;
    readonly tokens: number;
    /** Fraction of the reservation that is spent in the end, from 0 to 1. */
    readonly spentFraction: number;
    readonly duration: Milliseconds;
}

/** Requests of decreasing size at some routers, so that hardly a token is left. */
interface Depletion {
    readonly kind: "deplete";
    readonly routers: readonly number[];
    readonly spentFraction: number;
    readonly duration: Milliseconds;
}

/** A fault or a planned change of one router. */
interface RouterFault {
    readonly kind: "kill" | "restart" | "stop" | "remove" | "leave" | "pause" | "resume";
    readonly router: number;
}

/** A change of the account's limits. */
interface LimitChange {
    readonly kind: "limits";
    readonly factor: number;
    /** The only router that applies the change; all routers do if it is absent. */
    readonly router: number | undefined;
}

type Action =
    | RequestBatch
    | Depletion
    | RouterFault
    | LimitChange
    | { readonly kind: "advance"; readonly duration: Milliseconds; }
    | { readonly kind: "lag"; readonly router: number; readonly lag: Milliseconds; }
    | { readonly kind: "restartAll"; }
    | { readonly kind: "partition"; readonly from: number; readonly to: number; readonly both: boolean; }
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

const spentFraction = fc.constantFrom(0, 1);
const duration = fc.constantFrom(1, 200, 3_400);

const depletion: fc.Arbitrary<Action> = fc.record({
    kind: fc.constant("deplete" as const),
    routers: fc.uniqueArray(router, { minLength: 1 }),
    spentFraction,
    duration,
});

const requestBatch: fc.Arbitrary<Action> = fc.record({
    kind: fc.constant("batch" as const),
    router,
    count: fc.integer({ min: 1, max: 4 }),
    tokens: fc.oneof(fc.constant(usualBurstTokens), fc.integer({ min: 50, max: usualBurstTokens })),
    spentFraction,
    duration,
});

/** Durations after which a bucket is full, a grant has lapsed or a VM is dropped, and short ones. */
const advance: fc.Arbitrary<Action> = fc.record({
    kind: fc.constant("advance" as const),
    duration: fc.oneof(
        { weight: 3, arbitrary: fc.integer({ min: 1, max: 400 }) },
        { weight: 3, arbitrary: fc.constant(3_200) },
        { weight: 1, arbitrary: fc.constantFrom(290, 310, 6_000, 17_000) },
    ),
});

const routerFault = (...kinds: RouterFault["kind"][]): fc.Arbitrary<Action> =>
    fc.record({ kind: fc.constantFrom(...kinds), router });

/** Kinds of faults; each history uses a few of them, so that rare combinations occur. */
const faultKinds: fc.Arbitrary<Action>[] = [
    routerFault("kill", "restart", "stop"),
    fc.constant({ kind: "restartAll" }),
    routerFault("pause", "resume", "resume"),
    routerFault("remove", "restart"),
    routerFault("leave", "restart"),
    fc.record({ kind: fc.constant("lag" as const), router, lag: fc.constantFrom(0, 5_000, 12_000) }),
    fc.oneof(
        fc.record({ kind: fc.constant("partition" as const), from: router, to: router, both: fc.boolean() }),
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

const histories = fc.subarray(faultKinds, { maxLength: 4 }).chain((selectedKinds) =>
    fc.array(
        fc.oneof(
            { weight: 4, arbitrary: depletion },
            { weight: 1, arbitrary: requestBatch },
            { weight: 4, arbitrary: advance },
            ...selectedKinds.map((arbitrary) => ({ weight: 1, arbitrary })),
        ),
        { minLength: 1, maxLength: 40, size: "max" },
    )
);

function accountsOf(factor: number): ClientAccount[] {
    return [{
        name: accountName,
        tokensPerSecond: Math.round(usualTokensPerSecond * factor),
        burstTokens: Math.round(usualBurstTokens * factor),
        keys: [],
    }];
}

async function sendBatch(fleet: RateFleet, action: RequestBatch): Promise<void> {
    for (let sentCount = 0; sentCount < action.count; sentCount++) {
        const spentTokens = Math.floor(action.tokens * action.spentFraction);
        fleet.offer(action.router, accountName, action.tokens, spentTokens, action.duration);
    }
    await fleet.advance(batchDelay);
}

async function depleteBucket(fleet: RateFleet, action: Depletion): Promise<void> {
    for (
        let tokens = usualBurstTokens / 2;
        tokens > minimumDepletionTokens;
        tokens = Math.floor(tokens / 2)
    ) {
        for (const router of action.routers) {
            const spentTokens = Math.floor(tokens * action.spentFraction);
            fleet.offer(router, accountName, tokens, spentTokens, action.duration);
            fleet.offer(router, accountName, tokens, spentTokens, action.duration);
        }
        await fleet.advance(batchDelay);
    }
}

async function perform(fleet: RateFleet, action: Action): Promise<void> {
    switch (action.kind) {
        case "batch":
            return await sendBatch(fleet, action);
        case "deplete":
            return await depleteBucket(fleet, action);
        case "lag":
            return fleet.setListLag(action.router, action.lag);
        case "advance":
            return await fleet.advance(action.duration);
        case "kill":
        case "stop":
        case "restart":
        case "remove":
        case "leave":
        case "pause":
        case "resume":
            return fleet[action.kind](action.router);
        case "restartAll":
            return restartAll(fleet);
        case "partition":
            fleet.setPartitioned(action.from, action.to, true);
            return fleet.setPartitioned(action.to, action.from, action.both);
        case "heal":
            return fleet.network.removePartitions();
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
            return fleet.applyAccounts(accountsOf(action.factor), action.router);
        default:
            return assertNever(action);
    }
}

function restartAll(fleet: RateFleet): void {
    for (let index = 0; index < routerCount; index++) {
        fleet.restart(index);
    }
}

function repairAll(fleet: RateFleet): void {
    fleet.network.removePartitions();
    Object.assign(fleet.network.faults, { loss: 0, repetition: 0, delay: 0 });
    fleet.setStoreFault(StoreFault.None);
    for (let index = 0; index < routerCount; index++) {
        fleet.resume(index);
        fleet.setListLag(index, 0);
        if (!fleet.isRunning(index) || fleet.isLeaving(index)) {
            fleet.restart(index);
        }
    }
    fleet.applyAccounts(accountsOf(1));
}

function checkOverspend(fleet: RateFleet): void {
    for (const [name, tokens] of fleet.overspent()) {
        if (tokens > 0) {
            throw new Error(`account "${name}" spent ${tokens} tokens more than its rate and burst allow`);
        }
    }
}

async function checkFullBurst(fleet: RateFleet): Promise<void> {
    const before = fleet.offered.length;
    fleet.offer(0, accountName, usualBurstTokens, usualBurstTokens, 1);
    await fleet.advance(startTime);
    const outcome = fleet.offered[before].outcome;
    if (outcome !== "admitted") {
        throw new Error(`a full burst was not admitted after every fault was repaired: ${outcome}`);
    }
}

async function checkHistory(history: readonly Action[], seed: number): Promise<void> {
    const fleet = new RateFleet({
        routers: routerCount,
        accounts: accountsOf(1),
        random: seededRandom(seed),
    });
    await fleet.advance(startTime);
    for (const action of history) {
        await perform(fleet, action);
    }
    repairAll(fleet);
    await fleet.advance(recoveryTime);
    await checkFullBurst(fleet);
    checkOverspend(fleet);
}

/** Fuzzes admission: accounts stay within rate and burst over the whole fleet, whatever fails. */
export const ratesTarget: FuzzTarget = {
    name: "rates",
    property: () => fc.asyncProperty(histories, fc.nat(), checkHistory),
    boundedRuns: 60,
};
