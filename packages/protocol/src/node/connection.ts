/**
 * An inner connection over one socket. Both ends send {@link Hello} first, and then messages of exchanges and topics.
 *
 * @module
 */
import { type CancelTimer, type Clock, type Milliseconds } from "@redwingpin/common";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { TLSSocket } from "node:tls";
import { handshakeTimeoutMilliseconds } from "../constants.js";
import { encodeFrame, FrameReader } from "../frame.js";
import {
    type Hello,
    type Message,
    MessageKind,
    oldestProtocolVersion,
    type Topic,
    type TopicMessage,
    type TopicReply,
} from "../messages.js";
import type { DecodedFrame } from "../messageShape.js";
import { type ProtocolError, protocolError, ProtocolErrorKind } from "../protocolError.js";

/** Messages that a connection passes on: those of exchanges, an endpoint's {@link Status}, and {@link Unsupported}. */
export type ExchangeMessage = Exclude<
    Message,
    { kind: MessageKind.Hello | MessageKind.Topic | MessageKind.TopicReply; }
>;

/** Handles what a connection receives. */
export interface ConnectionHandler {
    /** Called with each message that is neither a Hello nor on a topic. */
    onMessage(connection: Connection, message: ExchangeMessage): void;
    /** Called with each message on a topic; resolves with the answer, which is sent if the sender expects one. */
    onTopic(connection: Connection, message: TopicMessage): Promise<unknown>;
    /** Called with the revision of the peer's configuration for each message that contains one. */
    onRevision(connection: Connection, revision: number): void;
    onClosed(connection: Connection): void;
}

/** Total size of the frames on a process's connections, without the overhead of TLS and TCP. */
export interface TrafficCounters {
    sentBytes: number;
    receivedBytes: number;
}

/** Dependencies of a connection that the connections of a process share. */
export interface ConnectionContext {
    readonly clock: Clock;
    /** Creates this process's Hello with the current revision. */
    readonly hello: () => Hello;
    readonly handler: ConnectionHandler;
    readonly traffic: TrafficCounters;
}

interface PendingCall {
    readonly settle: (result: Result<unknown, ProtocolError>) => void;
    readonly cancelTimeout: CancelTimer;
}

/** An authenticated connection to one peer. */
export class Connection {
    private readonly reader = new FrameReader();
    private readonly pendingCalls = new Map<number, PendingCall>();
    private peerHello: Hello | undefined;
    private nextCall = 1;
    private closed = false;
    private isCorked = false;
    private onHandshakeDone: ((result: Result<Connection, ProtocolError>) => void) | undefined;
    private writableWaiters: (() => void)[] = [];

    private constructor(private readonly socket: TLSSocket, private readonly context: ConnectionContext) {
        socket.setNoDelay(true);
        socket.on("data", (received: Buffer) => this.receive(received));
        socket.on("drain", () => this.wakeWriters());
        socket.on("error", () => this.close());
        socket.on("close", () => this.close());
    }

    /** Performs the handshake on a new socket. */
    static start(socket: TLSSocket, context: ConnectionContext): ResultAsync<Connection, ProtocolError> {
        const connection = new Connection(socket, context);
        return new ResultAsync(connection.handshake());
    }

    /** The peer's Hello; available after the handshake. */
    get peer(): Hello {
        return this.peerHello!;
    }

    get isClosed(): boolean {
        return this.closed;
    }

    /**
     * Sends a message, or drops it if the connection is closed. Messages of one turn of the event loop are written
     * together.
     */
    send(message: Message): void {
        if (this.closed) {
            return;
        }
        const frame = encodeFrame(message);
        this.context.traffic.sentBytes += frame.length;
        if (!this.isCorked) {
            this.isCorked = true;
            this.socket.cork();
            process.nextTick(() => {
                this.isCorked = false;
                this.socket.uncork();
            });
        }
        this.socket.write(frame);
    }

    /** Resolves when the socket's buffer has drained or the connection is closed. */
    whenWritable(): Promise<void> {
        if (this.closed || !this.socket.writableNeedDrain) {
            return Promise.resolve();
        }
        return new Promise((resolve) => this.writableWaiters.push(resolve));
    }

    /** Sends a message on a topic without expecting an answer. */
    notify(topic: Topic, body: unknown): void {
        this.send({ kind: MessageKind.Topic, topic, revision: this.context.hello().revision, body });
    }

    /** Sends a message on a topic and waits for the answer. */
    call(topic: Topic, body: unknown, timeout: Milliseconds): ResultAsync<unknown, ProtocolError> {
        return new ResultAsync(
            new Promise<Result<unknown, ProtocolError>>((resolve) => {
                const call = this.nextCall++;
                const settle = (result: Result<unknown, ProtocolError>) => {
                    this.pendingCalls.delete(call);
                    resolve(result);
                };
                const cancelTimeout = this.context.clock.schedule(timeout, () => {
                    settle(
                        err(protocolError(
                            ProtocolErrorKind.Timeout,
                            `${this.describePeer()} did not answer on topic "${topic}" within ${timeout} ms`,
                        )),
                    );
                });
                if (this.closed) {
                    cancelTimeout();
                    settle(err(this.closedError()));
                    return;
                }
                this.pendingCalls.set(call, { settle, cancelTimeout });
                this.send({
                    kind: MessageKind.Topic,
                    topic,
                    call,
                    revision: this.context.hello().revision,
                    body,
                });
            }),
        );
    }

    /** Closes the connection; pending calls fail. */
    close(): void {
        if (this.closed) {
            return;
        }
        this.closed = true;
        this.socket.destroy();
        this.onHandshakeDone?.(err(this.closedError()));
        for (const pending of [...this.pendingCalls.values()]) {
            pending.cancelTimeout();
            pending.settle(err(this.closedError()));
        }
        this.wakeWriters();
        if (this.peerHello !== undefined) {
            this.context.handler.onClosed(this);
        }
    }

    private handshake(): Promise<Result<Connection, ProtocolError>> {
        return new Promise((resolve) => {
            const cancelTimeout = this.context.clock.schedule(
                handshakeTimeoutMilliseconds,
                () => this.close(),
            );
            this.onHandshakeDone = (result) => {
                this.onHandshakeDone = undefined;
                cancelTimeout();
                resolve(result);
            };
            this.send(this.context.hello());
        });
    }

    private receive(received: Buffer): void {
        this.context.traffic.receivedBytes += received.length;
        const messages = this.reader.read(received);
        if (messages.isErr()) {
            this.close();
            return;
        }
        for (const decoded of messages.value) {
            if (this.closed) {
                return;
            }
            this.dispatch(decoded);
        }
    }

    private dispatch(decoded: DecodedFrame): void {
        if (!decoded.known) {
            this.send({ kind: MessageKind.Unsupported, unsupportedKind: decoded.unsupportedKind });
            return;
        }
        const message = decoded.message;
        if (this.peerHello === undefined) {
            this.receiveHello(message);
            return;
        }
        if ("revision" in message) {
            this.context.handler.onRevision(this, message.revision);
        }
        switch (message.kind) {
            case MessageKind.Hello:
                return;
            case MessageKind.Topic:
                void this.answerTopic(message);
                return;
            case MessageKind.TopicReply:
                this.receiveReply(message);
                return;
            default:
                this.context.handler.onMessage(this, message);
        }
    }

    private receiveHello(message: Message): void {
        if (message.kind !== MessageKind.Hello || message.version < oldestProtocolVersion) {
            this.close();
            return;
        }
        this.peerHello = message;
        this.onHandshakeDone?.(ok(this));
        this.context.handler.onRevision(this, message.revision);
    }

    private async answerTopic(message: TopicMessage): Promise<void> {
        const body = await this.context.handler.onTopic(this, message);
        if (message.call !== undefined) {
            this.send({
                kind: MessageKind.TopicReply,
                call: message.call,
                revision: this.context.hello().revision,
                body,
            });
        }
    }

    private receiveReply(message: TopicReply): void {
        const pending = this.pendingCalls.get(message.call);
        pending?.cancelTimeout();
        pending?.settle(ok(message.body));
    }

    private wakeWriters(): void {
        const waiters = this.writableWaiters;
        this.writableWaiters = [];
        for (const wake of waiters) {
            wake();
        }
    }

    private closedError(): ProtocolError {
        return protocolError(ProtocolErrorKind.Closed, `the connection to ${this.describePeer()} is closed`);
    }

    private describePeer(): string {
        const { remoteAddress, remotePort } = this.socket;
        return this.peerHello === undefined
            ? `${remoteAddress}:${remotePort}`
            : `instance "${this.peerHello.instance}"`;
    }
}
