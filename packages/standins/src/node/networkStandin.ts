/**
 * Stand-in for the network between processes: a TCP relay for each link, which can be partitioned in one direction or
 * both. Data sent over a partitioned link is buffered and delivered once the link is healed, as with TCP over a network
 * that temporarily loses all packets.
 *
 * Control paths: `POST /control/cut {"from", "to", "direction": "both" | "forward" | "backward"}` partitions the links
 * from one process to another, `POST /control/heal` heals all links, and `GET /control/links` lists them.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { connect, createServer, type Server, type Socket } from "node:net";
import { HttpListener, pathOf, readJson, sendJson, standinHost } from "./httpListener.js";

/** The direction of a link in which no data is delivered. */
export enum PartitionDirection {
    Both = "both",
    /** Data from the process that connects. */
    Forward = "forward",
    /** Data to the process that connects. */
    Backward = "backward",
}

/** A link: `from` connects to `port`, and the relay connects to `to` on `targetPort`. */
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

/** A running network stand-in. */
export interface NetworkStandin {
    readonly controlAddress: string;
    stop(): Promise<void>;
}

interface PartitionRequest {
    readonly from: string;
    readonly to: string;
    readonly direction: PartitionDirection;
}

/** Starts a relay for each link, and the control listener. */
export async function startNetworkStandin(options: NetworkStandinOptions): Promise<NetworkStandin> {
    const relays = options.links.map((link) => new LinkRelay(link));
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
    relays: readonly LinkRelay[],
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    switch (`${request.method} ${pathOf(request)}`) {
        case "GET /control/links":
            break;
        case "POST /control/heal":
            relays.forEach((relay) => relay.setPartition(undefined));
            break;
        case "POST /control/cut":
            partitionLinks(relays, await readJson<PartitionRequest>(request));
            break;
        default:
            sendJson(response, 404, { message: "no such control path" });
            return;
    }
    sendJson(response, 200, relays.map((relay) => ({ ...relay.link, direction: relay.direction })));
}

function partitionLinks(relays: readonly LinkRelay[], partition: Partial<PartitionRequest>): void {
    const direction = Object.values(PartitionDirection).find((member) => member === partition.direction);
    const matchingRelays = relays.filter(({ link }) =>
        link.from === partition.from && link.to === partition.to
    );
    if (direction === undefined || matchingRelays.length === 0) {
        throw new Error(
            `no link from "${partition.from}" to "${partition.to}", or unknown direction "${partition.direction}"`,
        );
    }
    matchingRelays.forEach((relay) => relay.setPartition(direction));
}

interface RelayedConnection {
    readonly clientSocket: Socket;
    readonly targetSocket: Socket;
}

class LinkRelay {
    direction: PartitionDirection | undefined;
    private readonly connections = new Set<RelayedConnection>();
    private readonly server: Server;

    constructor(readonly link: NetworkLink) {
        this.server = createServer((clientSocket) => this.accept(clientSocket));
    }

    open(): Promise<void> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(this.link.port, standinHost, resolve);
        });
    }

    async close(): Promise<void> {
        const closed = new Promise((resolve) => this.server.close(resolve));
        this.connections.forEach(({ clientSocket, targetSocket }) =>
            [clientSocket, targetSocket].forEach((socket) => socket.destroy())
        );
        await closed;
    }

    /** Partitions the link in a direction, or heals it if `direction` is undefined. */
    setPartition(direction: PartitionDirection | undefined): void {
        this.direction = direction;
        this.connections.forEach((connection) => this.updateFlow(connection));
    }

    private accept(clientSocket: Socket): void {
        const targetSocket = connect(this.link.targetPort, standinHost);
        const connection = { clientSocket, targetSocket };
        this.connections.add(connection);
        this.forward(connection, clientSocket, targetSocket);
        this.forward(connection, targetSocket, clientSocket);
        this.updateFlow(connection);
    }

    private forward(connection: RelayedConnection, source: Socket, target: Socket): void {
        source.on("data", (data) => {
            if (!target.write(data)) {
                source.pause();
            }
        });
        target.on("drain", () => this.updateFlow(connection));
        source.on("error", () => target.destroy());
        source.on("end", () => target.end());
        source.on("close", () => {
            this.connections.delete(connection);
            target.destroy();
        });
    }

    private updateFlow({ clientSocket, targetSocket }: RelayedConnection): void {
        const { direction } = this;
        const isBlockedBothWays = direction === PartitionDirection.Both;
        setFlowing(clientSocket, !(isBlockedBothWays || direction === PartitionDirection.Forward));
        setFlowing(targetSocket, !(isBlockedBothWays || direction === PartitionDirection.Backward));
    }
}

function setFlowing(socket: Socket, isFlowing: boolean): void {
    if (isFlowing) {
        socket.resume();
    }
    else {
        socket.pause();
    }
}
