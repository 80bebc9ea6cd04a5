/**
 * Limits of the agent.
 *
 * @module
 */

/** Largest body of a request, in bytes; the router's limit is the same. */
export const maxBodyBytes = 16 * 1024 * 1024;
