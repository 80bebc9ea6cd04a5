/**
 * Pool of connections to one endpoint through Node's HTTP client. Undici is not used, since it accepts two kinds of truncated
 * answers as complete: a chunked answer that ends before its last chunk, if the endpoint announced that it will close
 * the connection; and an answer without a length that ends with a reset. Node's client detects both.
 *
 * @module
 */
import { Agent, type AgentOptions, type ClientRequest, type IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";

/**
 * Idle connections are closed after this time, or earlier if the endpoint states a shorter one. The time is short since a
 * call that may not be repeated is lost if its endpoint died while the connection was idle.
 */
const idleTimeMilliseconds = 1_000;

/** Connections are not reused in this last part of the endpoint's keep-alive time. */
const idleMarginMilliseconds = 300;

const keepAlivePattern = /timeout=(\d+)/i;
const millisecondsPerSecond = 1_000;

/** Maximum number of idle connections to one endpoint. */
const maxIdleConnections = 8;

/** Keeps connections to one endpoint alive, and closes an idle one on which data arrives. */
export class EndpointAgent extends Agent {
    private readonly strayDataListeners = new WeakMap<Duplex, () => void>();

    constructor(options: AgentOptions) {
        super({ ...options, keepAlive: true, scheduling: "lifo", maxFreeSockets: maxIdleConnections });
    }

    override keepSocketAlive(socket: Duplex): boolean {
        const idle = idleTime(socket);
        if (idle <= 0) {
            return false;
        }
        const kept = super.keepSocketAlive(socket) as unknown as boolean;
        (socket as Socket).setTimeout(idle);
        // No request is pending on an idle connection, so the data belongs to none.
        const onStrayData = () => void socket.destroy();
        this.strayDataListeners.set(socket, onStrayData);
        socket.on("data", onStrayData);
        return kept;
    }

    override reuseSocket(socket: Duplex, request: ClientRequest): void {
        const onStrayData = this.strayDataListeners.get(socket);
        if (onStrayData !== undefined) {
            socket.off("data", onStrayData);
        }
        (socket as Socket).setTimeout(0);
        super.reuseSocket(socket, request);
    }
}

function idleTime(socket: Duplex): number {
    const answer = (socket as { _httpMessage?: { res?: IncomingMessage; }; })._httpMessage?.res;
    const stated = keepAlivePattern.exec(String(answer?.headers["keep-alive"] ?? ""));
    const limit = stated === null // eslint-disable-line no-restricted-syntax -- RegExp.exec returns null
        ? idleTimeMilliseconds
        : Number(stated[1]) * millisecondsPerSecond - idleMarginMilliseconds;
    return Math.min(idleTimeMilliseconds, limit);
}
