/**
 * Calls of the experiment: the same list for every policy, drawn from a seed. Prompts are real text at a hundredth
 * of their length, so that block names come from the product's own hashing.
 *
 * @module
 */
import { type Milliseconds, type RandomSource, seededRandom } from "@redwingpin/common";
import type { RoutePriority } from "@redwingpin/manifest";
import { charactersPerToken, prefixBlocks, type Prompt, ScopeKind } from "@redwingpin/placement";
import type { WeightsReference } from "@redwingpin/protocol";
import type { CallKind, Deployment } from "./deployments.js";

/** Tokens in one cached block of the engines. */
export const blockTokens = 2_000;

/** Tokens of the experiment that one token of prompt text stands for. */
const tokensPerTextToken = 100;

/** Exponent of the Zipf distribution of calls over an account's makers or shops. */
const groupSkew = 0.9;

/** One call. */
export interface Call {
    readonly id: string;
    readonly at: Milliseconds;
    readonly account: string;
    readonly priority: RoutePriority;
    readonly weights: WeightsReference;
    readonly blocks: readonly string[];
    readonly sharedBlocks: number;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly deadline: Milliseconds;
    /** Router that the platform's balancer gave the call to. */
    readonly router: number;
    /** True where the account is inside its rate. */
    readonly withinRate: boolean;
}

/** How a case changes the calls. */
export interface WorkloadOptions {
    readonly deployment: Deployment;
    readonly seed: number;
    readonly duration: Milliseconds;
    /** Version that a call needs, drawn by its maker; the first holds the larger part. */
    readonly versions: readonly string[];
    /** Account that sends several times its rate, and from when to when. */
    readonly flood?: {
        readonly account: string;
        readonly factor: number;
        readonly from: Milliseconds;
        readonly until: Milliseconds;
    };
    /** Part of all calls that go to one maker, another one after each period. */
    readonly hotPrefix?: { readonly part: number; readonly period: Milliseconds; };
}

/** Draws every call of a case, in order of time. */
export function drawCalls(options: WorkloadOptions): Call[] {
    const calls: Call[] = [];
    options.deployment.accounts.forEach((account, index) => {
        const random = seededRandom(options.seed * 1_000 + index);
        for (const [at, withinRate] of arrivalsOf(options, account.name, random)) {
            calls.push(
                drawCall(options, account.name, at, withinRate, random, `${account.name}-${calls.length}`),
            );
        }
    });
    return calls.sort((left, right) => left.at - right.at);
}

function* arrivalsOf(
    options: WorkloadOptions,
    account: string,
    random: RandomSource,
): Generator<[Milliseconds, boolean]> {
    const { deployment, flood } = options;
    const parts = deployment.accounts.reduce((sum, other) => sum + other.part, 0);
    const part = deployment.accounts.find((other) => other.name === account)!.part;
    const meanGap = 1_000 / (deployment.callsPerSecond * part / parts);
    let at = 0;
    while (true) {
        const floods = flood?.account === account && at >= flood.from && at < flood.until;
        at += -Math.log(1 - random.unit()) * (floods ? meanGap / flood.factor : meanGap);
        if (at >= options.duration) {
            return;
        }
        yield [at, !floods];
    }
}

function drawCall(
    options: WorkloadOptions,
    account: string,
    at: Milliseconds,
    withinRate: boolean,
    random: RandomSource,
    id: string,
): Call {
    const { deployment } = options;
    const kind = pickByPart(random, deployment.calls);
    const group = drawGroup(options, at, random);
    const version = options.versions[group % 5 < 3 ? 0 : options.versions.length - 1]!;
    const weights: WeightsReference = { model: deployment.model, version };
    const owner = kind.open ? "open" : account;
    const scope = { kind: kind.open ? ScopeKind.OpenRoute : ScopeKind.Account, name: owner, weights };
    const chain = prefixBlocks(
        scope,
        promptOf(deployment, kind, owner, group, id, random),
        blockTokens / tokensPerTextToken,
    );
    return {
        id,
        at,
        account,
        priority: kind.priority,
        weights,
        blocks: chain.blocks,
        sharedBlocks: chain.sharedBlocks,
        promptTokens: chain.promptTokens * tokensPerTextToken,
        outputTokens: between(random, kind.outputTokens),
        deadline: at + kind.deadline,
        router: random.integerBelow(deployment.routers),
        withinRate,
    };
}

function drawGroup(options: WorkloadOptions, at: Milliseconds, random: RandomSource): number {
    const { groups } = options.deployment;
    const { hotPrefix } = options;
    if (hotPrefix !== undefined && random.unit() < hotPrefix.part) {
        return groups - 1 - Math.floor(at / hotPrefix.period) % groups;
    }
    const weights = Array.from({ length: groups }, (_, rank) => (rank + 1) ** -groupSkew);
    let left = random.unit() * weights.reduce((sum, weight) => sum + weight, 0);
    return Math.max(0, weights.findIndex((weight) => (left -= weight) < 0));
}

function promptOf(
    deployment: Deployment,
    kind: CallKind,
    owner: string,
    group: number,
    id: string,
    random: RandomSource,
): Prompt {
    const ruleRandom = seededRandom(group);
    const catalogue = textOf(`catalogue of ${owner}`, deployment.catalogueTokens);
    const rules = textOf(`rules of ${owner} ${group}`, between(ruleRandom, deployment.ruleTokens));
    const query = textOf(`query ${id}`, between(random, kind.queryTokens));
    return kind.chat
        ? [{ role: "system", content: catalogue + rules }, { role: "user", content: query }]
        : catalogue + rules + query;
}

/** Text of a scaled length that differs from the first character on for each name. */
function textOf(name: string, tokens: number): string {
    const characters = Math.ceil(tokens / tokensPerTextToken * charactersPerToken);
    return [...name].reverse().join("").repeat(Math.ceil(characters / name.length)).slice(0, characters);
}

function between(random: RandomSource, [minimum, maximum]: readonly [number, number]): number {
    return minimum + random.integerBelow(maximum - minimum + 1);
}

function pickByPart<T extends { readonly part: number; }>(random: RandomSource, items: readonly T[]): T {
    let left = random.unit() * items.reduce((sum, item) => sum + item.part, 0);
    return items.find((item) => (left -= item.part) < 0) ?? items[0]!;
}
