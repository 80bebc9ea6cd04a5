/**
 * Names of the parts of a prompt that may crash endpoints whatever else a request holds.
 *
 * @module
 */
import { digestOf } from "@redwingpin/common";
import type { PromptPart } from "../headerCodec.js";

/** Maximum number of parts of a prompt that are examined. */
const maxParts = 64;

/** Longer identifiers of parts are replaced by a digest. */
const maxIdentifierLength = 32;

/**
 * Names of the parts that a prompt may have in common with others: all but the last, which belongs to the request itself.
 */
export function sharedParts(parts: readonly PromptPart[]): string[] {
    return parts.slice(0, -1).slice(0, maxParts).map(({ identifier }) =>
        identifier.length <= maxIdentifierLength
            ? identifier
            : digestOf(identifier).slice(0, maxIdentifierLength)
    );
}
