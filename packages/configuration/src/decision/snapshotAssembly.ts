/**
 * Collects the shards of an outline until the configuration is complete.
 *
 * @module
 */
import { createShard, type ManifestItem, type ManifestShard, ShardedManifest } from "@redwingpin/manifest";
import type { ConfigurationOutline } from "@redwingpin/protocol";
import type { ReplicaConfiguration } from "./replicaEvents.js";

/** Number of shards requested in one message; at their usual size the answer stays far below the maximum frame size. */
export const shardsPerRequest = 8;

/** Shards of one outline, some of which may still be missing. */
export class SnapshotAssembly {
    private readonly shards = new Map<string, ManifestShard>();

    constructor(readonly outline: ConfigurationOutline, known: ReadonlyMap<string, ManifestShard>) {
        const wanted = new Set(outline.shardDigests);
        for (const [digest, shard] of known) {
            if (wanted.has(digest)) {
                this.shards.set(digest, shard);
            }
        }
    }

    /** Shards that are already present, by digest. */
    get known(): ReadonlyMap<string, ManifestShard> {
        return this.shards;
    }

    /** Digests to request next; empty once the configuration is complete. */
    nextMissing(): string[] {
        const missing = new Set(this.outline.shardDigests.filter((digest) => !this.shards.has(digest)));
        return [...missing].slice(0, shardsPerRequest);
    }

    /** Adds received shards, given as lists of items; drops those that the outline does not contain. */
    add(lists: readonly (readonly ManifestItem[])[]): void {
        const wanted = new Set(this.outline.shardDigests);
        for (const items of lists) {
            const shard = createShard(items);
            if (wanted.has(shard.digest)) {
                this.shards.set(shard.digest, shard);
            }
        }
    }

    /** Assembles the configuration; no shard may be missing. */
    assemble(): ReplicaConfiguration {
        const { revision, shardDigests } = this.outline;
        const shards = shardDigests.map((digest) => this.shards.get(digest)!);
        return { revision, manifest: new ShardedManifest(shards) };
    }
}

/** Shards of a manifest by digest. */
export function shardsByDigest(manifest: ShardedManifest | undefined): ReadonlyMap<string, ManifestShard> {
    return new Map(manifest?.shards.map((shard) => [shard.digest, shard]));
}
