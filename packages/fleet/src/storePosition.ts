/**
 * Positions in the history of the store. A store that was restored from a copy gives out revisions again, so revisions are
 * comparable only within an era, which rises by one with each restoration. A position is a safe integer that orders by era
 * and then by revision; in the first era it equals the revision.
 *
 * @module
 */

/** Era of a store that was never restored. */
export const firstEra = 1;

/** Revisions are below this number; positions of up to 4,096 eras are safe integers. */
const revisionsPerEra = 2 ** 41;

/** Position of a revision of an era. */
export function storePosition(era: number, revision: number): number {
    return Math.max(0, era - firstEra) * revisionsPerEra + revision;
}

/** Era of a position. */
export function eraOf(position: number): number {
    return firstEra + Math.floor(position / revisionsPerEra);
}

/** Revision of a position within its era. */
export function revisionOf(position: number): number {
    return position % revisionsPerEra;
}
