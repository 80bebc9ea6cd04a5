/**
 * The inner connections of a process: it listens for peers and uses one connection for its calls to each address.
 *
 * @module
 */
import { type Clock, type ClosedConnectionReason, listenOn, type Logger } from "@redwingpin/common";
import { err, ok, type Result, ResultAsync } from "neverthrow";
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
import {
    Connection,
    type ConnectionContext,
    type ExchangeMessage,
    type TrafficCounters,
} from "./connection.js";
import type { FleetKeys } from "./fleetKey.js";
import { connectSecurely, createSecureServer, type InnerAddress } from "./secureChannel.js";

/** Handles the messages on one topic; resolves with the answer. */
export type TopicHandler = (body: unknown, from: Hello) => Promise<unknown>;

/** Options of {@link InnerNode}. */
export interface InnerNodeOptions {
    readonly role: ProcessRole;
    readonly instance: string;
    /** Unique for each start of the process. */
    readonly incarnation: string;
    readonly fleetKeys: FleetKeys;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Revision of the configuration in force in this process; 0 for none. */
    readonly revision: () => number;
    /** Called with the revision of a peer's configuration for each message that contains one. */
    readonly onRevision: (peer: Hello, revision: number) => void;
    /** Called with each message that is neither a Hello nor on a topic. */
    readonly onMessage: (connection: Connection, message: ExchangeMessage) => void;
    readonly onClosed: (connection: Connection) => void;
    /**
     * Called with each connection after its handshake.
     * @default no callback
     */
    readonly onConnected?: (connection: Connection) => void;
    /**
     * Called for each connection that is closed before its handshake since there are too many.
     * @default no callback
     */
    readonly onHandshakeClosed?: (reason: ClosedConnectionReason) => void;
}

/** Accepts and opens inner connections, and dispatches their messages to the topics' handlers or to `onMessage`. */
export class InnerNode {
    private readonly connectionsByAddress = new Map<string, Promise<Result<Connection, ProtocolError>>>();
    /** Address for whose calls each connection is used; a connection that was only accepted has none. */
    private readonly addressesByConnection = new Map<Connection, InnerAddress>();
    private readonly connections = new Set<Connection>();
    private readonly topicHandlers = new Map<Topic, TopicHandler>();
    private readonly context: ConnectionContext;
    /** Traffic since the start of the process. */
    readonly traffic: TrafficCounters = { sentBytes: 0, receivedBytes: 0 };
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
                onClosed: (connection) => this.removeConnection(connection),
            },
        };
    }

    /** Sets the handler of a topic. */
    handle(topic: Topic, handler: TopicHandler): void {
        this.topicHandlers.set(topic, handler);
    }

    /** Starts to listen; resolves with the port, which differs from the given one only if that is 0. */
    listen(host: string, port: number): Promise<number> {
        const server = createSecureServer(this.options.fleetKeys, this.options, (socket) => {
            void Connection.start(socket, this.context).map((connection) => this.register(connection));
        });
        this.server = server;
        return listenOn(server, host, port, this.options);
    }

    /** Returns the connection to an address, and opens one if there is none. */
    connect(address: InnerAddress): ResultAsync<Connection, ProtocolError> {
        const key = `${address.host}:${address.port}`;
        let connection = this.connectionsByAddress.get(key);
        if (connection === undefined) {
            connection = this.openConnection(address, key);
            this.connectionsByAddress.set(key, connection);
        }
        return new ResultAsync(connection);
    }

    /** Uses an accepted connection for calls to the address at which its peer listens, unless one exists already. */
    reuseConnection(peer: Hello, address: InnerAddress): void {
        const key = `${address.host}:${address.port}`;
        if (this.connectionsByAddress.has(key)) {
            return;
        }
        const connection = [...this.connections].find((candidate) => candidate.peer === peer);
        if (connection !== undefined && !this.addressesByConnection.has(connection)) {
            this.addressesByConnection.set(connection, address);
            this.connectionsByAddress.set(key, Promise.resolve(ok(connection)));
        }
    }

    /** Sends a message on a topic to an address and waits for the answer, which the caller must validate. */
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

    /** Sends a message on a topic to an address without expecting an answer; drops it if no connection can be made. */
    notify(address: InnerAddress, topic: Topic, body: unknown): void {
        void this.connect(address).map((connection) => connection.notify(topic, body));
    }

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

    private async openConnection(
        address: InnerAddress,
        key: string,
    ): Promise<Result<Connection, ProtocolError>> {
        const result = await connectSecurely(address, this.options.fleetKeys)
            .andThen((socket) => Connection.start(socket, this.context));
        if (result.isErr()) {
            this.connectionsByAddress.delete(key);
            return err(result.error);
        }
        if (result.value.isClosed) {
            this.connectionsByAddress.delete(key);
            return err(
                protocolError(
                    ProtocolErrorKind.Closed,
                    `the connection to ${key} closed during the handshake`,
                ),
            );
        }
        this.addressesByConnection.set(result.value, address);
        this.register(result.value);
        return ok(result.value);
    }

    private register(connection: Connection): void {
        if (!connection.isClosed) {
            this.connections.add(connection);
            this.options.onConnected?.(connection);
        }
    }

    private removeConnection(connection: Connection): void {
        this.connections.delete(connection);
        const address = this.addressesByConnection.get(connection);
        if (address !== undefined) {
            this.addressesByConnection.delete(connection);
            this.connectionsByAddress.delete(`${address.host}:${address.port}`);
        }
        this.options.onClosed(connection);
    }

    private async answerTopic(connection: Connection, message: TopicMessage): Promise<unknown> {
        const handler = this.topicHandlers.get(message.topic);
        if (handler === undefined) {
            return {
                error: `no handler for topic "${message.topic}" at instance "${this.options.instance}"`,
            };
        }
        try {
            return await handler(message.body, connection.peer);
        }
        catch (error) {
            this.options.logger.error("topic handler failed", {
                topic: message.topic,
                error: String(error),
            });
            return {
                error:
                    `the handler of topic "${message.topic}" failed at instance "${this.options.instance}"`,
            };
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
