/**
 * Submits a manifest: writes the shards that changed and the outline, then replaces the root by compare-and-swap.
 * The root's swap is the one step that accepts; everything before it has no effect on any process.
 *
 * @module
 */
import {
    canonicalJson,
    diffItems,
    type Manifest,
    type ManifestChange,
    type ManifestShard,
    shardCountFor,
    ShardedManifest,
} from "@redwingpin/manifest";
import { err, ok, type Result } from "neverthrow";
import {
    type AcceptedSubmission,
    baseRevisionOf,
    encodeRecord,
    keepRecent,
    type OutlineRecord,
    partsPrefix,
    recordFormat,
    rememberedSubmissions,
    rootKey,
    type RootRecord,
    type ShardReference,
    submissionPrefix,
} from "../records.js";
import { type LoadError, loadOutline, loadRoot, loadShards, type StoredRoot } from "./loadConfiguration.js";
import {
    deleteKey,
    readKey,
    readKeys,
    type StoreDecision,
    StoreEffectKind,
    swapKey,
} from "./storeDecision.js";

/** A manifest to submit. */
export interface SubmissionRequest {
    readonly manifest: Manifest;
    /** Identifier of this submission; the same one, given again, settles a submission whose end is not known. */
    readonly submission: string;
    /** Revision that the manifest was made from; another revision in force is a lost race. */
    readonly expectedRevision?: number;
    /** Milliseconds since the Unix epoch. */
    readonly submittedAt: number;
}

/** An accepted submission; `changed` is false where the manifest was in force already. */
export interface SubmissionOutcome {
    readonly revision: number;
    readonly changed: boolean;
}

/** Why a submission was not accepted, or not known to be. */
export type SubmissionError =
    /** Another submission won; nothing was changed. */
    | { readonly kind: "lostRace"; readonly revision: number; readonly submission: string; }
    /** Nothing was changed. */
    | { readonly kind: "unavailable"; readonly message: string; }
    /** The submission may or may not have been accepted; submit it again under its identifier. */
    | { readonly kind: "unknown"; readonly message: string; }
    | { readonly kind: "malformed"; readonly message: string; };

type Attempt<T> = StoreDecision<Result<T, SubmissionError>>;

const writeAttempts = 6;
const retryPauseMilliseconds = 200;

/** Revisions between two sweeps for records that submissions left behind. */
const sweepInterval = 64;

/** Shards are merged only where that leaves an eighth of them, so that their number does not swing. */
const shardHysteresis = 8;

/** The configuration that a submission starts from. */
interface Base {
    readonly stored: StoredRoot;
    readonly revision: number;
    readonly outline: OutlineRecord;
}

/** Submits a manifest. */
export function* submission(request: SubmissionRequest): Attempt<SubmissionOutcome> {
    const base = yield* loadBase();
    if (base.isErr()) {
        return err(base.error);
    }
    const accepted = findSubmission(base.value.outline, request.submission);
    if (accepted !== undefined) {
        return ok({ revision: accepted.revision, changed: true });
    }
    if (request.expectedRevision !== undefined && request.expectedRevision !== base.value.revision) {
        return err(lostRace(base.value.stored.root));
    }
    const after = ShardedManifest.from(request.manifest, shardCount(request.manifest, base.value));
    const changes = yield* changesSince(base.value, after);
    if (changes.isErr()) {
        return changes.error.kind === "replaced"
            ? yield* settle(request.submission)
            : err(notApplied(changes.error));
    }
    if (changes.value.length === 0 && base.value.stored.root !== undefined) {
        return ok({ revision: base.value.revision, changed: false });
    }
    const references = yield* writeShards(request, base.value, after);
    if (references.isErr()) {
        return err(references.error);
    }
    return yield* writeRoot(request, base.value, after, references.value, changes.value);
}

function* loadBase(): Attempt<Base> {
    for (let attempt = 0; attempt < writeAttempts; attempt++) {
        const stored = yield* loadRoot();
        if (stored.isErr()) {
            return err(notApplied(stored.error));
        }
        const { root } = stored.value;
        if (root === undefined) {
            const outline = { revision: 0, shards: [], submissions: [] };
            return ok({ stored: stored.value, revision: 0, outline });
        }
        const outline = yield* loadOutline(root);
        if (outline.isOk()) {
            return ok({ stored: stored.value, revision: root.revision, outline: outline.value });
        }
        if (outline.error.kind !== "replaced") {
            return err(notApplied(outline.error));
        }
    }
    return err({ kind: "unavailable", message: "the configuration was replaced each time that it was read" });
}

function findSubmission(outline: OutlineRecord, identifier: string): AcceptedSubmission | undefined {
    return outline.submissions.find((accepted) => accepted.submission === identifier);
}

function shardCount(manifest: Manifest, base: Base): number {
    const wanted = shardCountFor(canonicalJson(manifest).length);
    const present = base.outline.shards.length;
    return wanted > present || wanted * shardHysteresis < present ? wanted : present;
}

/** Changes from the base; reads only the shards that differ. */
function* changesSince(
    base: Base,
    after: ShardedManifest,
): StoreDecision<Result<ManifestChange[], LoadError>> {
    const isAlike = base.outline.shards.length === after.shards.length;
    const differs = (digest: string, index: number) => !isAlike || after.shards[index].digest !== digest;
    const references = base.outline.shards.filter((shard, index) => differs(shard.digest, index));
    const old = yield* loadShards(references, new Map());
    if (old.isErr()) {
        return err(old.error);
    }
    const digests = base.outline.shards.map((shard) => shard.digest);
    const fresh = after.shards.filter((shard, index) => !isAlike || digests[index] !== shard.digest);
    const items = (shards: readonly ManifestShard[]) => shards.flatMap((shard) => shard.items);
    return ok(diffItems(items(old.value), items(fresh)));
}

function* writeShards(
    request: SubmissionRequest,
    base: Base,
    after: ShardedManifest,
): Attempt<ShardReference[]> {
    const stored = new Map(base.outline.shards.map((reference) => [reference.digest, reference]));
    const prefix = submissionPrefix(base.revision, request.submission);
    const references: ShardReference[] = [];
    for (const [index, shard] of after.shards.entries()) {
        const known = stored.get(shard.digest);
        if (known !== undefined) {
            references.push(known);
            continue;
        }
        const key = `${prefix}${index}-${shard.digest}`;
        const written = yield* writeOnce(key, encodeRecord(shard.items));
        if (written.isErr()) {
            return err(written.error);
        }
        references.push({ key, digest: shard.digest });
    }
    return ok(references);
}

/**
 * Writes a record of this submission alone. One that is there already was written by a try whose answer was lost;
 * where answers to writes stay lost, a read tells.
 */
function* writeOnce(key: string, value: Uint8Array): Attempt<void> {
    let message = "";
    for (let attempt = 0; attempt < writeAttempts; attempt++) {
        const outcome = yield* swapKey(key, 0, value);
        if (outcome.isOk()) {
            return ok(undefined);
        }
        message = outcome.error.message;
        const present = yield* readKey(key);
        if (present.isOk() && present.value !== undefined) {
            return ok(undefined);
        }
        yield { kind: StoreEffectKind.Pause, milliseconds: retryPauseMilliseconds };
    }
    return err({ kind: "unavailable", message });
}

function* writeRoot(
    request: SubmissionRequest,
    base: Base,
    after: ShardedManifest,
    references: readonly ShardReference[],
    changes: readonly ManifestChange[],
): Attempt<SubmissionOutcome> {
    const revision = base.revision + 1;
    const accepted = { revision, submission: request.submission };
    const submissions = [...base.outline.submissions, accepted].slice(-rememberedSubmissions);
    const outline: OutlineRecord = { revision, shards: references, submissions };
    const outlineKey = `${submissionPrefix(base.revision, request.submission)}outline-${after.digest}`;
    const written = yield* writeOnce(outlineKey, encodeRecord(outline));
    if (written.isErr()) {
        return err(written.error);
    }
    const root: RootRecord = {
        format: recordFormat,
        ...accepted,
        submittedAt: request.submittedAt,
        outline: outlineKey,
        shardCount: after.shards.length,
        digest: after.digest,
        recent: keepRecent([...base.stored.root?.recent ?? [], { ...accepted, changes }]),
    };
    const outcome = yield* swapRoot(base, root);
    if (outcome.isOk()) {
        yield* deleteReplaced(base, root, outline);
    }
    return outcome;
}

/** Swaps the root until the answer is known: where it was lost, the root itself tells whether the swap took effect. */
function* swapRoot(base: Base, root: RootRecord): Attempt<SubmissionOutcome> {
    let mayBeApplied = false;
    let message = "";
    for (let attempt = 0; attempt < writeAttempts; attempt++) {
        const outcome = yield* swapKey(rootKey, base.stored.modRevision, encodeRecord(root));
        if (outcome.isOk()) {
            return outcome.value.swapped ? ok(acceptedAt(root.revision)) : yield* settle(root.submission);
        }
        message = outcome.error.message;
        mayBeApplied ||= outcome.error.kind === "unknown";
        const present = yield* readKey(rootKey);
        if (present.isOk() && (present.value?.modRevision ?? 0) !== base.stored.modRevision) {
            return yield* settle(root.submission);
        }
        yield { kind: StoreEffectKind.Pause, milliseconds: retryPauseMilliseconds };
    }
    return err({ kind: mayBeApplied ? "unknown" : "unavailable", message });
}

/** The root is not the one that this submission started from: either it took effect before, or another won. */
function* settle(identifier: string): Attempt<SubmissionOutcome> {
    const base = yield* loadBase();
    if (base.isErr()) {
        const { kind } = base.error;
        const message = kind === "lostRace" ? "another submission won" : base.error.message;
        return err({ kind: "unknown", message });
    }
    const accepted = findSubmission(base.value.outline, identifier);
    return accepted === undefined
        ? err(lostRace(base.value.stored.root))
        : ok(acceptedAt(accepted.revision));
}

function acceptedAt(revision: number): SubmissionOutcome {
    return { revision, changed: true };
}

function lostRace(winner: RootRecord | undefined): SubmissionError {
    return { kind: "lostRace", revision: winner?.revision ?? 0, submission: winner?.submission ?? "" };
}

function notApplied(error: LoadError): SubmissionError {
    return error.kind === "malformed" ? error : { kind: "unavailable", message: error.message };
}

/**
 * Deletes the records that only earlier revisions refer to. A submission that still runs from an earlier revision
 * loses its swap, so nothing that it wrote is needed either.
 */
function* deleteReplaced(base: Base, root: RootRecord, outline: OutlineRecord): StoreDecision<void> {
    const needed = new Set([root.outline, ...outline.shards.map((shard) => shard.key)]);
    const replaced = base.outline.shards.map((shard) => shard.key).filter((key) => !needed.has(key));
    const former = base.stored.root?.outline;
    if (root.revision % sweepInterval === 0) {
        yield* sweep(needed, root.revision);
        return;
    }
    for (const key of former === undefined ? replaced : [...replaced, former]) {
        yield* deleteCurrent(key);
    }
}

/** Records are written once, so the revision to compare is the one that a failed delete reports. */
function* deleteCurrent(key: string): StoreDecision<void> {
    const outcome = yield* deleteKey(key, 0);
    if (outcome.isOk() && !outcome.value.swapped && outcome.value.current !== undefined) {
        yield* deleteKey(key, outcome.value.current.modRevision);
    }
}

function* sweep(needed: ReadonlySet<string>, revision: number): StoreDecision<void> {
    const entries = yield* readKeys(partsPrefix);
    for (const entry of entries.unwrapOr([])) {
        const base = baseRevisionOf(entry.key);
        if (base !== undefined && base < revision && !needed.has(entry.key)) {
            yield* deleteKey(entry.key, entry.modRevision);
        }
    }
}
