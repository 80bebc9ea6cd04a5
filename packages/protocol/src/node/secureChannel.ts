/**
 * TLS sockets whose ends authenticate each other with the fleet key.
 *
 * @module
 */
import { BoundedConnections, type Clock, type ClosedConnectionReason, type Logger } from "@redwingpin/common";
import { ResultAsync } from "neverthrow";
import type { Socket } from "node:net";
import * as tls from "node:tls";
import { handshakeTimeoutMilliseconds } from "../constants.js";
import { type ProtocolError, protocolError, ProtocolErrorKind } from "../protocolError.js";
import type { FleetKeys } from "./fleetKey.js";

const cipher = "ECDHE-PSK-CHACHA20-POLY1305";

/** Address of a process on the inner network. */
export interface InnerAddress {
    readonly host: string;
    readonly port: number;
}

/** Dependencies of {@link createSecureServer}. */
export interface SecureServerContext {
    readonly clock: Clock;
    readonly logger: Logger;
    /** Called for each connection that is closed before its handshake since there are too many. */
    readonly onHandshakeClosed?: (reason: ClosedConnectionReason) => void;
}

const commonOptions = { ciphers: cipher, minVersion: "TLSv1.2", maxVersion: "TLSv1.2" } as const;

/**
 * Maximum number of connections that have not been authenticated. Beyond it, the one without progress for longest is closed: a
 * peer's handshake takes some round trips, and a peer whose connection fails tries again.
 */
export const maxHandshakes = 256;

/** Unlimited: handshakes have no requests, and end after {@link handshakeTimeoutMilliseconds}. */
const handshakeLimits = {
    maxConnections: maxHandshakes,
    maxUnfinishedBytes: Infinity,
    maxPipelined: Infinity,
};

/** Creates a server that accepts only peers with one of the keys. */
export function createSecureServer(
    keys: FleetKeys,
    context: SecureServerContext,
    onSocket: (socket: tls.TLSSocket) => void,
): tls.Server {
    const handshakes = new BoundedConnections({
        ...context,
        clients: "the inner port",
        limits: handshakeLimits,
        onClosed: (reason) => context.onHandshakeClosed?.(reason),
    });
    /** Connections that have not been authenticated, by the port of the client. */
    const unknown = new Map<string, Socket>();
    const server = tls.createServer({
        ...commonOptions,
        handshakeTimeout: handshakeTimeoutMilliseconds,
        pskCallback: (_socket, identity) => keys.find((key) => key.identity === identity)?.secret ?? null, // eslint-disable-line no-restricted-syntax -- node:tls states null
    }, (socket) => {
        const connection = unknown.get(clientOf(socket));
        if (connection !== undefined) {
            handshakes.release(connection);
        }
        onSocket(socket);
    });
    server.on("connection", (connection: Socket) => {
        const client = clientOf(connection);
        unknown.set(client, connection);
        connection.once("close", () => unknown.delete(client));
        handshakes.add(connection);
    });
    // Errors of a handshake are the peer's; Node has destroyed the socket already.
    server.on("tlsClientError", () => {});
    return server;
}

/** Address and port of a connection's client. */
function clientOf({ remoteAddress, remotePort }: Socket): string {
    return `${remoteAddress}:${remotePort}`;
}

/** Connects to a peer, which must accept the first of the keys. */
export function connectSecurely(
    address: InnerAddress,
    keys: FleetKeys,
): ResultAsync<tls.TLSSocket, ProtocolError> {
    return ResultAsync.fromPromise(
        openSocket(address, keys),
        (error) =>
            protocolError(
                ProtocolErrorKind.ConnectFailed,
                `failed to connect to ${address.host}:${address.port}: ${String(error)}`,
            ),
    );
}

function openSocket(address: InnerAddress, [key]: FleetKeys): Promise<tls.TLSSocket> {
    return new Promise((resolve, reject) => {
        const socket = tls.connect({
            ...commonOptions,
            host: address.host,
            port: address.port,
            pskCallback: () => ({ psk: key.secret, identity: key.identity }),
            checkServerIdentity: () => undefined,
        });
        const fail = (error: Error) => {
            socket.destroy();
            reject(error);
        };
        socket.setTimeout(handshakeTimeoutMilliseconds, () => fail(new Error("TLS handshake timed out")));
        socket.once("error", fail);
        socket.once("secureConnect", () => {
            socket.setTimeout(0);
            socket.off("error", fail);
            resolve(socket);
        });
    });
}
