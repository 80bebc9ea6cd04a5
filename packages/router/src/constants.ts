/**
 * Limits of the router, with their units.
 *
 * @module
 */

/** Largest body of a caller's request, in bytes. */
export const maxBodyBytes = 16 * 1024 * 1024;

/** Largest answer that is held back until it is complete, in bytes; longer ones are passed on as they come. */
export const maxHeldAnswerBytes = 1024 * 1024;

/** Most attempts at one request, the first included. */
export const maxAttempts = 4;

/** Tokens that a completion is charged where the caller states no limit. */
export const defaultMaxOutputTokens = 1_024;

/** Milliseconds of silence on an exchange after which its agent is asked whether it lives. */
export const silenceBeforeProbeMilliseconds = 2_000;

/** Milliseconds in which an agent must answer that it lives. */
export const probeTimeoutMilliseconds = 2_000;

/** Milliseconds for which a stopping router still takes requests, so that the balancer sees that it is not ready. */
export const drainGraceMilliseconds = 1_000;

/** Milliseconds after its start for which a router that finds no roster of rate slots says that it is not ready. */
export const maxWaitForRosterMilliseconds = 800;

/** The same where a roster is known that is not complete, as in the first seconds of a new site. */
export const maxWaitForRatesMilliseconds = 10_000;
