/**
 * Weights of the accounts where they share scarce capacity: in proportion to their rates, which state what they are entitled
 * to.
 *
 * @module
 */
import type { DirectAccount } from "@redwingpin/fleet";

/** Bounds of a weight, so that one account can't take nearly everything. */
const minWeight = 1 / 4;
const maxWeight = 4;

/** Weight of accounts without a limit and of callers without a key. */
const defaultWeight = 1;

/** Weights by account; 1 for an account with the mean rate of those that count in the same unit. */
export function accountWeights(accounts: readonly DirectAccount[]): ReadonlyMap<string, number> {
    const weights = new Map<string, number>();
    for (const countsRequests of [false, true]) {
        const limited = accounts.filter((account) =>
            account.countsRequests === countsRequests && account.tokensPerSecond > 0
        );
        const mean = limited.reduce((sum, { tokensPerSecond }) => sum + tokensPerSecond, 0) / limited.length;
        limited.forEach(({ name, tokensPerSecond }) =>
            weights.set(name, Math.min(maxWeight, Math.max(minWeight, tokensPerSecond / mean)))
        );
    }
    return weights;
}

/** The weight of one account. */
export function weightOf(weights: ReadonlyMap<string, number>, account: string | undefined): number {
    return account === undefined ? defaultWeight : weights.get(account) ?? defaultWeight;
}
