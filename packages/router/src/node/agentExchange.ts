/**
 * The router's side of exchanges: numbers them, passes each received message to its exchange, and drops messages of
 * ended or unknown exchanges.
 *
 * @module
 */
import {
    answerWindowBytes,
    bodyPartBytes,
    type Decline,
    type End,
    type ExchangeMessage,
    type Failed,
    type Head,
    type Message,
    MessageKind,
    type Open,
} from "@redwingpin/protocol";

/** Members of a connection that exchanges use. */
export interface ExchangeConnection {
    readonly isClosed: boolean;
    send(message: Message): void;
    /** Resolves when the connection's send buffer has room. */
    whenWritable(): Promise<void>;
}

/** Event of an exchange, in the order of reception. `declined`, `ended`, `failed` and `interrupted` are final. */
export type ExchangeEvent =
    | { readonly kind: "head"; readonly head: Head; }
    | { readonly kind: "data"; readonly data: Uint8Array; }
    | { readonly kind: "declined"; readonly decline: Decline; }
    | { readonly kind: "ended"; readonly end: End; }
    | { readonly kind: "failed"; readonly failed: Failed; }
    /** The connection closed, or the answer has a gap. */
    | { readonly kind: "interrupted"; readonly message: string; };

/** The fields of {@link Open} that the table does not set itself. */
export type OpenFields = Omit<Open, "kind" | "exchange" | "bodyBytes">;

/** The router's side of one exchange. */
export interface Exchange {
    /** The next event; resolves with `undefined` after the last. */
    next(): Promise<ExchangeEvent | undefined>;
    /** Allows the agent to send `bytes` more. */
    grantCredit(bytes: number): void;
    /** Cancels the request; its answer is no longer needed. */
    cancel(): void;
}

interface ExchangeState {
    readonly events: ExchangeEvent[];
    wakeReader: (() => void) | undefined;
    hasHead: boolean;
    nextSequence: number;
    isDone: boolean;
}

/** All open exchanges of a router, by connection and number. */
export class ExchangeTable<ConnectionType extends ExchangeConnection> {
    private readonly exchanges = new Map<ConnectionType, Map<number, ExchangeState>>();
    private nextExchange = 1;

    /** Opens an exchange and sends the whole body, as fast as the connection allows. */
    open(connection: ConnectionType, fields: OpenFields, body: Buffer): Exchange {
        const exchange = this.nextExchange++;
        const state: ExchangeState = {
            events: [],
            wakeReader: undefined,
            hasHead: false,
            nextSequence: 0,
            isDone: false,
        };
        const onConnection = this.exchanges.get(connection) ?? new Map<number, ExchangeState>();
        onConnection.set(exchange, state);
        this.exchanges.set(connection, onConnection);
        if (connection.isClosed) {
            this.closeConnection(connection);
        }
        else {
            connection.send({ ...fields, kind: MessageKind.Open, exchange, bodyBytes: body.length });
            void sendBody(connection, exchange, body, state);
        }
        return {
            next: () => this.nextEvent(state),
            grantCredit: (bytes) => connection.send({ kind: MessageKind.Credit, exchange, bytes }),
            cancel: () => this.cancel(connection, exchange, state),
        };
    }

    /** Passes a message to its exchange; messages of ended or unknown exchanges are dropped. */
    receive(connection: ConnectionType, message: ExchangeMessage): void {
        if (!("exchange" in message)) {
            return;
        }
        const state = this.exchanges.get(connection)?.get(message.exchange);
        if (state !== undefined && !state.isDone) {
            this.appendEvent(connection, message.exchange, state, toEvent(message, state));
        }
    }

    /** Ends all exchanges of a connection that has closed. */
    closeConnection(connection: ConnectionType): void {
        const onConnection = this.exchanges.get(connection);
        this.exchanges.delete(connection);
        for (const [exchange, state] of onConnection ?? []) {
            this.appendEvent(connection, exchange, state, {
                kind: "interrupted",
                message: "connection to the agent closed",
            });
        }
    }

    /** Connections with open exchanges. */
    connectionsInUse(): readonly ConnectionType[] {
        return [...this.exchanges.keys()];
    }

    /** Number of open exchanges. */
    get size(): number {
        return [...this.exchanges.values()].reduce((sum, exchanges) => sum + exchanges.size, 0);
    }

    private appendEvent(
        connection: ConnectionType,
        exchange: number,
        state: ExchangeState,
        event: ExchangeEvent | undefined,
    ): void {
        if (event === undefined) {
            return;
        }
        state.events.push(event);
        if (event.kind !== "head" && event.kind !== "data") {
            this.close(connection, exchange, state);
        }
        state.wakeReader?.();
    }

    private async nextEvent(state: ExchangeState): Promise<ExchangeEvent | undefined> {
        if (state.events.length === 0 && !state.isDone) {
            await new Promise<void>((resolve) => {
                state.wakeReader = resolve;
            });
        }
        return state.events.shift();
    }

    private cancel(connection: ConnectionType, exchange: number, state: ExchangeState): void {
        if (!state.isDone) {
            connection.send({ kind: MessageKind.Cancel, exchange });
            this.close(connection, exchange, state);
            state.wakeReader?.();
        }
    }

    private close(connection: ConnectionType, exchange: number, state: ExchangeState): void {
        state.isDone = true;
        const onConnection = this.exchanges.get(connection);
        onConnection?.delete(exchange);
        if (onConnection?.size === 0) {
            this.exchanges.delete(connection);
        }
    }
}

/** The router grants the agent new credit each time it has received this many bytes of an answer. */
export const creditStepBytes = answerWindowBytes / 4;

async function sendBody(
    connection: ExchangeConnection,
    exchange: number,
    body: Buffer,
    state: ExchangeState,
): Promise<void> {
    for (let start = 0; start < body.length && !state.isDone; start += bodyPartBytes) {
        connection.send({
            kind: MessageKind.Body,
            exchange,
            data: body.subarray(start, start + bodyPartBytes),
        });
        await connection.whenWritable();
    }
}

function toEvent(message: Message, state: ExchangeState): ExchangeEvent | undefined {
    switch (message.kind) {
        case MessageKind.Head:
            if (state.hasHead) {
                return { kind: "interrupted", message: "received a second head of the answer" };
            }
            state.hasHead = true;
            return { kind: "head", head: message };
        case MessageKind.Chunk:
            if (!state.hasHead) {
                return {
                    kind: "interrupted",
                    message: `received chunk ${message.sequence} before the answer's head`,
                };
            }
            if (message.sequence !== state.nextSequence) {
                return {
                    kind: "interrupted",
                    message: `received chunk ${message.sequence} instead of chunk ${state.nextSequence}`,
                };
            }
            state.nextSequence++;
            return { kind: "data", data: message.data };
        case MessageKind.Decline:
            return { kind: "declined", decline: message };
        case MessageKind.End:
            return state.hasHead && message.chunks === state.nextSequence
                ? { kind: "ended", end: message }
                : {
                    kind: "interrupted",
                    message: `answer ended after ${state.nextSequence} of ${message.chunks} chunks`,
                };
        case MessageKind.Failed:
            return { kind: "failed", failed: message };
        default:
            return undefined;
    }
}
