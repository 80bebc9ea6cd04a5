/**
 * Fuzzes the configuration: operators submit concurrently while the store fails and loses answers, the network is
 * partitioned and loses messages, and processes restart and are paused. The oracle is the order in which the store
 * accepted the submissions.
 *
 * @module
 */
import { assertNever } from "@redwingpin/common";
import { StoreFault } from "@redwingpin/outside";
import fc from "fast-check";
import { agentNames, ConfigurationSite, routerNames, type SubmissionOptions } from "./configurationSite.js";
import type { FuzzTarget } from "./fuzzTarget.js";

const maximumSteps = 25;
const maximumAdvanceMilliseconds = 1_500;
const maximumPauseMilliseconds = 2_000;
const maximumSubmissions = 4;

type Step =
    | { readonly kind: "submit"; readonly name: number; readonly options: SubmissionOptions; }
    | {
        readonly kind: "checkPartitionedRouter";
        readonly router: string;
        readonly name: number;
        readonly options: SubmissionOptions;
    }
    | { readonly kind: "store"; readonly fault: StoreFault; }
    | { readonly kind: "partition"; readonly one: string; readonly other: string; }
    | { readonly kind: "partitionFromStore" | "restart" | "checkStart"; readonly router: string; }
    | { readonly kind: "pause"; readonly node: string; }
    | { readonly kind: "loseMessages" | "heal" | "restartAll" | "checkConvergence"; }
    | { readonly kind: "advance"; readonly duration: number; };

const router = fc.constantFrom(...routerNames);
const node = fc.constantFrom(...routerNames, ...agentNames);

const options = fc.record({
    hasKey: fc.boolean(),
    isLarge: fc.constantFrom(false, false, true),
    pause: fc.constantFrom(0, 0, 5, maximumPauseMilliseconds),
});

const step: fc.Arbitrary<Step> = fc.oneof(
    {
        weight: 5,
        arbitrary: fc.record({
            kind: fc.constant("submit" as const),
            name: fc.nat(maximumSubmissions),
            options,
        }),
    },
    {
        weight: 2,
        arbitrary: fc.record({
            kind: fc.constant("store" as const),
            fault: fc.constantFrom(...Object.values(StoreFault)),
        }),
    },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("partition" as const), one: node, other: node }) },
    {
        weight: 3,
        arbitrary: fc.record({
            kind: fc.constantFrom("partitionFromStore" as const, "restart" as const, "checkStart" as const),
            router,
        }),
    },
    {
        weight: 1,
        arbitrary: fc.record({
            kind: fc.constant("checkPartitionedRouter" as const),
            router,
            name: fc.nat(maximumSubmissions),
            options,
        }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("pause" as const), node }) },
    {
        weight: 3,
        arbitrary: fc.record({
            kind: fc.constantFrom(
                "loseMessages" as const,
                "heal" as const,
                "restartAll" as const,
                "checkConvergence" as const,
            ),
        }),
    },
    {
        weight: 6,
        arbitrary: fc.record({
            kind: fc.constant("advance" as const),
            duration: fc.integer({ min: 1, max: maximumAdvanceMilliseconds }),
        }),
    },
);

/** An identifier that is submitted twice models an operator who retries after an unknown outcome. */
function identifierOf(next: { readonly name: number; readonly options: SubmissionOptions; }): string {
    return `submission-${next.name}-${next.options.hasKey}-${next.options.isLarge}`;
}

function perform(site: ConfigurationSite, next: Step): void {
    const { network } = site;
    switch (next.kind) {
        case "submit":
            return site.submit(identifierOf(next), next.options);
        case "checkPartitionedRouter":
            return site.checkPartitionedRouter(next.router, identifierOf(next), next.options);
        case "store":
            network.store.fault = next.fault;
            return;
        case "partition":
            return network.partition(next.one, next.other);
        case "partitionFromStore":
            return network.partitionFromStore(next.router);
        case "restart":
            return network.restart(next.router);
        case "checkStart":
            return site.checkStart(next.router);
        case "pause":
            return network.pause(next.node);
        case "loseMessages":
            network.isLossy = true;
            return;
        case "heal":
            return network.heal();
        case "restartAll":
            return routerNames.forEach((name) => network.restart(name));
        case "checkConvergence":
            return site.checkConvergence();
        case "advance":
            return network.advance(next.duration);
        default:
            return assertNever(next);
    }
}

/** Fuzzes the submission, distribution and installation of configurations. */
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
