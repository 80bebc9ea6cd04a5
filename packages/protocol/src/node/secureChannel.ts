/**
 * TLS sockets whose ends authenticate each other with the fleet key.
 *
 * @module
 */
import { ResultAsync } from "neverthrow";
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

const commonOptions = { ciphers: cipher, minVersion: "TLSv1.2", maxVersion: "TLSv1.2" } as const;

/** Creates a server that accepts only peers with one of the keys. */
export function createSecureServer(keys: FleetKeys, onSocket: (socket: tls.TLSSocket) => void): tls.Server {
    const server = tls.createServer({
        ...commonOptions,
        handshakeTimeout: handshakeTimeoutMilliseconds,
        pskCallback: (_socket, identity) => keys.find((key) => key.identity === identity)?.secret ?? null, // eslint-disable-line no-restricted-syntax -- node:tls states null
    }, onSocket);
    // Errors of a handshake are the peer's; Node has destroyed the socket already.
    server.on("tlsClientError", () => {});
    return server;
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
