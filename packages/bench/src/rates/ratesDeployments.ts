/**
 * Fleets and accounts of the rates experiment, and the policies that it compares.
 *
 * @module
 */
import type { ClientAccount } from "@redwingpin/manifest";

/** A fleet of routers with its accounts. */
export interface RatesDeployment {
    readonly name: string;
    readonly routers: number;
    readonly accounts: readonly ClientAccount[];
    /** Time for which an admitted request runs until it settles, in milliseconds. */
    readonly requestMilliseconds: number;
}

/** How tokens are shared between routers. */
export enum RatesPolicy {
    /** The product: slots at several holders, which lend each other tokens. */
    Shared = "shared",
    /** Baseline: every router has an equal part and asks nobody. */
    EqualStatic = "equalStatic",
    /** Baseline: one holder for each account, which all others ask. */
    OneHolder = "oneHolder",
}

const burstSeconds = 6;
const todayRates = [20_000, 12_000, 6_000, 3_000, 3_000];

function accountOf(name: string, tokensPerSecond: number): ClientAccount {
    return { name, tokensPerSecond, burstTokens: burstSeconds * tokensPerSecond, keys: [] };
}

/** Today's size: three routers and five accounts, a few of them large. */
export const todayDeployment: RatesDeployment = {
    name: "today",
    routers: 3,
    accounts: todayRates.map((rate, index) => accountOf(`account-${index}`, rate)),
    requestMilliseconds: 2_000,
};

const scaledAccounts = 200;
const largestScaledRate = 120_000;
const smallestScaledRate = 4_000;

/** A part of the size to design for: rates fall with the rank of the account. */
export const scaledDeployment: RatesDeployment = {
    name: "scaled",
    routers: 30,
    accounts: Array.from(
        { length: scaledAccounts },
        (_, rank) =>
            accountOf(
                `account-${rank}`,
                Math.max(smallestScaledRate, Math.floor(largestScaledRate / (rank + 1))),
            ),
    ),
    requestMilliseconds: 300,
};

/** Slots of an account under a policy; `undefined` for the product's own number. */
export function slotsOf(policy: RatesPolicy, routers: number): number | undefined {
    switch (policy) {
        case RatesPolicy.Shared:
            return undefined;
        case RatesPolicy.EqualStatic:
            return routers;
        case RatesPolicy.OneHolder:
            return 1;
    }
}
