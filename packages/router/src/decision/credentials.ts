/**
 * Callers' credentials: reads the key of a request, looks it up by digest and keeps it from the endpoints.
 *
 * @module
 */
import { RefusalReason, sha256Hex } from "@redwingpin/common";
import type { ClientAccount, ManifestIndex } from "@redwingpin/manifest";
import type { HeaderField } from "@redwingpin/protocol";
import { err, ok, type Result } from "neverthrow";
import { notRun, type Refusal } from "./refusal.js";

/** Header fields that are forwarded to endpoints; all others are dropped. */
const forwardedHeaders: ReadonlySet<string> = new Set([
    "accept",
    "accept-language",
    "content-encoding",
    "content-language",
    "content-type",
    "idempotency-key",
    "if-match",
    "if-none-match",
    "if-modified-since",
    "if-unmodified-since",
    "range",
    "user-agent",
    "x-request-id",
]);

const bearerPattern = /^bearer +(\S+) *$/i;

/** The key that a request has as its bearer token; `undefined` if it has no authorization header. */
export function readBearerKey(authorization: string | undefined): Result<string | undefined, Refusal> {
    if (authorization === undefined) {
        return ok(undefined);
    }
    const key = bearerPattern.exec(authorization)?.[1];
    return key === undefined
        ? err(notRun(RefusalReason.UnknownKey, "the authorization header has no bearer token"))
        : ok(key);
}

/** The account that a key belongs to; `undefined` if the request has no key. */
export function authenticate(
    index: ManifestIndex,
    key: string | undefined,
): Result<ClientAccount | undefined, Refusal> {
    if (key === undefined) {
        return ok(undefined);
    }
    const account = index.accountOfKey(sha256Hex(key));
    return account === undefined
        ? err(notRun(RefusalReason.UnknownKey, "the key is unknown or was withdrawn"))
        : ok(account);
}

/** The header fields that are forwarded to the endpoint. Fields whose value contains the key are dropped. */
export function headersForEndpoint(headers: readonly HeaderField[], key: string | undefined): HeaderField[] {
    return headers
        .filter((header) => forwardedHeaders.has(header.name))
        .filter((header) => key === undefined || !header.value.includes(key));
}

/** Refuses a request whose path or body contains the caller's key, because both are forwarded to the endpoint. */
export function refuseKeyInContent(
    key: string | undefined,
    path: string,
    body: Buffer,
): Result<void, Refusal> {
    if (key === undefined) {
        return ok(undefined);
    }
    if (path.includes(key) || path.includes(encodeURIComponent(key))) {
        return err(
            notRun(
                RefusalReason.MalformedRequest,
                "the path or query contains the caller's key; send it only as a bearer token",
            ),
        );
    }
    if (body.includes(key)) {
        return err(
            notRun(
                RefusalReason.MalformedRequest,
                "the body contains the caller's key; send it only as a bearer token",
            ),
        );
    }
    return ok(undefined);
}
