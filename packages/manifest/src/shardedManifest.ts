/**
 * A manifest split into shards by the hash of each item's name. A change touches one shard, so its digest and its
 * record in the store are all that is made anew.
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

/** Size of a shard that the number of shards aims at, far below the store's limit of one megabyte. */
export const targetShardBytes = 32 * 1024;

/** Largest number of shards. */
export const maximumShardCount = 512;

const hashDigits = 8;
const manifestDigestDigits = 32;
const hexadecimal = 16;

/** Items of one shard, sorted by identity, with the digest of their canonical JSON. */
export interface ManifestShard {
    readonly digest: string;
    readonly items: readonly ManifestItem[];
    /** Characters of the canonical JSON. */
    readonly size: number;
}

/** Number of shards for a manifest whose canonical JSON has this many bytes: a power of two. */
export function shardCountFor(bytes: number): number {
    let count = 1;
    while (count * targetShardBytes < bytes && count < maximumShardCount) {
        count *= 2;
    }
    return count;
}

/** Shard of an item by its identity. */
export function shardOf(key: string, count: number): number {
    return parseInt(sha256Hex(key).slice(0, hashDigits), hexadecimal) % count;
}

/** Makes a shard of the items. */
export function createShard(items: readonly ManifestItem[]): ManifestShard {
    const sorted = [...items].sort((left, right) => keyOf(left) < keyOf(right) ? -1 : 1);
    const text = canonicalJson(sorted);
    return { items: sorted, digest: sha256Hex(text), size: text.length };
}

function keyOf(entry: ManifestItem): string {
    return itemKey(entry.section, entry.item.name);
}

/** A manifest in shards; never changes after it is made. */
export class ShardedManifest {
    constructor(readonly shards: readonly ManifestShard[]) {}

    /** Splits a manifest. Without `count`, the number of shards follows from its size. */
    static from(manifest: Manifest, count = shardCountFor(canonicalJson(manifest).length)): ShardedManifest {
        const lists = Array.from({ length: count }, (): ManifestItem[] => []);
        for (const entry of itemsOf(manifest)) {
            lists[shardOf(keyOf(entry), count)].push(entry);
        }
        return new ShardedManifest(lists.map(createShard));
    }

    /** Digests of the shards, in order. */
    get digests(): string[] {
        return this.shards.map((shard) => shard.digest);
    }

    /** Digest of the whole manifest, 32 hex digits: it travels with every change. */
    get digest(): string {
        return digestOf(...this.digests).slice(0, manifestDigestDigits);
    }

    /** Applies changes in order and makes only the touched shards anew. */
    apply(changes: readonly ManifestChange[]): ShardedManifest {
        const touched = new Map<number, Map<string, ManifestItem>>();
        for (const change of changes) {
            const key = changedKey(change);
            const index = shardOf(key, this.shards.length);
            const items = touched.get(index) ?? this.itemsByKey(index);
            touched.set(index, items);
            const item = changeItem(items.get(key), change);
            if (item === undefined) {
                items.delete(key);
            }
            else {
                items.set(key, item);
            }
        }
        return new ShardedManifest(this.shards.map((shard, index) => {
            const items = touched.get(index);
            return items === undefined ? shard : createShard([...items.values()]);
        }));
    }

    /** The manifest, each list sorted by name. */
    toManifest(): Manifest {
        return manifestOf(this.shards.flatMap((shard) => shard.items));
    }

    private itemsByKey(index: number): Map<string, ManifestItem> {
        return new Map(this.shards[index].items.map((entry) => [keyOf(entry), entry]));
    }
}
