/**
 * Segments: the store records that hold the claims of a shard. A shard is a ring of segments. Its newest segment, the
 * tail, grows by compare-and-swap until it is closed; then the next slot of the ring is overwritten.
 *
 * @module
 */
import { decode, decodeMultiple, encode } from "cbor-x";
import { err, ok, type Result } from "neverthrow";
import type { CallAnswer } from "./claimCall.js";

/** State of a claim. The values are stored. */
export enum ClaimRecordKind {
    /** The claimant may dispatch the call. */
    Claimed = 0,
    /** The call ran; its answer is stored if it was small enough. */
    Finished = 1,
    /** The call certainly did not run; it may be claimed again. */
    NotRun = 2,
    /** The call may have run. */
    Unknown = 3,
}

interface ClaimRecordBase {
    /** Digest of account, route and idempotency key; 32 hex digits. */
    readonly key: string;
    /** Digest of method, path and body; 32 hex digits. */
    readonly content: string;
    readonly token: string;
}

/** One record of a segment. */
export type ClaimRecord =
    & ClaimRecordBase
    & (
        | { readonly kind: ClaimRecordKind.Claimed; readonly claimedAt: number; }
        | { readonly kind: ClaimRecordKind.Finished; readonly answer: CallAnswer | undefined; }
        | { readonly kind: ClaimRecordKind.NotRun; }
        | { readonly kind: ClaimRecordKind.Unknown; }
    );

/** First item of a segment's value. */
export interface SegmentHeader {
    /** Position in the shard's log, from 1; the segment's slot is the sequence modulo the ring's size. */
    readonly sequence: number;
    /** True once no more records may be added. */
    readonly closed: boolean;
    /** Wall time of the last write, in milliseconds. */
    readonly writtenAt: number;
}

/** A segment as read from the store. */
export interface Segment {
    readonly header: SegmentHeader;
    readonly records: readonly ClaimRecord[];
    /** The encoded records, to which further ones are appended. */
    readonly encodedRecords: Uint8Array;
}

type WireAnswer = readonly [number, readonly (readonly [string, string])[], Uint8Array];
type WireRecord = readonly [ClaimRecordKind, Uint8Array, Uint8Array, string, (number | WireAnswer)?];

interface WireSegment extends SegmentHeader {
    /** Concatenation of the encoded records. */
    readonly records: Uint8Array;
}

/** Encodes one record; a segment holds the concatenation of its encoded records. */
export function encodeRecord(record: ClaimRecord): Uint8Array {
    const base = [
        record.kind,
        Buffer.from(record.key, "hex"),
        Buffer.from(record.content, "hex"),
        record.token,
    ];
    switch (record.kind) {
        case ClaimRecordKind.Claimed:
            return encode([...base, record.claimedAt]);
        case ClaimRecordKind.Finished:
            return encode(record.answer === undefined ? base : [...base, toWire(record.answer)]);
        case ClaimRecordKind.NotRun:
        case ClaimRecordKind.Unknown:
            return encode(base);
    }
}

function toWire(answer: CallAnswer): WireAnswer {
    return [answer.status, answer.headers.map((field) => [field.name, field.value] as const), answer.body];
}

/** Joins a header and encoded records into a segment's value. */
export function encodeSegment(header: SegmentHeader, encodedRecords: Uint8Array): Uint8Array {
    const segment: WireSegment = { ...header, records: encodedRecords };
    return encode(segment);
}

/** Decodes a segment's value; the error describes what is wrong with the value. */
export function decodeSegment(value: Uint8Array): Result<Segment, string> {
    try {
        const segment: unknown = decode(value);
        if (!isWireSegment(segment)) {
            return err(`segment of ${value.length} bytes has an unknown shape`);
        }
        const records = segment.records.length === 0 ? [] : decodeMultiple(segment.records) as unknown[];
        if (!records.every(isWireRecord)) {
            return err(`segment ${segment.sequence} has records of an unknown shape`);
        }
        const { sequence, closed, writtenAt } = segment;
        const header = { sequence, closed, writtenAt };
        return ok({ header, records: records.map(fromWire), encodedRecords: segment.records });
    }
    catch (cause) {
        return err(`segment of ${value.length} bytes is not CBOR: ${String(cause)}`);
    }
}

function isWireSegment(item: unknown): item is WireSegment {
    const segment = item as Partial<WireSegment> | undefined;
    return typeof segment === "object" && Number.isSafeInteger(segment.sequence)
        && typeof segment.closed === "boolean" && typeof segment.writtenAt === "number"
        && segment.records instanceof Uint8Array;
}

function isWireRecord(item: unknown): item is WireRecord {
    return Array.isArray(item) && item[0] in ClaimRecordKind && item[1] instanceof Uint8Array
        && item[2] instanceof Uint8Array && typeof item[3] === "string";
}

function fromWire(item: WireRecord): ClaimRecord {
    const [kind, key, content, token, detail] = item;
    const base = { key: hex(key), content: hex(content), token };
    switch (kind) {
        case ClaimRecordKind.Claimed:
            return { ...base, kind, claimedAt: detail as number };
        case ClaimRecordKind.Finished:
            return { ...base, kind, answer: answerFromWire(detail as WireAnswer | undefined) };
        case ClaimRecordKind.NotRun:
        case ClaimRecordKind.Unknown:
            return { ...base, kind };
    }
}

function answerFromWire(wire: WireAnswer | undefined): CallAnswer | undefined {
    if (wire === undefined) {
        return undefined;
    }
    const [status, headers, body] = wire;
    return { status, headers: headers.map(([name, value]) => ({ name, value })), body };
}

function hex(bytes: Uint8Array): string {
    return Buffer.from(bytes).toString("hex");
}
