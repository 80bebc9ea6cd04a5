/**
 * Measures the time that one process needs to install a configuration, by number of accounts.
 *
 * @module
 */
import { sha256Hex } from "@redwingpin/common";
import {
    type ClientAccount,
    diffManifest,
    type Manifest,
    ManifestIndex,
    ShardedManifest,
} from "@redwingpin/manifest";
import { quantilesOf } from "../quantiles.js";

/** Results for one number of accounts. */
export interface InstallMeasures {
    readonly accounts: number;
    readonly shards: number;
    /** Characters of all shards; a process without a configuration fetches them all. */
    readonly snapshotCharacters: number;
    /** Median time to apply a change of one key, check it and rebuild the index. */
    readonly changeMilliseconds: number;
    /** Median time to check and index a complete snapshot. */
    readonly snapshotMilliseconds: number;
}

const repetitions = 15;
const keysPerAccount = 3;

/** Measures installations with one number of accounts. */
export function measureInstall(accounts: number): InstallMeasures {
    const before = createManifest(accounts);
    const [first, ...rest] = before.accounts;
    const after: Manifest = { ...before, accounts: [{ ...first, keys: first.keys.slice(1) }, ...rest] };
    const changes = diffManifest(before, after);
    const sharded = ShardedManifest.from(before);
    return {
        accounts,
        shards: sharded.shards.length,
        snapshotCharacters: sharded.shards.reduce((sum, shard) => sum + shard.size, 0),
        changeMilliseconds: medianTime(() => buildIndex(sharded.apply(changes))),
        snapshotMilliseconds: medianTime(() =>
            buildIndex(ShardedManifest.from(before, sharded.shards.length))
        ),
    };
}

function buildIndex(sharded: ShardedManifest): void {
    const manifestIndex = new ManifestIndex(sharded.toManifest());
    if (sharded.digest.length === 0 || manifestIndex.manifest.accounts.length === 0) {
        throw new Error("the installed manifest is empty");
    }
}

function medianTime(action: () => void): number {
    const times = Array.from({ length: repetitions }, () => {
        const start = performance.now();
        action();
        return performance.now() - start;
    });
    return quantilesOf(times).median;
}

function createManifest(accounts: number): Manifest {
    const clientAccounts = Array.from({ length: accounts }, (_, position): ClientAccount => ({
        name: `account-${position}`,
        tokensPerSecond: 1_000,
        burstTokens: 20_000,
        keys: Array.from({ length: keysPerAccount }, (_unused, key) => ({
            name: `key-${key}`,
            digest: `sha256:${sha256Hex(`${position} ${key}`)}`,
        })),
    }));
    return { models: [], pools: [], accounts: clientAccounts, routes: [] };
}
