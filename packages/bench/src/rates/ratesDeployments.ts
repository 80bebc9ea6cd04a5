/**
 * Deployments of the rates experiment, and the policies that it compares.
 *
 * @module
 */
import type { ClientAccount } from "@redwingpin/manifest";

/** A fleet of routers with its accounts. */
export interface RatesDeployment {
    readonly name: string;
    readonly routers: number;
    readonly accounts: readonly ClientAccount[];
    /** Time from the admission of a request to its settlement. */
    readonly requestMilliseconds: number;
}

/** How an account's tokens are divided between routers. */
export enum RatesPolicy {
    /** The product: several routers hold slots and ask each other for tokens. */
    Shared = "shared",
    /** Baseline: every router has an equal share and asks no other router. */
    EqualStatic = "equalStatic",
    /** Baseline: one router holds all tokens of an account, and the others ask it. */
    OneHolder = "oneHolder",
}

const burstSeconds = 6;
const todayRates = [20_000, 12_000, 6_000, 3_000, 3_000];

function createAccount(name: string, tokensPerSecond: number): ClientAccount {
    return { name, tokensPerSecond, burstTokens: burstSeconds * tokensPerSecond, keys: [] };
}

/** The current size: three routers and five accounts, a few of them large. */
export const todayDeployment: RatesDeployment = {
    name: "today",
    routers: 3,
    accounts: todayRates.map((rate, index) => createAccount(`account-${index}`, rate)),
    requestMilliseconds: 2_000,
};

const scaledAccounts = 200;
const largestScaledRate = 120_000;
const smallestScaledRate = 4_000;

/** A part of the size that the product is designed for. Rates fall with the rank of the account. */
export const scaledDeployment: RatesDeployment = {
    name: "scaled",
    routers: 30,
    accounts: Array.from(
        { length: scaledAccounts },
        (_, rank) =>
            createAccount(
                `account-${rank}`,
                Math.max(smallestScaledRate, Math.floor(largestScaledRate / (rank + 1))),
            ),
    ),
    requestMilliseconds: 300,
};

/** Number of slots per account under a policy; `undefined` for the product's default. */
export function slotCountFor(policy: RatesPolicy, routers: number): number | undefined {
    switch (policy) {
        case RatesPolicy.Shared:
            return undefined;
        case RatesPolicy.EqualStatic:
            return routers;
        case RatesPolicy.OneHolder:
            return 1;
    }
}
