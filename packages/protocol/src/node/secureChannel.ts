/**
 * TLS sockets that are authenticated at both ends by the fleet key.
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

/** Makes a server that accepts only peers which hold one of the keys. */
export function createSecureServer(keys: FleetKeys, onSocket: (socket: tls.TLSSocket) => void): tls.Server {
    const server = tls.createServer({
        ...commonOptions,
        handshakeTimeout: handshakeTimeoutMilliseconds,
        pskCallback: (_socket, identity) => keys.find((key) => key.identity === identity)?.secret ?? null, // eslint-disable-line no-restricted-syntax -- node:tls states null
    }, onSocket);
    // A failed handshake is the peer's fault; the socket is gone already.
    server.on("tlsClientError", () => {});
    return server;
}

/** Connects to a peer that must hold the first of the keys. */
export function connectSecurely(
    address: InnerAddress,
    keys: FleetKeys,
): ResultAsync<tls.TLSSocket, ProtocolError> {
    return ResultAsync.fromPromise(
        openSocket(address, keys),
        (error) =>
            protocolError(
                ProtocolErrorKind.ConnectFailed,
                `${address.host}:${address.port}: ${String(error)}`,
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
        socket.setTimeout(handshakeTimeoutMilliseconds, () => fail(new Error("the handshake timed out")));
        socket.once("error", fail);
        socket.once("secureConnect", () => {
            socket.setTimeout(0);
            socket.off("error", fail);
            resolve(socket);
        });
    });
}
