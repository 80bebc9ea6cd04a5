import { sha256Hex } from "@redwingpin/common";
import type { ClientAccount, Manifest } from "@redwingpin/manifest";

/** An account with one key for each of `keys`. */
export function accountFixture(
    name: string,
    keys: readonly string[] = ["first"],
    rate = 1000,
): ClientAccount {
    return {
        name,
        tokensPerSecond: rate,
        burstTokens: 20_000,
        keys: keys.map((key) => ({ name: key, digest: `sha256:${sha256Hex(`${name} ${key}`)}` })),
    };
}

/** A manifest that contains only accounts. */
export function accountsFixture(...accounts: readonly ClientAccount[]): Manifest {
    return { models: [], pools: [], accounts, routes: [] };
}

/** A manifest of many accounts; by default it is larger than one megabyte. */
export function largeManifestFixture(accounts = 4200): Manifest {
    const names = Array.from({ length: accounts }, (_, index) => `account-${index}`);
    return accountsFixture(...names.map((name) => accountFixture(name, ["first", "second", "third"])));
}
