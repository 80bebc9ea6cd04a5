/**
 * Finds the engine's own count of cached prompt tokens in its answer, or in the usage event of a streamed answer.
 *
 * @module
 */

const field = '"cached_tokens"';
const pattern = /"cached_tokens"\s*:\s*(\d{1,9})/;

/** The count of cached tokens in a part of an answer; `undefined` if it contains none. */
export function findCachedTokens(part: Buffer): number | undefined {
    const start = part.lastIndexOf(field);
    if (start < 0) {
        return undefined;
    }
    const match = pattern.exec(part.subarray(start).toString("utf8"));
    return match ? Number(match[1]) : undefined;
}
