/**
 * Errors of the inner protocol.
 *
 * @module
 */

/** What went wrong. */
export enum ProtocolErrorKind {
    /** A frame or a message does not have the shape that the protocol states. */
    Malformed = "malformed",
    /** The peer speaks no version that this process speaks. */
    UnsupportedVersion = "unsupportedVersion",
    /** No connection could be made; nothing was sent. */
    ConnectFailed = "connectFailed",
    /** The connection closed before the answer came. */
    Closed = "closed",
    /** The answer did not come in time. */
    Timeout = "timeout",
}

/** An error of the inner protocol, with a message for the log. */
export interface ProtocolError {
    readonly kind: ProtocolErrorKind;
    readonly message: string;
}

/** Makes a {@link ProtocolError}. */
export function protocolError(kind: ProtocolErrorKind, message: string): ProtocolError {
    return { kind, message };
}
