/**
 * Limits of the router, with their units.
 *
 * @module
 */

/** Maximum size of the body of a caller's request, in bytes. */
export const maxBodyBytes = 16 * 1024 * 1024;

/** Maximum total size of the heads of callers' requests that are being read, in bytes. */
export const maxUnfinishedHeadBytes = 16 * 1024 * 1024;

/** Maximum number of open requests of one connection. Callers send one at a time, or a few ahead. */
export const maxPipelinedRequests = 64;

/** Maximum size of an answer that is buffered until it is complete, in bytes; larger ones are sent as received. */
export const maxBufferedAnswerBytes = 1024 * 1024;

/** Maximum number of attempts at one request, including the first one. */
export const maxAttempts = 4;

/** Maximum number of output tokens that a completion is charged for if the caller states none. */
export const defaultMaxOutputTokens = 1_024;

/** A connection with open exchanges is probed after this many milliseconds without a message from the agent. */
export const idleBeforeProbeMilliseconds = 2_000;

/** Milliseconds in which an agent must answer a probe. */
export const probeTimeoutMilliseconds = 2_000;

/** Milliseconds for which a stopping router still accepts requests, until the load balancer sees that it isn't ready. */
export const drainGraceMilliseconds = 1_000;

/** Milliseconds after its start for which a router that knows no roster of rate slots reports that it isn't ready. */
export const maxWaitForRosterMilliseconds = 800;

/** The same for a router that knows an incomplete roster, as in the first seconds of a new site. */
export const maxWaitForCompleteRosterMilliseconds = 10_000;
