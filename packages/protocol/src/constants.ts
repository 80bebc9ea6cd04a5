/**
 * Limits of the inner protocol.
 *
 * @module
 */

/** Largest frame that is sent or accepted, in bytes of its payload. */
export const maxFrameBytes = 2 * 1024 * 1024;

/** Bytes of the length that precedes each frame. */
export const frameHeaderBytes = 4;

/** Bytes of a request's or an answer's body in one message, so that a long body does not hold up other exchanges. */
export const bodyPartBytes = 64 * 1024;

/** Bytes of an answer that may be on their way to a router beyond what its caller has taken. */
export const answerWindowBytes = 256 * 1024;

/** Milliseconds within which a new connection must complete its handshake. */
export const handshakeTimeoutMilliseconds = 2_000;
