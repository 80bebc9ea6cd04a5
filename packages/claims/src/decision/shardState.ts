/**
 * What a process knows of one shard: the claims folded from its segments, and the revision of each slot.
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

/** Where a shard's segments are kept. */
export interface ShardPlace {
    readonly shard: number;
    /** Slots of the ring. */
    readonly slots: number;
}

interface Slot {
    readonly sequence: number;
    readonly modRevision: number;
    readonly writtenAt: number;
}

/** A segment as it stands in the store. */
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
export function slotKey(place: ShardPlace, sequence: number): string {
    return shardPrefix(place.shard) + String(sequence % place.slots).padStart(numberDigits, "0");
}

/** The claims of one shard as last seen. */
export class ShardState {
    private readonly claims = new Map<string, RememberedClaim>();
    private readonly slotsByKey = new Map<string, Slot>();
    private readonly keysBySequence = new Map<number, Set<string>>();
    private newest: Tail = emptyTail;

    constructor(readonly place: ShardPlace) {}

    /** Reads a whole shard. Fails where a segment cannot be read or the segments were read while they changed. */
    static load(place: ShardPlace, entries: readonly StoreEntry[]): Result<ShardState, string> {
        const state = new ShardState(place);
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
            if (index > 0 && !state.continuesWith(segment)) {
                return err(`shard ${place.shard} changed while it was read`);
            }
            state.adopt(entry, segment);
        }
        return ok(state);
    }

    /** Sequence of the newest segment; 0 for an empty shard. */
    get tail(): Tail {
        return this.newest;
    }

    /** The last record of a key. */
    find(key: string): ClaimRecord | undefined {
        return this.claims.get(key)?.record;
    }

    /** Claims that are remembered. */
    get size(): number {
        return this.claims.size;
    }

    /** Revision to expect when the segment with this sequence is written; 0 where its slot is empty. */
    expectedRevision(sequence: number): number {
        return this.slotsByKey.get(slotKey(this.place, sequence))?.modRevision ?? 0;
    }

    /** Wall time of the last write of the segment that the given sequence would overwrite, if there is one. */
    overwrittenAt(sequence: number): number | undefined {
        const slot = this.slotsByKey.get(slotKey(this.place, sequence));
        return slot === undefined || slot.sequence === sequence ? undefined : slot.writtenAt;
    }

    /**
     * Takes in what a slot was found to hold. Answers false where this state is too old to continue from, and the
     * shard must be loaded again.
     */
    catchUp(entry: StoreEntry): Result<boolean, string> {
        return decodeSegment(entry.value).map((segment) => {
            const sequence = segment.header.sequence;
            const follows = sequence === this.newest.sequence
                || (this.newest.closed && sequence === this.newest.sequence + 1);
            if (follows) {
                this.adopt(entry, segment);
            }
            return follows;
        });
    }

    /** Takes in a segment that was read. */
    adopt(entry: StoreEntry, segment: Segment): void {
        const { header, records, encodedRecords } = segment;
        const seen = header.sequence === this.newest.sequence ? this.newest.recordCount : 0;
        this.append(
            { key: entry.key, modRevision: entry.modRevision, header, encodedRecords },
            records.slice(seen),
        );
    }

    /** Takes in records that were added to the newest segment or begin the next one. */
    append(written: WrittenSegment, added: readonly ClaimRecord[]): void {
        const { sequence, closed, writtenAt } = written.header;
        const before = sequence === this.newest.sequence ? this.newest.recordCount : 0;
        this.forgetSlot(written.key, sequence);
        this.slotsByKey.set(written.key, { sequence, modRevision: written.modRevision, writtenAt });
        for (const record of added) {
            this.fold(record, sequence);
        }
        const recordCount = before + added.length;
        this.newest = { sequence, closed, recordCount, encodedRecords: written.encodedRecords };
    }

    private continuesWith(segment: Segment): boolean {
        return this.newest.closed && segment.header.sequence === this.newest.sequence + 1;
    }

    private forgetSlot(key: string, sequence: number): void {
        const old = this.slotsByKey.get(key);
        if (old === undefined || old.sequence === sequence) {
            return;
        }
        for (const claimKey of this.keysBySequence.get(old.sequence) ?? []) {
            if (this.claims.get(claimKey)?.sequence === old.sequence) {
                this.claims.delete(claimKey);
            }
        }
        this.keysBySequence.delete(old.sequence);
    }

    private fold(record: ClaimRecord, sequence: number): void {
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

/** True where `record` replaces `known`: a new claim does, and what its own claimant reports of a claim. */
export function supersedes(record: ClaimRecord, known: ClaimRecord): boolean {
    if (record.kind === ClaimRecordKind.Claimed) {
        return true;
    }
    return record.token === known.token && known.kind !== ClaimRecordKind.Finished;
}
