/**
 * Callers' credentials: found in a request, looked up by digest, and kept from every endpoint.
 *
 * @module
 */
import { RefusalReason, sha256Hex } from "@redwingpin/common";
import type { ClientAccount, ManifestIndex } from "@redwingpin/manifest";
import type { HeaderField } from "@redwingpin/protocol";
import { err, ok, type Result } from "neverthrow";
import { notRun, type Refusal } from "./refusal.js";

/** Header fields that endpoints receive. Everything else a caller sends stays in the router. */
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

/** The key that a request carries as a bearer token, or `undefined` where it carries none. */
export function findKey(authorization: string | undefined): Result<string | undefined, Refusal> {
    if (authorization === undefined) {
        return ok(undefined);
    }
    const key = bearerPattern.exec(authorization)?.[1];
    return key === undefined
        ? err(notRun(RefusalReason.UnknownKey, "the authorization header holds no bearer token"))
        : ok(key);
}

/** The account that holds a key, or `undefined` where no key was sent. */
export function authenticate(
    index: ManifestIndex,
    key: string | undefined,
): Result<ClientAccount | undefined, Refusal> {
    if (key === undefined) {
        return ok(undefined);
    }
    const account = index.accountOfKey(sha256Hex(key));
    return account === undefined
        ? err(notRun(RefusalReason.UnknownKey, "the key is not known or has been withdrawn"))
        : ok(account);
}

/** The header fields that go to the endpoint. Fields whose value holds the key are dropped. */
export function headersForEndpoint(headers: readonly HeaderField[], key: string | undefined): HeaderField[] {
    return headers
        .filter((header) => forwardedHeaders.has(header.name))
        .filter((header) => key === undefined || !header.value.includes(key));
}

/** Refuses a request whose path or body holds the caller's key, since both go to the endpoint. */
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
                "the path or query holds the caller's key; send it only as a bearer token",
            ),
        );
    }
    if (body.includes(key)) {
        return err(
            notRun(
                RefusalReason.MalformedRequest,
                "the body holds the caller's key; send it only as a bearer token",
            ),
        );
    }
    return ok(undefined);
}
