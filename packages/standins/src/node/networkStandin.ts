/**
 * Stand-in for the network between processes: a TCP relay for each link, which can be cut in one or both directions.
 * What is sent over a cut link is held back and arrives once it is healed, as with TCP over a network that loses
 * every packet for a time.
 *
 * Controls: `POST /control/cut {"from", "to", "direction": "both" | "forward" | "backward"}`, `POST /control/heal` and
 * `GET /control/links`.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { connect, createServer, type Server, type Socket } from "node:net";
import { HttpListener, pathOf, readJson, sendJson, standinHost } from "./httpListener.js";

/** Which direction of a link is cut. */
export enum CutDirection {
    Both = "both",
    /** From the process that connects. */
    Forward = "forward",
    /** To the process that connects. */
    Backward = "backward",
}

/** One link: `from` connects to `port` and reaches `to` on `targetPort`. */
export interface NetworkLink {
    readonly from: string;
    readonly to: string;
    readonly port: number;
    readonly targetPort: number;
}

/** Options of {@link startNetworkStandin}. */
export interface NetworkStandinOptions {
    readonly links: readonly NetworkLink[];
    /** @default 0 */
    readonly controlPort?: number;
}

/** A running network. */
export interface NetworkStandin {
    readonly controlAddress: string;
    stop(): Promise<void>;
}

interface CutRequest {
    readonly from: string;
    readonly to: string;
    readonly direction: CutDirection;
}

/** Starts every relay. */
export async function startNetworkStandin(options: NetworkStandinOptions): Promise<NetworkStandin> {
    const relays = options.links.map((link) => new Relay(link));
    await Promise.all(relays.map((relay) => relay.open()));
    const control = new HttpListener(
        options.controlPort ?? 0,
        (request, response) => serveControl(relays, request, response),
    );
    await control.open();
    return {
        controlAddress: control.address,
        stop: async () => {
            await Promise.all(relays.map((relay) => relay.close()));
            await control.close();
        },
    };
}

async function serveControl(
    relays: readonly Relay[],
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    switch (`${request.method} ${pathOf(request)}`) {
        case "GET /control/links":
            break;
        case "POST /control/heal":
            relays.forEach((relay) => relay.cut(undefined));
            break;
        case "POST /control/cut":
            cutLinks(relays, await readJson<CutRequest>(request));
            break;
        default:
            sendJson(response, 404, { message: "no such control" });
            return;
    }
    sendJson(response, 200, relays.map((relay) => ({ ...relay.link, direction: relay.direction })));
}

function cutLinks(relays: readonly Relay[], cut: Partial<CutRequest>): void {
    const direction = Object.values(CutDirection).find((member) => member === cut.direction);
    const chosen = relays.filter(({ link }) => link.from === cut.from && link.to === cut.to);
    if (direction === undefined || chosen.length === 0) {
        throw new Error(
            `no link leads from "${cut.from}" to "${cut.to}", or direction "${cut.direction}" does not exist`,
        );
    }
    chosen.forEach((relay) => relay.cut(direction));
}

/** One relayed connection. */
interface RelayedConnection {
    readonly near: Socket;
    readonly far: Socket;
}

class Relay {
    direction: CutDirection | undefined;
    private readonly connections = new Set<RelayedConnection>();
    private readonly server: Server;

    constructor(readonly link: NetworkLink) {
        this.server = createServer((near) => this.accept(near));
    }

    open(): Promise<void> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(this.link.port, standinHost, resolve);
        });
    }

    async close(): Promise<void> {
        const closed = new Promise((resolve) => this.server.close(resolve));
        this.connections.forEach(({ near, far }) => [near, far].forEach((socket) => socket.destroy()));
        await closed;
    }

    /** Cuts the link, or heals it. */
    cut(direction: CutDirection | undefined): void {
        this.direction = direction;
        this.connections.forEach((connection) => this.hold(connection));
    }

    private accept(near: Socket): void {
        const far = connect(this.link.targetPort, standinHost);
        const connection = { near, far };
        this.connections.add(connection);
        this.relay(connection, near, far);
        this.relay(connection, far, near);
        this.hold(connection);
    }

    private relay(connection: RelayedConnection, source: Socket, target: Socket): void {
        source.on("data", (data) => {
            if (!target.write(data)) {
                source.pause();
            }
        });
        target.on("drain", () => this.hold(connection));
        source.on("error", () => target.destroy());
        source.on("end", () => target.end());
        source.on("close", () => {
            this.connections.delete(connection);
            target.destroy();
        });
    }

    private hold({ near, far }: RelayedConnection): void {
        const { direction } = this;
        const both = direction === CutDirection.Both;
        setReading(near, !(both || direction === CutDirection.Forward));
        setReading(far, !(both || direction === CutDirection.Backward));
    }
}

function setReading(socket: Socket, reads: boolean): void {
    if (reads) {
        socket.resume();
    }
    else {
        socket.pause();
    }
}
