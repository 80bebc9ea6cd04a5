/**
 * Limits and timeouts of the platform's clients.
 *
 * @module
 */

/** Maximum size of a value in the store. */
export const maximumValueBytes = 1_048_576;

/** Time after which a call without an answer fails. */
export const defaultRequestTimeoutMilliseconds = 2_000;

/** Time after which a watch reconnects, so that a connection that was lost without an error is detected. */
export const defaultWatchRenewMilliseconds = 60_000;

/** Maximum delay before a watch reconnects after its first failure. Each further failure doubles it. */
export const initialWatchBackoffMilliseconds = 100;

/** Maximum delay before a watch reconnects, after any number of failures. */
export const maximumWatchBackoffMilliseconds = 5_000;

/** Maximum number of connections of a client to its platform address. */
export const maximumConnections = 32;

/** Maximum size of an answer. */
export const maximumAnswerBytes = 64 * 1_048_576;
