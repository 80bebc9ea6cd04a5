/**
 * JSON records of the configuration in the store.
 *
 * The root is small, because watchers receive it at each change. It refers to the outline, which refers to the shards.
 * Keys of outlines and shards contain the revision that their submission started from and its identifier. No two
 * submissions share a key, so each can delete the records that only it or an earlier revision refers to.
 *
 * @module
 */
import {
    isListOf,
    isNonNegativeInteger,
    isNonNegativeNumber,
    isShaped,
    isString,
    sha256Hex,
} from "@redwingpin/common";
import {
    canonicalJson,
    isManifestChanges,
    isManifestItems,
    type ManifestChange,
    type ManifestItem,
} from "@redwingpin/manifest";

/** Key of the root record. */
export const rootKey = "redwingpin/configuration/root";

/** Key prefix of outlines and shards. */
export const partsPrefix = "redwingpin/configuration/parts/";

/** Format of the records that this version of the program writes. */
export const recordFormat = 1;

/** Maximum size in bytes of the recent changes in a root. */
export const maximumRecentBytes = 2_048;

/** Number of recent submissions recorded in an outline, to resolve the outcome of writes whose answer was lost. */
export const maximumRecordedSubmissions = 256;

const revisionDigits = 12;

/** The changes that one revision made. */
export interface RecentChange {
    readonly revision: number;
    readonly submission: string;
    readonly changes: readonly ManifestChange[];
}

/** The root record, which identifies the accepted configuration. */
export interface RootRecord {
    readonly format: number;
    readonly revision: number;
    readonly submission: string;
    /** Milliseconds since the Unix epoch, by the operator's clock. */
    readonly submittedAt: number;
    /** Key of the outline. */
    readonly outline: string;
    readonly shardCount: number;
    /** Digest of the manifest. */
    readonly digest: string;
    /** The last changes, oldest first, without gaps up to `revision`; empty if the last one was large. */
    readonly recent: readonly RecentChange[];
}

/** Key of a stored shard and the digest that its content must have. */
export interface ShardReference {
    readonly key: string;
    readonly digest: string;
}

/** An accepted submission. */
export interface AcceptedSubmission {
    readonly revision: number;
    readonly submission: string;
}

/** The outline: the shards of one revision and the submissions that led to it. */
export interface OutlineRecord {
    readonly revision: number;
    readonly shards: readonly ShardReference[];
    /** Newest last. */
    readonly submissions: readonly AcceptedSubmission[];
}

const accepted = { revision: isNonNegativeInteger, submission: isString };

const hasRootShape = isShaped({
    format: (format) => format === recordFormat,
    ...accepted,
    submittedAt: isNonNegativeNumber,
    outline: isString,
    shardCount: isNonNegativeInteger,
    digest: isString,
    recent: isListOf(isShaped({ ...accepted, changes: isManifestChanges })),
});

const hasOutlineShape = isShaped({
    revision: isNonNegativeInteger,
    shards: isListOf(isShaped({ key: isString, digest: isString })),
    submissions: isListOf(isShaped(accepted)),
});

function isRootRecord(value: unknown): value is RootRecord {
    return hasRootShape(value);
}

function isOutlineRecord(value: unknown): value is OutlineRecord {
    return hasOutlineShape(value);
}

export function encodeRecord(record: RootRecord | OutlineRecord | readonly ManifestItem[]): Uint8Array {
    return new TextEncoder().encode(canonicalJson(record));
}

/** Decodes a root record; `undefined` if the value is not one in a known format. */
export function decodeRoot(value: Uint8Array): RootRecord | undefined {
    return decode(value, isRootRecord);
}

/** Decodes an outline; `undefined` if the value is not one. */
export function decodeOutline(value: Uint8Array): OutlineRecord | undefined {
    return decode(value, isOutlineRecord);
}

/** Decodes a shard; `undefined` if the value is not one. */
export function decodeShard(value: Uint8Array): readonly ManifestItem[] | undefined {
    return decode(value, isManifestItems);
}

function decode<T>(value: Uint8Array, guard: (decoded: unknown) => decoded is T): T | undefined {
    try {
        const decoded: unknown = JSON.parse(new TextDecoder().decode(value));
        return guard(decoded) ? decoded : undefined;
    }
    catch {
        return undefined;
    }
}

/** Key prefix of the outline and shards that a submission writes. */
export function submissionPrefix(baseRevision: number, submission: string): string {
    const padded = String(baseRevision).padStart(revisionDigits, "0");
    return `${partsPrefix}${padded}/${sha256Hex(submission).slice(0, revisionDigits)}/`;
}

/** Parses the revision that the submission of a key started from; `undefined` for a key of another form. */
export function parseBaseRevision(key: string): number | undefined {
    const digits = key.slice(partsPrefix.length, partsPrefix.length + revisionDigits);
    return /^\d+$/.test(digits) ? Number(digits) : undefined;
}

/** Selects the newest changes that fit into a root, oldest first. */
export function selectRecentChanges(changes: readonly RecentChange[]): RecentChange[] {
    const selected: RecentChange[] = [];
    let bytes = 0;
    for (const change of [...changes].reverse()) {
        bytes += canonicalJson(change).length;
        if (bytes > maximumRecentBytes) {
            break;
        }
        selected.unshift(change);
    }
    return selected;
}
