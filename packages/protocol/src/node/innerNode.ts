/**
 * A process's place on the inner network: it listens for peers and keeps at most one dialled connection to each
 * address.
 *
 * @module
 */
import type { Clock, Logger } from "@redwingpin/common";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { AddressInfo } from "node:net";
import type { Server } from "node:tls";
import {
    type Hello,
    MessageKind,
    type ProcessRole,
    protocolVersion,
    type Topic,
    type TopicMessage,
} from "../messages.js";
import { type ProtocolError, protocolError, ProtocolErrorKind } from "../protocolError.js";
import { Connection, type ConnectionContext, type ExchangeMessage, type Traffic } from "./connection.js";
import type { FleetKeys } from "./fleetKey.js";
import { connectSecurely, createSecureServer, type InnerAddress } from "./secureChannel.js";

/** Answers messages on one topic. */
export type TopicHandler = (body: unknown, from: Hello) => Promise<unknown>;

/** Options of {@link InnerNode}. */
export interface InnerNodeOptions {
    readonly role: ProcessRole;
    readonly instance: string;
    /** Differs at each start of the process. */
    readonly incarnation: string;
    readonly fleetKeys: FleetKeys;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Revision of the configuration in force at this process; 0 for none. */
    readonly revision: () => number;
    /** Receives every revision that a peer's message carries. */
    readonly onRevision: (peer: Hello, revision: number) => void;
    /** Receives messages of exchanges and endpoints' status. */
    readonly onMessage: (connection: Connection, message: ExchangeMessage) => void;
    readonly onClosed: (connection: Connection) => void;
    /**
     * Called with each connection once both ends have said Hello.
     * @default nothing is done
     */
    readonly onConnected?: (connection: Connection) => void;
}

/** Listens, dials and hands messages to their topic or exchange. */
export class InnerNode {
    private readonly dialled = new Map<string, Promise<Result<Connection, ProtocolError>>>();
    private readonly addresses = new Map<Connection, InnerAddress>();
    private readonly connections = new Set<Connection>();
    private readonly topics = new Map<Topic, TopicHandler>();
    private readonly context: ConnectionContext;
    /** Bytes carried since the start. */
    readonly traffic: Traffic = { sentBytes: 0, receivedBytes: 0 };
    private server: Server | undefined;

    constructor(private readonly options: InnerNodeOptions) {
        this.context = {
            clock: options.clock,
            hello: () => this.hello(),
            traffic: this.traffic,
            handler: {
                onMessage: options.onMessage,
                onTopic: (connection, message) => this.answerTopic(connection, message),
                onRevision: (connection, revision) => options.onRevision(connection.peer, revision),
                onClosed: (connection) => this.forget(connection),
            },
        };
    }

    /** Sets the handler of a topic. */
    handle(topic: Topic, handler: TopicHandler): void {
        this.topics.set(topic, handler);
    }

    /** Starts to listen; resolves with the port, which differs from the given one only where that is 0. */
    listen(host: string, port: number): Promise<number> {
        const server = createSecureServer(this.options.fleetKeys, (socket) => {
            void Connection.start(socket, this.context).map((connection) => this.register(connection));
        });
        this.server = server;
        return new Promise((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, host, () => resolve((server.address() as AddressInfo).port));
        });
    }

    /** The connection to an address, dialled if there is none. */
    connect(address: InnerAddress): ResultAsync<Connection, ProtocolError> {
        const name = `${address.host}:${address.port}`;
        let connection = this.dialled.get(name);
        if (connection === undefined) {
            connection = this.dial(address, name);
            this.dialled.set(name, connection);
        }
        return new ResultAsync(connection);
    }

    /** Uses an accepted connection for calls to the address at which its peer listens, where none was dialled. */
    adopt(peer: Hello, address: InnerAddress): void {
        const name = `${address.host}:${address.port}`;
        if (this.dialled.has(name)) {
            return;
        }
        const connection = [...this.connections].find((candidate) => candidate.peer === peer);
        if (connection !== undefined && !this.addresses.has(connection)) {
            this.addresses.set(connection, address);
            this.dialled.set(name, Promise.resolve(ok(connection)));
        }
    }

    /** Calls a topic at an address; the answer's shape is for the caller to check. */
    call(
        address: InnerAddress,
        topic: Topic,
        body: unknown,
        timeoutMilliseconds: number,
    ): ResultAsync<unknown, ProtocolError> {
        return this.connect(address).andThen((connection) =>
            connection.call(topic, body, timeoutMilliseconds)
        );
    }

    /** Sends a message on a topic to an address, without an answer; it is dropped where no connection can be made. */
    notify(address: InnerAddress, topic: Topic, body: unknown): void {
        void this.connect(address).map((connection) => connection.notify(topic, body));
    }

    /** Every open connection. */
    openConnections(): readonly Connection[] {
        return [...this.connections];
    }

    /** Stops listening and closes every connection. */
    stop(): void {
        this.server?.close();
        for (const connection of [...this.connections]) {
            connection.close();
        }
    }

    private async dial(address: InnerAddress, name: string): Promise<Result<Connection, ProtocolError>> {
        const result = await connectSecurely(address, this.options.fleetKeys)
            .andThen((socket) => Connection.start(socket, this.context));
        if (result.isErr()) {
            this.dialled.delete(name);
            return err(result.error);
        }
        if (result.value.isClosed) {
            this.dialled.delete(name);
            return err(
                protocolError(
                    ProtocolErrorKind.Closed,
                    `the connection to ${name} closed during the handshake`,
                ),
            );
        }
        this.addresses.set(result.value, address);
        this.register(result.value);
        return ok(result.value);
    }

    private register(connection: Connection): void {
        if (!connection.isClosed) {
            this.connections.add(connection);
            this.options.onConnected?.(connection);
        }
    }

    private forget(connection: Connection): void {
        this.connections.delete(connection);
        const address = this.addresses.get(connection);
        if (address !== undefined) {
            this.addresses.delete(connection);
            this.dialled.delete(`${address.host}:${address.port}`);
        }
        this.options.onClosed(connection);
    }

    private async answerTopic(connection: Connection, message: TopicMessage): Promise<unknown> {
        const handler = this.topics.get(message.topic);
        if (handler === undefined) {
            return {
                error: `topic "${message.topic}" has no handler at instance "${this.options.instance}"`,
            };
        }
        try {
            return await handler(message.body, connection.peer);
        }
        catch (error) {
            this.options.logger.error("a topic's handler failed", {
                topic: message.topic,
                error: String(error),
            });
            return { error: `topic "${message.topic}" failed at instance "${this.options.instance}"` };
        }
    }

    private hello(): Hello {
        return {
            kind: MessageKind.Hello,
            version: protocolVersion,
            role: this.options.role,
            instance: this.options.instance,
            incarnation: this.options.incarnation,
            revision: this.options.revision(),
        };
    }
}
