/**
 * Limits of the agent.
 *
 * @module
 */

/** Maximum size of a request's body, in bytes; the router's limit is the same. */
export const maxBodyBytes = 16 * 1024 * 1024;

/** Milliseconds for which a drained agent still declines requests before it closes its connections. */
export const drainGraceMilliseconds = 1_000;
