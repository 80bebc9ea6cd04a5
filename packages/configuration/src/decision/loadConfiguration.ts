/**
 * Loads the accepted configuration from the store.
 *
 * @module
 */
import { createShard, type ManifestShard, ShardedManifest } from "@redwingpin/manifest";
import type { StoreEntry, StoreError } from "@redwingpin/outside";
import { err, ok, type Result } from "neverthrow";
import {
    decodeOutline,
    decodeRoot,
    decodeShard,
    type OutlineRecord,
    partsPrefix,
    rootKey,
    type RootRecord,
    type ShardReference,
} from "../records.js";
import { readKey, readKeys, type StoreDecision } from "./storeDecision.js";

/** A root record with the store's revision of its key, for compare-and-swap; no `root` before the first submission. */
export interface StoredRoot {
    readonly modRevision: number;
    readonly root: RootRecord | undefined;
}

/** Why loading failed. */
export type LoadError =
    | { readonly kind: "unavailable"; readonly message: string; }
    /** A record that the root refers to is missing, because the root has been replaced since it was read. */
    | { readonly kind: "replaced"; readonly message: string; }
    | { readonly kind: "malformed"; readonly message: string; };

/** An accepted configuration with its records. */
export interface LoadedConfiguration {
    readonly root: RootRecord;
    readonly outline: OutlineRecord;
    readonly manifest: ShardedManifest;
}

/** Number of shards from which one read of all parts is cheaper than one read for each shard. */
const readAllThreshold = 8;

/** Reads the root. */
export function* loadRoot(): StoreDecision<Result<StoredRoot, LoadError>> {
    const read = yield* readKey(rootKey);
    return read.mapErr(unavailable).andThen(rootOf);
}

/** Decodes the store entry of the root. */
export function rootOf(entry: StoreEntry | undefined): Result<StoredRoot, LoadError> {
    if (entry === undefined) {
        return ok({ modRevision: 0, root: undefined });
    }
    const root = decodeRoot(entry.value);
    return root === undefined
        ? err({ kind: "malformed", message: `value of "${rootKey}" is not a root record in a known format` })
        : ok({ modRevision: entry.modRevision, root });
}

/** Reads the outline that a root refers to. */
export function* loadOutline(root: RootRecord): StoreDecision<Result<OutlineRecord, LoadError>> {
    const read = yield* readKey(root.outline);
    return read.mapErr(unavailable).andThen((entry) => {
        const outline = entry === undefined ? undefined : decodeOutline(entry.value);
        return outline === undefined ? err(missing(root.outline)) : ok(outline);
    });
}

/** Reads shards; those in `known`, by digest, are not read from the store. */
export function* loadShards(
    references: readonly ShardReference[],
    known: ReadonlyMap<string, ManifestShard>,
): StoreDecision<Result<ManifestShard[], LoadError>> {
    const unknown = references.filter((reference) => !known.has(reference.digest));
    const read = yield* readEntries(unknown);
    if (read.isErr()) {
        return err(unavailable(read.error));
    }
    const shards: ManifestShard[] = [];
    for (const reference of references) {
        const shard = known.get(reference.digest) ?? shardIn(read.value, reference);
        if (shard === undefined) {
            return err(missing(reference.key));
        }
        shards.push(shard);
    }
    return ok(shards);
}

function* readEntries(
    references: readonly ShardReference[],
): StoreDecision<Result<ReadonlyMap<string, StoreEntry>, StoreError>> {
    const entries = new Map<string, StoreEntry>();
    if (references.length >= readAllThreshold) {
        const all = yield* readKeys(partsPrefix);
        return all.map((list) => new Map(list.map((entry) => [entry.key, entry])));
    }
    for (const reference of references) {
        const read = yield* readKey(reference.key);
        if (read.isErr()) {
            return err(read.error);
        }
        if (read.value !== undefined) {
            entries.set(reference.key, read.value);
        }
    }
    return ok(entries);
}

function shardIn(
    entries: ReadonlyMap<string, StoreEntry>,
    reference: ShardReference,
): ManifestShard | undefined {
    const entry = entries.get(reference.key);
    const items = entry === undefined ? undefined : decodeShard(entry.value);
    const shard = items === undefined ? undefined : createShard(items);
    return shard?.digest === reference.digest ? shard : undefined;
}

/** Reads the outline and the shards of a root. */
export function* loadContent(
    root: RootRecord,
    known: ReadonlyMap<string, ManifestShard>,
): StoreDecision<Result<LoadedConfiguration, LoadError>> {
    const outline = yield* loadOutline(root);
    if (outline.isErr()) {
        return err(outline.error);
    }
    const shards = yield* loadShards(outline.value.shards, known);
    return shards.andThen((list) => {
        const manifest = new ShardedManifest(list);
        return manifest.digest === root.digest
            ? ok({ root, outline: outline.value, manifest })
            : err<never, LoadError>({
                kind: "malformed",
                message: `shards of revision ${root.revision} do not match the digest in the root record`,
            });
    });
}

const maximumLoadAttempts = 5;

/** Reads the accepted configuration; `undefined` before the first one. Retries if it is replaced during the read. */
export function* loadConfiguration(): StoreDecision<Result<LoadedConfiguration | undefined, LoadError>> {
    let last: LoadError = { kind: "replaced", message: "the configuration was replaced during the read" };
    for (let attempt = 0; attempt < maximumLoadAttempts; attempt++) {
        const stored = yield* loadRoot();
        if (stored.isErr()) {
            return err(stored.error);
        }
        if (stored.value.root === undefined) {
            return ok(undefined);
        }
        const content = yield* loadContent(stored.value.root, new Map());
        if (content.isOk() || content.error.kind !== "replaced") {
            return content;
        }
        last = content.error;
    }
    return err(last);
}

function unavailable(error: StoreError): LoadError {
    return { kind: "unavailable", message: error.message };
}

function missing(key: string): LoadError {
    return {
        kind: "replaced",
        message: `record "${key}" is missing or has another digest than the root refers to`,
    };
}
