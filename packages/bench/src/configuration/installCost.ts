/**
 * Measures what one process spends on one installation at a given number of accounts.
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

/** What was measured. */
export interface InstallMeasures {
    readonly accounts: number;
    readonly shards: number;
    /** Characters of all shards, which a process without a configuration fetches. */
    readonly snapshotCharacters: number;
    /** Milliseconds to apply a change of one key, check it and index the manifest anew; median. */
    readonly changeMilliseconds: number;
    /** Milliseconds to check and index a whole snapshot; median. */
    readonly snapshotMilliseconds: number;
}

const repeats = 15;
const keysPerAccount = 3;

/** Measures at one number of accounts. */
export function measureInstall(accounts: number): InstallMeasures {
    const before = manifestOf(accounts);
    const [first, ...rest] = before.accounts;
    const after: Manifest = { ...before, accounts: [{ ...first, keys: first.keys.slice(1) }, ...rest] };
    const changes = diffManifest(before, after);
    const sharded = ShardedManifest.from(before);
    return {
        accounts,
        shards: sharded.shards.length,
        snapshotCharacters: sharded.shards.reduce((sum, shard) => sum + shard.size, 0),
        changeMilliseconds: medianTime(() => index(sharded.apply(changes))),
        snapshotMilliseconds: medianTime(() => index(ShardedManifest.from(before, sharded.shards.length))),
    };
}

function index(sharded: ShardedManifest): void {
    const made = new ManifestIndex(sharded.toManifest());
    if (sharded.digest.length === 0 || made.manifest.accounts.length === 0) {
        throw new Error("the installed manifest is empty");
    }
}

function medianTime(work: () => void): number {
    const times = Array.from({ length: repeats }, () => {
        const start = performance.now();
        work();
        return performance.now() - start;
    });
    return quantilesOf(times).median;
}

function manifestOf(accounts: number): Manifest {
    const made = Array.from({ length: accounts }, (_, position): ClientAccount => ({
        name: `account-${position}`,
        tokensPerSecond: 1_000,
        burstTokens: 20_000,
        keys: Array.from({ length: keysPerAccount }, (_unused, key) => ({
            name: `key-${key}`,
            digest: `sha256:${sha256Hex(`${position} ${key}`)}`,
        })),
    }));
    return { models: [], pools: [], accounts: made, routes: [] };
}
