/**
 * Fuzzes the configuration: operators race while the store fails and loses answers, the network is cut and lossy, and
 * processes restart and freeze. The oracle is the order in which the store itself accepted submissions.
 *
 * @module
 */
import { assertNever } from "@redwingpin/common";
import { StoreFault } from "@redwingpin/outside";
import fc from "fast-check";
import { agentNames, ConfigurationSite, routerNames, type SubmissionOrder } from "./configurationSite.js";
import type { FuzzTarget } from "./fuzzTarget.js";

const maximumSteps = 25;
const maximumPass = 1_500;
const maximumPause = 2_000;
const maximumSubmissions = 4;

type Step =
    | { readonly kind: "submit"; readonly name: number; readonly order: SubmissionOrder; }
    | {
        readonly kind: "checkCutRouter";
        readonly router: string;
        readonly name: number;
        readonly order: SubmissionOrder;
    }
    | { readonly kind: "store"; readonly fault: StoreFault; }
    | { readonly kind: "cut"; readonly one: string; readonly other: string; }
    | { readonly kind: "cutFromStore" | "restart" | "checkStart"; readonly router: string; }
    | { readonly kind: "freeze"; readonly node: string; }
    | { readonly kind: "lose" | "heal" | "restartAll" | "checkSpread"; }
    | { readonly kind: "pass"; readonly duration: number; };

const router = fc.constantFrom(...routerNames);
const node = fc.constantFrom(...routerNames, ...agentNames);

const order = fc.record({
    hasKey: fc.boolean(),
    isLarge: fc.constantFrom(false, false, true),
    pause: fc.constantFrom(0, 0, 5, maximumPause),
});

const step: fc.Arbitrary<Step> = fc.oneof(
    {
        weight: 5,
        arbitrary: fc.record({
            kind: fc.constant("submit" as const),
            name: fc.nat(maximumSubmissions),
            order,
        }),
    },
    {
        weight: 2,
        arbitrary: fc.record({
            kind: fc.constant("store" as const),
            fault: fc.constantFrom(...Object.values(StoreFault)),
        }),
    },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("cut" as const), one: node, other: node }) },
    {
        weight: 3,
        arbitrary: fc.record({
            kind: fc.constantFrom("cutFromStore" as const, "restart" as const, "checkStart" as const),
            router,
        }),
    },
    {
        weight: 1,
        arbitrary: fc.record({
            kind: fc.constant("checkCutRouter" as const),
            router,
            name: fc.nat(maximumSubmissions),
            order,
        }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("freeze" as const), node }) },
    {
        weight: 3,
        arbitrary: fc.record({
            kind: fc.constantFrom(
                "lose" as const,
                "heal" as const,
                "restartAll" as const,
                "checkSpread" as const,
            ),
        }),
    },
    {
        weight: 6,
        arbitrary: fc.record({
            kind: fc.constant("pass" as const),
            duration: fc.integer({ min: 1, max: maximumPass }),
        }),
    },
);

/** The same identifier given twice stands for an operator who settles an unknown outcome. */
function identifierOf(next: { readonly name: number; readonly order: SubmissionOrder; }): string {
    return `submission-${next.name}-${next.order.hasKey}-${next.order.isLarge}`;
}

function perform(site: ConfigurationSite, next: Step): void {
    const { network } = site;
    switch (next.kind) {
        case "submit":
            return site.submit(identifierOf(next), next.order);
        case "checkCutRouter":
            return site.checkCutRouter(next.router, identifierOf(next), next.order);
        case "store":
            network.store.fault = next.fault;
            return;
        case "cut":
            return network.cut(next.one, next.other);
        case "cutFromStore":
            return network.cutFromStore(next.router);
        case "restart":
            return network.restart(next.router);
        case "checkStart":
            return site.checkStart(next.router);
        case "freeze":
            return network.freeze(next.node);
        case "lose":
            network.isLossy = true;
            return;
        case "heal":
            return network.heal();
        case "restartAll":
            return routerNames.forEach((name) => network.restart(name));
        case "checkSpread":
            return site.checkSpread();
        case "pass":
            return network.pass(next.duration);
        default:
            return assertNever(next);
    }
}

/** The fuzz of submission, spread and installation. */
export const configurationTarget: FuzzTarget = {
    name: "configuration",
    boundedRuns: 40,
    property: () =>
        fc.property(
            fc.integer({ min: 0, max: 1_000_000 }),
            fc.array(step, { maxLength: maximumSteps }),
            (seed, steps) => {
                const site = new ConfigurationSite(seed);
                for (const next of steps) {
                    perform(site, next);
                }
                const violations = site.finish();
                if (violations.length > 0) {
                    throw new Error(violations.join("\n"));
                }
            },
        ),
};
