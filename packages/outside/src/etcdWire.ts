/**
 * Messages of the etcd v3 JSON gateway: builds requests, and parses and checks answers. Keys and values are base64,
 * 64-bit numbers are decimal text, and fields with their default value may be absent.
 *
 * @module
 */
import { err, ok, Result } from "neverthrow";
import { quote } from "./jsonHttpClient.js";
import type { StoreEntry, SwapOutcome } from "./store.js";

/** A JSON object with unchecked fields. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** Returns a key as base64. */
export function encodeKey(key: string): string {
    return Buffer.from(key, "utf8").toString("base64");
}

/** Returns, as base64, the first key after all keys that start with `prefix`. */
export function encodePrefixEnd(prefix: string): string {
    const end = Buffer.from(prefix, "utf8");
    if (end.length === 0) {
        return Buffer.from([0]).toString("base64");
    }
    // The last byte of UTF-8 text is below 0xff, so that incrementing it cannot overflow.
    end[end.length - 1]! += 1;
    return end.toString("base64");
}

/** Parses a text that is a JSON object. */
export function parseObject(text: string): Result<JsonObject, string> {
    return Result.fromThrowable(JSON.parse, () => `the store's answer is not JSON: ${quote(text)}`)(text)
        .andThen((value: unknown) => asObject(value, "the store's answer"));
}

/** Checks that a value is an object. `field` names it in the error. */
export function asObject(value: unknown, field: string): Result<JsonObject, string> {
    return typeof value === "object" && value !== undefined && !Array.isArray(value) && Boolean(value)
        ? ok(value as JsonObject)
        : err(`${field} is not an object`);
}

/** Checks that a value is a list. An absent list is empty. */
export function asList(value: unknown, field: string): Result<readonly unknown[], string> {
    if (value === undefined) {
        return ok([]);
    }
    return Array.isArray(value) ? ok(value) : err(`${field} is not a list`);
}

/** Parses a 64-bit number. An absent number is 0. */
export function asInteger(value: unknown, field: string): Result<number, string> {
    const number = value === undefined ? 0 : Number(value);
    return Number.isSafeInteger(number) && (typeof value !== "string" || value.trim() !== "")
        ? ok(number)
        : err(`${field} is not a whole number`);
}

function asBytes(value: unknown, field: string): Result<Buffer, string> {
    if (value === undefined) {
        return ok(Buffer.alloc(0));
    }
    if (typeof value !== "string" || !/^[A-Za-z0-9+/]*={0,2}$/.test(value)) {
        return err(`${field} is not base64`);
    }
    return ok(Buffer.from(value, "base64"));
}

/** Parses a key with its value and revision. */
export function parseEntry(value: unknown): Result<StoreEntry, string> {
    return asObject(value, "kv").andThen((kv) =>
        Result.combine([
            asBytes(kv.key, "kv.key"),
            asBytes(kv.value, "kv.value"),
            asInteger(kv.mod_revision, "kv.mod_revision"),
        ])
    ).map(([key, bytes, modRevision]) => ({ key: key.toString("utf8"), value: bytes, modRevision }));
}

/** Parses the answer to a range request. */
export function parseRange(answer: JsonObject): Result<StoreEntry[], string> {
    return asList(answer.kvs, "kvs").andThen((kvs) => Result.combine(kvs.map(parseEntry)));
}

/** Parses the revision of the store at the time of the answer. */
export function parseHeaderRevision(answer: JsonObject): Result<number, string> {
    return asObject(answer.header, "header")
        .andThen((header) => asInteger(header.revision, "header.revision"))
        .andThen((revision) => revision > 0 ? ok(revision) : err("header.revision is missing"));
}

/** Parses the answer to the transaction of {@link swapBody}. */
export function parseSwap(answer: JsonObject): Result<SwapOutcome, string> {
    if (answer.succeeded === true) {
        return parseHeaderRevision(answer).map((modRevision) => ({ swapped: true, modRevision }));
    }
    return asList(answer.responses, "responses")
        .andThen((responses) => asObject(responses[0], "responses[0]"))
        .andThen((response) => asObject(response.response_range, "responses[0].response_range"))
        .andThen(parseRange)
        .map((entries) => ({ swapped: false, current: entries[0] }));
}

/** Creates a transaction that runs `operation` if the key's revision is `expected`, and else reads the key. */
export function swapBody(key: string, expected: number, operation: JsonObject): JsonObject {
    const encoded = encodeKey(key);
    return {
        compare: [{ target: "MOD", result: "EQUAL", key: encoded, mod_revision: String(expected) }],
        success: [operation],
        failure: [{ request_range: { key: encoded } }],
    };
}
