/**
 * Fuzzes the orders: leading routers are killed and paused, agents and engines restart, the store fails and orders
 * arrive twice, while the manifest requests other versions. The engines check every order that they receive.
 *
 * @module
 */
import { assertNever } from "@redwingpin/common";
import { advanceTime, StoreFault } from "@redwingpin/outside";
import fc from "fast-check";
import type { FuzzTarget } from "./fuzzTarget.js";
import { OrdersSite, weightsNames } from "./ordersSite.js";

const leaderCount = 2;
const engineCount = 5;
const maximumSteps = 25;
const recoveryMilliseconds = 120_000;

type Step =
    | { readonly kind: "restartLeader" | "pauseLeader" | "resumeLeader"; readonly leader: number; }
    | {
        readonly kind: "restartAgent" | "pauseAgent" | "resumeAgent" | "crashEngine";
        readonly engine: number;
    }
    | { readonly kind: "manifest"; readonly newReplicas: number; }
    | { readonly kind: "store"; readonly fault: StoreFault; }
    | { readonly kind: "duplicateOrders"; readonly isEnabled: boolean; }
    | { readonly kind: "advance"; readonly duration: number; };

const step: fc.Arbitrary<Step> = fc.oneof(
    {
        weight: 3,
        arbitrary: fc.record({
            kind: fc.constantFrom(
                "restartLeader" as const,
                "pauseLeader" as const,
                "pauseLeader" as const,
                "resumeLeader" as const,
            ),
            leader: fc.nat(leaderCount - 1),
        }),
    },
    {
        weight: 3,
        arbitrary: fc.record({
            kind: fc.constantFrom(
                "restartAgent" as const,
                "pauseAgent" as const,
                "resumeAgent" as const,
                "crashEngine" as const,
            ),
            engine: fc.nat(engineCount - 1),
        }),
    },
    {
        weight: 2,
        arbitrary: fc.record({ kind: fc.constant("manifest" as const), newReplicas: fc.nat(engineCount) }),
    },
    {
        weight: 1,
        arbitrary: fc.record({
            kind: fc.constant("store" as const),
            fault: fc.constantFrom(...Object.values(StoreFault)),
        }),
    },
    {
        weight: 1,
        arbitrary: fc.record({ kind: fc.constant("duplicateOrders" as const), isEnabled: fc.boolean() }),
    },
    {
        weight: 6,
        arbitrary: fc.record({
            kind: fc.constant("advance" as const),
            duration: fc.oneof(
                fc.integer({ min: 5, max: 100 }),
                fc.integer({ min: 100, max: 3_000 }),
                fc.constant(15_000),
            ),
        }),
    },
);

/** Fuzzes the orders against the checks of the engines. */
export const ordersTarget: FuzzTarget = {
    name: "orders",
    boundedRuns: 60,
    property: () =>
        fc.asyncProperty(fc.array(step, { minLength: 1, maxLength: maximumSteps }), async (steps) => {
            const site = new OrdersSite(leaderCount, engineCount);
            for (const next of steps) {
                await perform(site, next);
            }
            await repairAndSettle(site);
            if (site.violations.length > 0) {
                throw new Error(site.violations.join("\n"));
            }
            checkVersions(site);
        }),
};

async function perform(site: OrdersSite, next: Step): Promise<void> {
    switch (next.kind) {
        case "restartLeader":
            return site.restartLeader(next.leader);
        case "pauseLeader":
            return site.leaderProcess(next.leader).pause();
        case "resumeLeader":
            return site.leaderProcess(next.leader).resume();
        case "restartAgent":
            return site.restartAgent(next.engine);
        case "pauseAgent":
            return site.agentProcess(next.engine).pause();
        case "resumeAgent":
            return site.agentProcess(next.engine).resume();
        case "crashEngine":
            return site.crashEngine(next.engine);
        case "manifest":
            site.newReplicas = next.newReplicas;
            return;
        case "store":
            site.store.fault = next.fault;
            return;
        case "duplicateOrders":
            site.duplicatesOrders = next.isEnabled;
            return;
        case "advance":
            return await advanceTime(site.clock, next.duration);
        default:
            return assertNever(next);
    }
}

async function repairAndSettle(site: OrdersSite): Promise<void> {
    site.store.fault = StoreFault.None;
    for (let leader = 0; leader < leaderCount; leader++) {
        site.leaderProcess(leader).resume();
    }
    for (let engine = 0; engine < engineCount; engine++) {
        site.agentProcess(engine).resume();
    }
    await advanceTime(site.clock, recoveryMilliseconds);
}

function checkVersions(site: OrdersSite): void {
    const serving = weightsNames.map((name) =>
        site.engines.filter((engine) => engine.weights === name).length
    );
    const expected = [engineCount - site.newReplicas, site.newReplicas];
    if (JSON.stringify(serving) !== JSON.stringify(expected)) {
        throw new Error(
            `${serving.join(" and ")} engines serve the old and the new version, expected ${
                expected.join(" and ")
            }`,
        );
    }
}
