/**
 * Submits a manifest: writes the changed shards and the outline, then replaces the root by compare-and-swap. The swap
 * of the root is the step that accepts the submission; the writes before it have no effect on any process.
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
    encodeRecord,
    maximumRecordedSubmissions,
    type OutlineRecord,
    parseBaseRevision,
    partsPrefix,
    recordFormat,
    rootKey,
    type RootRecord,
    selectRecentChanges,
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
    /** Identifier of this submission; submitting again with the same one resolves an unknown outcome. */
    readonly submission: string;
    /** Revision that the manifest is based on; the submission fails with a lost race if another one is in force. */
    readonly expectedRevision?: number;
    /** Milliseconds since the Unix epoch. */
    readonly submittedAt: number;
}

/** An accepted submission; `changed` is false if the manifest was already in force. */
export interface SubmissionOutcome {
    readonly revision: number;
    readonly changed: boolean;
}

/** Why a submission was not accepted, or is not known to be accepted. */
export type SubmissionError =
    /** Another submission won; nothing was changed. */
    | { readonly kind: "lostRace"; readonly revision: number; readonly submission: string; }
    /** Nothing was changed. */
    | { readonly kind: "unavailable"; readonly message: string; }
    /** The submission may or may not have been accepted; submit it again with the same identifier. */
    | { readonly kind: "unknown"; readonly message: string; }
    | { readonly kind: "malformed"; readonly message: string; };

type SubmissionStep<T> = StoreDecision<Result<T, SubmissionError>>;

const maximumWriteAttempts = 6;
const retryDelayMilliseconds = 200;

/** Number of revisions between two sweeps for orphaned records of submissions that did not finish. */
const orphanSweepInterval = 64;

/** Shards are merged only if their number shrinks to less than an eighth, so that it does not oscillate. */
const shardHysteresis = 8;

/** The configuration on which a submission is based. */
interface SubmissionBase {
    readonly stored: StoredRoot;
    readonly revision: number;
    readonly outline: OutlineRecord;
}

/** Submits a manifest. */
export function* submitRevision(request: SubmissionRequest): SubmissionStep<SubmissionOutcome> {
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
            ? yield* resolveOutcome(request.submission)
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

function* loadBase(): SubmissionStep<SubmissionBase> {
    for (let attempt = 0; attempt < maximumWriteAttempts; attempt++) {
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
    return err({ kind: "unavailable", message: "the configuration was replaced during each read" });
}

function findSubmission(outline: OutlineRecord, identifier: string): AcceptedSubmission | undefined {
    return outline.submissions.find((accepted) => accepted.submission === identifier);
}

function shardCount(manifest: Manifest, base: SubmissionBase): number {
    const wanted = shardCountFor(canonicalJson(manifest).length);
    const present = base.outline.shards.length;
    return wanted > present || wanted * shardHysteresis < present ? wanted : present;
}

/** Computes the changes from the base; reads only the shards that differ. */
function* changesSince(
    base: SubmissionBase,
    after: ShardedManifest,
): StoreDecision<Result<ManifestChange[], LoadError>> {
    const hasSameCount = base.outline.shards.length === after.shards.length;
    const differs = (digest: string, index: number) => !hasSameCount || after.shards[index].digest !== digest;
    const references = base.outline.shards.filter((shard, index) => differs(shard.digest, index));
    const removed = yield* loadShards(references, new Map());
    if (removed.isErr()) {
        return err(removed.error);
    }
    const digests = base.outline.shards.map((shard) => shard.digest);
    const added = after.shards.filter((shard, index) => !hasSameCount || digests[index] !== shard.digest);
    const items = (shards: readonly ManifestShard[]) => shards.flatMap((shard) => shard.items);
    return ok(diffItems(items(removed.value), items(added)));
}

function* writeShards(
    request: SubmissionRequest,
    base: SubmissionBase,
    after: ShardedManifest,
): SubmissionStep<ShardReference[]> {
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
 * Writes a record that belongs to this submission only. A record that already exists was written by an attempt whose
 * answer was lost; if the answers to all writes are lost, a read shows whether the record exists.
 */
function* writeOnce(key: string, value: Uint8Array): SubmissionStep<void> {
    let message = "";
    for (let attempt = 0; attempt < maximumWriteAttempts; attempt++) {
        const outcome = yield* swapKey(key, 0, value);
        if (outcome.isOk()) {
            return ok(undefined);
        }
        message = outcome.error.message;
        const present = yield* readKey(key);
        if (present.isOk() && present.value !== undefined) {
            return ok(undefined);
        }
        yield { kind: StoreEffectKind.Pause, milliseconds: retryDelayMilliseconds };
    }
    return err({ kind: "unavailable", message });
}

function* writeRoot(
    request: SubmissionRequest,
    base: SubmissionBase,
    after: ShardedManifest,
    references: readonly ShardReference[],
    changes: readonly ManifestChange[],
): SubmissionStep<SubmissionOutcome> {
    const revision = base.revision + 1;
    const accepted = { revision, submission: request.submission };
    const submissions = [...base.outline.submissions, accepted].slice(-maximumRecordedSubmissions);
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
        recent: selectRecentChanges([...base.stored.root?.recent ?? [], { ...accepted, changes }]),
    };
    const outcome = yield* swapRoot(base, root);
    if (outcome.isOk()) {
        yield* deleteSuperseded(base, root, outline);
    }
    return outcome;
}

/** Swaps the root and retries until the outcome is known: after a lost answer, reading the root shows it. */
function* swapRoot(base: SubmissionBase, root: RootRecord): SubmissionStep<SubmissionOutcome> {
    let mayBeApplied = false;
    let message = "";
    for (let attempt = 0; attempt < maximumWriteAttempts; attempt++) {
        const outcome = yield* swapKey(rootKey, base.stored.modRevision, encodeRecord(root));
        if (outcome.isOk()) {
            return outcome.value.swapped
                ? ok(acceptedAt(root.revision))
                : yield* resolveOutcome(root.submission);
        }
        message = outcome.error.message;
        mayBeApplied ||= outcome.error.kind === "unknown";
        const present = yield* readKey(rootKey);
        if (present.isOk() && (present.value?.modRevision ?? 0) !== base.stored.modRevision) {
            return yield* resolveOutcome(root.submission);
        }
        yield { kind: StoreEffectKind.Pause, milliseconds: retryDelayMilliseconds };
    }
    return err({ kind: mayBeApplied ? "unknown" : "unavailable", message });
}

/**
 * Resolves the outcome if the root is no longer the one that this submission is based on: either an earlier attempt of
 * this submission was accepted, or another submission won.
 */
function* resolveOutcome(identifier: string): SubmissionStep<SubmissionOutcome> {
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
 * Deletes the records that only earlier revisions refer to. A running submission that is based on an earlier revision
 * will fail to swap the root, so the records that it wrote are not needed either.
 */
function* deleteSuperseded(
    base: SubmissionBase,
    root: RootRecord,
    outline: OutlineRecord,
): StoreDecision<void> {
    const needed = new Set([root.outline, ...outline.shards.map((shard) => shard.key)]);
    const superseded = base.outline.shards.map((shard) => shard.key).filter((key) => !needed.has(key));
    const previousOutline = base.stored.root?.outline;
    if (root.revision % orphanSweepInterval === 0) {
        yield* deleteOrphans(needed, root.revision);
        return;
    }
    for (const key of previousOutline === undefined ? superseded : [...superseded, previousOutline]) {
        yield* deleteRecord(key);
    }
}

/**
 * Deletes a record whose store revision is not known: a delete that expects revision 0 fails and returns the current
 * one. Since records are written only once, that revision is still right when the second delete is sent.
 */
function* deleteRecord(key: string): StoreDecision<void> {
    const outcome = yield* deleteKey(key, 0);
    if (outcome.isOk() && !outcome.value.swapped && outcome.value.current !== undefined) {
        yield* deleteKey(key, outcome.value.current.modRevision);
    }
}

function* deleteOrphans(needed: ReadonlySet<string>, revision: number): StoreDecision<void> {
    const entries = yield* readKeys(partsPrefix);
    for (const entry of entries.unwrapOr([])) {
        const base = parseBaseRevision(entry.key);
        if (base !== undefined && base < revision && !needed.has(entry.key)) {
            yield* deleteKey(entry.key, entry.modRevision);
        }
    }
}
