/**
 * A process's copy of one shard: the claims that result from its segments, and the store revision of each slot.
 *
 * @module
 */
import type { StoreEntry } from "@redwingpin/outside";
import { err, ok, type Result } from "neverthrow";
import {
    type ClaimRecord,
    ClaimRecordKind,
    decodeSegment,
    type Segment,
    type SegmentHeader,
} from "./segment.js";

/** Location of a shard's segments in the store. */
export interface ShardLocation {
    readonly shard: number;
    /** Number of slots in the ring. */
    readonly slots: number;
}

interface Slot {
    readonly sequence: number;
    readonly modRevision: number;
    readonly writtenAt: number;
}

/** A segment as it is stored. */
export interface WrittenSegment {
    readonly key: string;
    readonly modRevision: number;
    readonly header: SegmentHeader;
    /** All records of the segment, encoded. */
    readonly encodedRecords: Uint8Array;
}

interface RememberedClaim {
    readonly record: ClaimRecord;
    /** Sequence of the segment that holds the record. */
    readonly sequence: number;
}

interface Tail {
    readonly sequence: number;
    readonly closed: boolean;
    readonly recordCount: number;
    readonly encodedRecords: Uint8Array;
}

const numberDigits = 4;
const emptyTail: Tail = { sequence: 0, closed: true, recordCount: 0, encodedRecords: new Uint8Array() };

/** Prefix of the keys of a shard's segments. */
export function shardPrefix(shard: number): string {
    return `redwingpin/claims/${String(shard).padStart(numberDigits, "0")}/`;
}

/** Key of the slot that holds the segment with this sequence. */
export function slotKey(location: ShardLocation, sequence: number): string {
    return shardPrefix(location.shard) + String(sequence % location.slots).padStart(numberDigits, "0");
}

/** The claims of one shard as last read or written. */
export class ShardState {
    private readonly claims = new Map<string, RememberedClaim>();
    private readonly slotsByKey = new Map<string, Slot>();
    private readonly keysBySequence = new Map<number, Set<string>>();
    private newest: Tail = emptyTail;

    constructor(readonly location: ShardLocation) {}

    /** Decodes a whole shard. Fails if a segment is malformed or the segments changed while they were read. */
    static load(location: ShardLocation, entries: readonly StoreEntry[]): Result<ShardState, string> {
        const state = new ShardState(location);
        const segments: { readonly entry: StoreEntry; readonly segment: Segment; }[] = [];
        for (const entry of entries) {
            const segment = decodeSegment(entry.value);
            if (segment.isErr()) {
                return err(`store key "${entry.key}": ${segment.error}`);
            }
            segments.push({ entry, segment: segment.value });
        }
        segments.sort((left, right) => left.segment.header.sequence - right.segment.header.sequence);
        for (const [index, { entry, segment }] of segments.entries()) {
            if (index > 0 && !state.isContinuedBy(segment)) {
                return err(`shard ${location.shard} changed while it was read`);
            }
            state.applySegment(entry, segment);
        }
        return ok(state);
    }

    /** The newest segment; its sequence is 0 for an empty shard. */
    get tail(): Tail {
        return this.newest;
    }

    /** The record in force for a key. */
    find(key: string): ClaimRecord | undefined {
        return this.claims.get(key)?.record;
    }

    /** Number of claims. */
    get size(): number {
        return this.claims.size;
    }

    /** Store revision to expect when the segment with this sequence is written; 0 if its slot is empty. */
    expectedRevision(sequence: number): number {
        return this.slotsByKey.get(slotKey(this.location, sequence))?.modRevision ?? 0;
    }

    /** Wall time, in milliseconds, of the last write of the segment that the given sequence would overwrite, if any. */
    overwrittenSegmentWrittenAt(sequence: number): number | undefined {
        const slot = this.slotsByKey.get(slotKey(this.location, sequence));
        return slot === undefined || slot.sequence === sequence ? undefined : slot.writtenAt;
    }

    /**
     * Applies the content of a slot that another writer has written. Returns false if segments in between are missing,
     * so that the shard must be loaded again.
     */
    catchUp(entry: StoreEntry): Result<boolean, string> {
        return decodeSegment(entry.value).map((segment) => {
            const sequence = segment.header.sequence;
            const isContinuation = sequence === this.newest.sequence
                || (this.newest.closed && sequence === this.newest.sequence + 1);
            if (isContinuation) {
                this.applySegment(entry, segment);
            }
            return isContinuation;
        });
    }

    /** Applies a segment that was read from the store. */
    applySegment(entry: StoreEntry, segment: Segment): void {
        const { header, records, encodedRecords } = segment;
        const knownCount = header.sequence === this.newest.sequence ? this.newest.recordCount : 0;
        this.append(
            { key: entry.key, modRevision: entry.modRevision, header, encodedRecords },
            records.slice(knownCount),
        );
    }

    /** Applies records that were appended to the newest segment or start the next one. */
    append(written: WrittenSegment, added: readonly ClaimRecord[]): void {
        const { sequence, closed, writtenAt } = written.header;
        const previousCount = sequence === this.newest.sequence ? this.newest.recordCount : 0;
        this.dropOverwrittenSegment(written.key, sequence);
        this.slotsByKey.set(written.key, { sequence, modRevision: written.modRevision, writtenAt });
        for (const record of added) {
            this.applyRecord(record, sequence);
        }
        const recordCount = previousCount + added.length;
        this.newest = { sequence, closed, recordCount, encodedRecords: written.encodedRecords };
    }

    private isContinuedBy(segment: Segment): boolean {
        return this.newest.closed && segment.header.sequence === this.newest.sequence + 1;
    }

    private dropOverwrittenSegment(key: string, sequence: number): void {
        const overwritten = this.slotsByKey.get(key);
        if (overwritten === undefined || overwritten.sequence === sequence) {
            return;
        }
        for (const claimKey of this.keysBySequence.get(overwritten.sequence) ?? []) {
            if (this.claims.get(claimKey)?.sequence === overwritten.sequence) {
                this.claims.delete(claimKey);
            }
        }
        this.keysBySequence.delete(overwritten.sequence);
    }

    private applyRecord(record: ClaimRecord, sequence: number): void {
        const known = this.claims.get(record.key)?.record;
        if (known !== undefined && !supersedes(record, known)) {
            return;
        }
        this.claims.set(record.key, { record, sequence });
        const keys = this.keysBySequence.get(sequence) ?? new Set();
        keys.add(record.key);
        this.keysBySequence.set(sequence, keys);
    }
}

/** True if `record` replaces `known`: it is a new claim, or the known claim's claimant reports its outcome. */
export function supersedes(record: ClaimRecord, known: ClaimRecord): boolean {
    if (record.kind === ClaimRecordKind.Claimed) {
        return true;
    }
    return record.token === known.token && known.kind !== ClaimRecordKind.Finished;
}
