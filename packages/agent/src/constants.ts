/**
 * Limits of the agent.
 *
 * @module
 */

/** Largest body of a request, in bytes; the router's limit is the same. */
export const maxBodyBytes = 16 * 1024 * 1024;

/** Milliseconds for which an agent that has ended its work still declines requests before it closes its connections. */
export const drainLingerMilliseconds = 1_000;
