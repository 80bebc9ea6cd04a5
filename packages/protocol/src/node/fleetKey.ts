/**
 * The fleet key: both ends of an inner connection authenticate with it, by TLS with a pre-shared key.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { createHash } from "node:crypto";

/** Minimum length of a fleet key. */
export const minFleetKeyCharacters = 16;

const identityDigits = 16;

/** A pre-shared key with the identity under which it is offered. The identity does not reveal the key. */
export interface FleetKey {
    readonly identity: string;
    readonly secret: Buffer;
}

/** Keys that a process accepts; it offers the first. There are two while a fleet rotates its key. */
export type FleetKeys = readonly [FleetKey, ...FleetKey[]];

/** Parses one or more fleet keys, separated by commas. */
export function parseFleetKeys(text: string): Result<FleetKeys, string> {
    const keys = text.split(",").map((key) => key.trim());
    if (keys.some((key) => key.length < minFleetKeyCharacters)) {
        return err(`each fleet key must have at least ${minFleetKeyCharacters} characters`);
    }
    const [first, ...rest] = keys.map(deriveFleetKey);
    return ok([first, ...rest]);
}

function deriveFleetKey(key: string): FleetKey {
    const digest = (purpose: string) =>
        createHash("sha256").update(`redwingpin ${purpose} `).update(key).digest();
    return {
        identity: digest("identity").toString("hex").slice(0, identityDigits),
        secret: digest("secret"),
    };
}
