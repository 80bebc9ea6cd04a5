/**
 * Generates the calls of the experiment from a seed; every policy receives the same list. Prompts are text of a
 * hundredth of the simulated length, so that the product's own code hashes them into blocks.
 *
 * @module
 */
import { type Milliseconds, type RandomSource, seededRandom } from "@redwingpin/common";
import type { RoutePriority } from "@redwingpin/manifest";
import { charactersPerToken, prefixBlocks, type Prompt, ScopeKind } from "@redwingpin/placement";
import type { WeightsReference } from "@redwingpin/protocol";
import type { CallKind, Deployment } from "./deployments.js";

/** Tokens of one cache block. */
export const blockTokens = 2_000;

/** Simulated tokens that one token of the generated prompt text represents. */
const simulatedTokensPerTextToken = 100;

/** Exponent of the Zipf distribution of an account's calls over its groups. */
const groupZipfExponent = 0.9;

/** A call of a client application. */
export interface Call {
    readonly id: string;
    readonly arrivesAt: Milliseconds;
    readonly account: string;
    readonly priority: RoutePriority;
    readonly weights: WeightsReference;
    readonly blocks: readonly string[];
    readonly sharedBlocks: number;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly deadline: Milliseconds;
    /** Index of the router that the platform's load balancer selected. */
    readonly router: number;
    /** True if the account did not exceed its rate when it made the call. */
    readonly isWithinRate: boolean;
}

/** Options of {@link generateCalls}. */
export interface WorkloadOptions {
    readonly deployment: Deployment;
    readonly seed: number;
    readonly duration: Milliseconds;
    /** Versions of the weights that calls require. Of every five groups, three use the first and two the last. */
    readonly versions: readonly string[];
    /** Account that sends `factor` times its rate, between two times. */
    readonly flood?: {
        readonly account: string;
        readonly factor: number;
        readonly from: Milliseconds;
        readonly until: Milliseconds;
    };
    /** Share of all calls that go to one group; the group changes after each period. */
    readonly hotPrefix?: { readonly share: number; readonly period: Milliseconds; };
}

/** Generates every call of a case, in order of arrival. */
export function generateCalls(options: WorkloadOptions): Call[] {
    const calls: Call[] = [];
    options.deployment.accounts.forEach((account, index) => {
        const random = seededRandom(options.seed * 1_000 + index);
        for (const [arrivesAt, isWithinRate] of generateArrivals(options, account.name, random)) {
            calls.push(
                generateCall(
                    options,
                    account.name,
                    arrivesAt,
                    isWithinRate,
                    random,
                    `${account.name}-${calls.length}`,
                ),
            );
        }
    });
    return calls.sort((left, right) => left.arrivesAt - right.arrivesAt);
}

function* generateArrivals(
    options: WorkloadOptions,
    account: string,
    random: RandomSource,
): Generator<[Milliseconds, boolean]> {
    const { deployment, flood } = options;
    const totalRate = deployment.accounts.reduce((sum, other) => sum + other.relativeRate, 0);
    const rate = deployment.accounts.find((other) => other.name === account)!.relativeRate;
    const meanGap = 1_000 / (deployment.callsPerSecond * rate / totalRate);
    let at = 0;
    while (true) {
        const isFlooding = flood?.account === account && at >= flood.from && at < flood.until;
        at += -Math.log(1 - random.unit()) * (isFlooding ? meanGap / flood.factor : meanGap);
        if (at >= options.duration) {
            return;
        }
        yield [at, !isFlooding];
    }
}

function generateCall(
    options: WorkloadOptions,
    account: string,
    arrivesAt: Milliseconds,
    isWithinRate: boolean,
    random: RandomSource,
    id: string,
): Call {
    const { deployment } = options;
    const kind = pickByFrequency(random, deployment.callKinds);
    const group = pickGroup(options, arrivesAt, random);
    const version = options.versions[group % 5 < 3 ? 0 : options.versions.length - 1]!;
    const weights: WeightsReference = { model: deployment.model, version };
    const scopeName = kind.isOpenRoute ? "open" : account;
    const scope = {
        kind: kind.isOpenRoute ? ScopeKind.OpenRoute : ScopeKind.Account,
        name: scopeName,
        weights,
    };
    const chain = prefixBlocks(
        scope,
        buildPrompt(deployment, kind, scopeName, group, id, random),
        blockTokens / simulatedTokensPerTextToken,
    );
    return {
        id,
        arrivesAt,
        account,
        priority: kind.priority,
        weights,
        blocks: chain.blocks,
        sharedBlocks: chain.sharedBlocks,
        promptTokens: chain.promptTokens * simulatedTokensPerTextToken,
        outputTokens: integerBetween(random, kind.outputTokens),
        deadline: arrivesAt + kind.deadline,
        router: random.integerBelow(deployment.routers),
        isWithinRate,
    };
}

function pickGroup(options: WorkloadOptions, arrivesAt: Milliseconds, random: RandomSource): number {
    const { groups } = options.deployment;
    const { hotPrefix } = options;
    if (hotPrefix !== undefined && random.unit() < hotPrefix.share) {
        return groups - 1 - Math.floor(arrivesAt / hotPrefix.period) % groups;
    }
    const weights = Array.from({ length: groups }, (_, rank) => (rank + 1) ** -groupZipfExponent);
    let remaining = random.unit() * weights.reduce((sum, weight) => sum + weight, 0);
    return Math.max(0, weights.findIndex((weight) => (remaining -= weight) < 0));
}

function buildPrompt(
    deployment: Deployment,
    kind: CallKind,
    scopeName: string,
    group: number,
    id: string,
    random: RandomSource,
): Prompt {
    const ruleRandom = seededRandom(group);
    const catalogue = generateText(`catalogue of ${scopeName}`, deployment.catalogueTokens);
    const rules = generateText(
        `rules of ${scopeName} ${group}`,
        integerBetween(ruleRandom, deployment.ruleTokens),
    );
    const query = generateText(`query ${id}`, integerBetween(random, kind.queryTokens));
    return kind.isChat
        ? [{ role: "system", content: catalogue + rules }, { role: "user", content: query }]
        : catalogue + rules + query;
}

/** Generates text of the scaled length. It repeats the reversed name, so that texts differ near their start. */
function generateText(name: string, tokens: number): string {
    const characters = Math.ceil(tokens / simulatedTokensPerTextToken * charactersPerToken);
    return [...name].reverse().join("").repeat(Math.ceil(characters / name.length)).slice(0, characters);
}

function integerBetween(random: RandomSource, [minimum, maximum]: readonly [number, number]): number {
    return minimum + random.integerBelow(maximum - minimum + 1);
}

function pickByFrequency<T extends { readonly relativeFrequency: number; }>(
    random: RandomSource,
    items: readonly T[],
): T {
    let remaining = random.unit() * items.reduce((sum, item) => sum + item.relativeFrequency, 0);
    return items.find((item) => (remaining -= item.relativeFrequency) < 0) ?? items[0]!;
}
