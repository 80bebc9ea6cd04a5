/**
 * Bounds of the platform's clients, with their units.
 *
 * @module
 */

/** Largest value that the store holds. */
export const maximumValueBytes = 1_048_576;

/** Time after which a call without an answer is given up. */
export const defaultRequestTimeoutMilliseconds = 2_000;

/** Time after which a waiting watch is renewed, so that a connection that died silently is noticed. */
export const defaultWatchRenewMilliseconds = 60_000;

/** First pause before a broken watch is opened again; doubles with each failure. */
export const watchBackoffMilliseconds = 100;

/** Longest pause before a broken watch is opened again. */
export const maximumWatchBackoffMilliseconds = 5_000;

/** Connections to one platform address that a process opens at most. */
export const maximumConnections = 32;

/** Largest answer that is read. */
export const maximumAnswerBytes = 64 * 1_048_576;
