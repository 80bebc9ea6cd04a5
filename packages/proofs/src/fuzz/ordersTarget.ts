/**
 * Fuzzes the orders: routers that lead are killed and frozen, agents and engines restart, the store fails and orders
 * arrive twice, while the manifest asks for other versions. The oracle is what the engines are told.
 *
 * @module
 */
import { assertNever } from "@redwingpin/common";
import { passTime, StoreFault } from "@redwingpin/outside";
import fc from "fast-check";
import type { FuzzTarget } from "./fuzzTarget.js";
import { OrdersSite, weightsNames } from "./ordersSite.js";

const leaderCount = 2;
const engineCount = 5;
const maximumSteps = 25;
const recoveryTime = 120_000;

type Step =
    | { readonly kind: "restartLeader" | "freezeLeader" | "thawLeader"; readonly leader: number; }
    | {
        readonly kind: "restartAgent" | "freezeAgent" | "thawAgent" | "crashEngine";
        readonly engine: number;
    }
    | { readonly kind: "manifest"; readonly newReplicas: number; }
    | { readonly kind: "store"; readonly fault: StoreFault; }
    | { readonly kind: "repeatOrders"; readonly repeats: boolean; }
    | { readonly kind: "pass"; readonly duration: number; };

const step: fc.Arbitrary<Step> = fc.oneof(
    {
        weight: 3,
        arbitrary: fc.record({
            kind: fc.constantFrom(
                "restartLeader" as const,
                "freezeLeader" as const,
                "freezeLeader" as const,
                "thawLeader" as const,
            ),
            leader: fc.nat(leaderCount - 1),
        }),
    },
    {
        weight: 3,
        arbitrary: fc.record({
            kind: fc.constantFrom(
                "restartAgent" as const,
                "freezeAgent" as const,
                "thawAgent" as const,
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
        arbitrary: fc.record({ kind: fc.constant("repeatOrders" as const), repeats: fc.boolean() }),
    },
    {
        weight: 6,
        arbitrary: fc.record({
            kind: fc.constant("pass" as const),
            duration: fc.oneof(
                fc.integer({ min: 5, max: 100 }),
                fc.integer({ min: 100, max: 3_000 }),
                fc.constant(15_000),
            ),
        }),
    },
);

/** The orders against what the engines are told. */
export const ordersTarget: FuzzTarget = {
    name: "orders",
    boundedRuns: 60,
    property: () =>
        fc.asyncProperty(fc.array(step, { minLength: 1, maxLength: maximumSteps }), async (steps) => {
            const site = new OrdersSite(leaderCount, engineCount);
            for (const one of steps) {
                await perform(site, one);
            }
            await recover(site);
            if (site.faults.length > 0) {
                throw new Error(site.faults.join("\n"));
            }
            checkVersions(site);
        }),
};

async function perform(site: OrdersSite, one: Step): Promise<void> {
    switch (one.kind) {
        case "restartLeader":
            return site.restartLeader(one.leader);
        case "freezeLeader":
            return site.leaderProcess(one.leader).freeze();
        case "thawLeader":
            return site.leaderProcess(one.leader).thaw();
        case "restartAgent":
            return site.restartAgent(one.engine);
        case "freezeAgent":
            return site.agentProcess(one.engine).freeze();
        case "thawAgent":
            return site.agentProcess(one.engine).thaw();
        case "crashEngine":
            return site.crashEngine(one.engine);
        case "manifest":
            site.newReplicas = one.newReplicas;
            return;
        case "store":
            site.store.fault = one.fault;
            return;
        case "repeatOrders":
            site.repeatsOrders = one.repeats;
            return;
        case "pass":
            return await passTime(site.clock, one.duration);
        default:
            return assertNever(one);
    }
}

async function recover(site: OrdersSite): Promise<void> {
    site.store.fault = StoreFault.None;
    for (let leader = 0; leader < leaderCount; leader++) {
        site.leaderProcess(leader).thaw();
    }
    for (let engine = 0; engine < engineCount; engine++) {
        site.agentProcess(engine).thaw();
    }
    await passTime(site.clock, recoveryTime);
}

function checkVersions(site: OrdersSite): void {
    const serving = weightsNames.map((name) =>
        site.engines.filter((engine) => engine.weights === name).length
    );
    const wanted = [engineCount - site.newReplicas, site.newReplicas];
    if (JSON.stringify(serving) !== JSON.stringify(wanted)) {
        throw new Error(
            `versions are served by ${serving.join(" and ")} engines instead of ${wanted.join(" and ")}`,
        );
    }
}
