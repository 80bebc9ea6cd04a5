/**
 * A manifest split into shards by the hash of each item's identity. A change affects one shard, so only the digest and
 * the store record of this shard are rewritten.
 *
 * @module
 */
import { digestOf, sha256Hex } from "@redwingpin/common";
import type { Manifest } from "./manifest.js";
import {
    canonicalJson,
    changedKey,
    changeItem,
    itemKey,
    itemsOf,
    type ManifestChange,
    type ManifestItem,
    manifestOf,
} from "./manifestChanges.js";

/** Target for the average size of a shard, far below the store's limit of one megabyte. */
export const targetShardBytes = 32 * 1024;

/** Largest number of shards. */
export const maximumShardCount = 512;

const shardHashDigits = 8;
const manifestDigestDigits = 32;
const hexRadix = 16;

/** Items of one shard, sorted by identity. */
export interface ManifestShard {
    /** SHA-256 of the canonical JSON of the items, 64 hex digits. */
    readonly digest: string;
    readonly items: readonly ManifestItem[];
    /** Length of the canonical JSON in characters. */
    readonly size: number;
}

/** Returns the number of shards, a power of two, for a manifest whose canonical JSON has `bytes` bytes. */
export function shardCountFor(bytes: number): number {
    let count = 1;
    while (count * targetShardBytes < bytes && count < maximumShardCount) {
        count *= 2;
    }
    return count;
}

/** Returns the index of the shard that holds the item with this identity. */
export function shardOf(key: string, count: number): number {
    return parseInt(sha256Hex(key).slice(0, shardHashDigits), hexRadix) % count;
}

export function createShard(items: readonly ManifestItem[]): ManifestShard {
    const sorted = [...items].sort((left, right) => entryKey(left) < entryKey(right) ? -1 : 1);
    const text = canonicalJson(sorted);
    return { items: sorted, digest: sha256Hex(text), size: text.length };
}

function entryKey(entry: ManifestItem): string {
    return itemKey(entry.section, entry.item.name);
}

/** An immutable manifest in shards. */
export class ShardedManifest {
    constructor(readonly shards: readonly ManifestShard[]) {}

    /** Splits a manifest into `count` shards, by default a number that depends on its size. */
    static from(manifest: Manifest, count = shardCountFor(canonicalJson(manifest).length)): ShardedManifest {
        const lists = Array.from({ length: count }, (): ManifestItem[] => []);
        for (const entry of itemsOf(manifest)) {
            lists[shardOf(entryKey(entry), count)].push(entry);
        }
        return new ShardedManifest(lists.map(createShard));
    }

    /** Digests of the shards, in order. */
    get digests(): string[] {
        return this.shards.map((shard) => shard.digest);
    }

    /** Digest of the whole manifest. It has only 32 hex digits, since it is sent with every change. */
    get digest(): string {
        return digestOf(...this.digests).slice(0, manifestDigestDigits);
    }

    /** Applies changes in order. Shards that they do not affect are reused. */
    apply(changes: readonly ManifestChange[]): ShardedManifest {
        const changedItems = new Map<number, Map<string, ManifestItem>>();
        for (const change of changes) {
            const key = changedKey(change);
            const index = shardOf(key, this.shards.length);
            const items = changedItems.get(index) ?? this.itemsByKey(index);
            changedItems.set(index, items);
            const item = changeItem(items.get(key), change);
            if (item === undefined) {
                items.delete(key);
            }
            else {
                items.set(key, item);
            }
        }
        return new ShardedManifest(this.shards.map((shard, index) => {
            const items = changedItems.get(index);
            return items === undefined ? shard : createShard([...items.values()]);
        }));
    }

    /** Returns the manifest, with each list sorted by name. */
    toManifest(): Manifest {
        return manifestOf(this.shards.flatMap((shard) => shard.items));
    }

    private itemsByKey(index: number): Map<string, ManifestItem> {
        return new Map(this.shards[index].items.map((entry) => [entryKey(entry), entry]));
    }
}
