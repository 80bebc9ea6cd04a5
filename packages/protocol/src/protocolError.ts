/**
 * Errors of the inner protocol.
 *
 * @module
 */

/** Kinds of protocol errors. */
export enum ProtocolErrorKind {
    /** A frame or a message does not have the shape that the protocol requires. */
    Malformed = "malformed",
    /** The peer supports no protocol version that this process supports. */
    UnsupportedVersion = "unsupportedVersion",
    /** No connection was established; nothing was sent. */
    ConnectFailed = "connectFailed",
    /** The connection closed before the answer arrived. */
    Closed = "closed",
    /** The answer did not arrive in time. */
    Timeout = "timeout",
}

/** An error of the inner protocol, with a message for the log. */
export interface ProtocolError {
    readonly kind: ProtocolErrorKind;
    readonly message: string;
}

export function protocolError(kind: ProtocolErrorKind, message: string): ProtocolError {
    return { kind, message };
}
