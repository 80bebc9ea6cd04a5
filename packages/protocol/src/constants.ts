/**
 * Limits of the inner protocol.
 *
 * @module
 */

/** Maximum size of a frame's payload; a longer frame is an error. */
export const maxFrameBytes = 2 * 1024 * 1024;

/** Size of the length field that precedes each frame's payload. */
export const frameHeaderBytes = 4;

/** Maximum size of a body part in one message, so that a long body does not delay other exchanges. */
export const bodyPartBytes = 64 * 1024;

/** Flow-control window of an answer: bytes that the agent may send before the router grants it more {@link Credit}. */
export const answerWindowBytes = 256 * 1024;

/** Timeout of a new connection's handshake. */
export const handshakeTimeoutMilliseconds = 2_000;
