/**
 * Collects the shards of an outline until the configuration is whole.
 *
 * @module
 */
import { createShard, type ManifestItem, type ManifestShard, ShardedManifest } from "@redwingpin/manifest";
import type { ConfigurationOutline } from "@redwingpin/protocol";
import type { ReplicaConfiguration } from "./replicaEvents.js";

/** Shards that are asked for in one message; at their usual size this stays far below the largest frame. */
export const shardsPerAsk = 8;

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

    /** Shards that are here, by digest. */
    get known(): ReadonlyMap<string, ManifestShard> {
        return this.shards;
    }

    /** Digests to ask for next; empty once the configuration is whole. */
    missing(): string[] {
        const lacking = new Set(this.outline.shardDigests.filter((digest) => !this.shards.has(digest)));
        return [...lacking].slice(0, shardsPerAsk);
    }

    /** Takes in received items; those of no shard of the outline are dropped. */
    add(lists: readonly (readonly ManifestItem[])[]): void {
        const wanted = new Set(this.outline.shardDigests);
        for (const items of lists) {
            const shard = createShard(items);
            if (wanted.has(shard.digest)) {
                this.shards.set(shard.digest, shard);
            }
        }
    }

    /** The configuration, once nothing is missing. */
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
