/**
 * The router's end of exchanges: numbers them on each connection, hands what arrives to its exchange, and drops
 * what belongs to none.
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

/** The part of a connection that exchanges need. */
export interface ExchangeConnection {
    readonly isClosed: boolean;
    send(message: Message): void;
    /** Resolves when more can be sent without filling memory. */
    whenWritable(): Promise<void>;
}

/** What arrives on an exchange, in order. Nothing follows `declined`, `ended`, `failed` and `lost`. */
export type ExchangeEvent =
    | { readonly kind: "head"; readonly head: Head; }
    | { readonly kind: "data"; readonly data: Uint8Array; }
    | { readonly kind: "declined"; readonly decline: Decline; }
    | { readonly kind: "ended"; readonly end: End; }
    | { readonly kind: "failed"; readonly failed: Failed; }
    /** The connection closed, or the answer has a gap. */
    | { readonly kind: "lost"; readonly message: string; };

/** The fields of {@link Open} that the table does not fill in itself. */
export type OpenFields = Omit<Open, "kind" | "exchange" | "bodyBytes">;

/** One exchange, seen from the router. */
export interface Exchange {
    /** The next event; resolves with `undefined` after the last. */
    next(): Promise<ExchangeEvent | undefined>;
    /** Allows the agent to send `bytes` more. */
    allow(bytes: number): void;
    /** Says that the answer is of no further use. */
    cancel(): void;
}

interface ExchangeState {
    readonly events: ExchangeEvent[];
    wake: (() => void) | undefined;
    headSeen: boolean;
    nextSequence: number;
    done: boolean;
}

/** Every open exchange of a router, by connection and number. */
export class ExchangeTable<Carrier extends ExchangeConnection> {
    private readonly exchanges = new Map<Carrier, Map<number, ExchangeState>>();
    private nextExchange = 1;

    /** Opens an exchange and sends the whole body, as fast as the connection takes it. */
    open(connection: Carrier, fields: OpenFields, body: Buffer): Exchange {
        const exchange = this.nextExchange++;
        const state: ExchangeState = {
            events: [],
            wake: undefined,
            headSeen: false,
            nextSequence: 0,
            done: false,
        };
        const onConnection = this.exchanges.get(connection) ?? new Map<number, ExchangeState>();
        onConnection.set(exchange, state);
        this.exchanges.set(connection, onConnection);
        if (connection.isClosed) {
            this.lose(connection);
        }
        else {
            connection.send({ ...fields, kind: MessageKind.Open, exchange, bodyBytes: body.length });
            void sendBody(connection, exchange, body, state);
        }
        return {
            next: () => this.nextEvent(state),
            allow: (bytes) => connection.send({ kind: MessageKind.Credit, exchange, bytes }),
            cancel: () => this.cancel(connection, exchange, state),
        };
    }

    /** Hands a message to its exchange; messages of ended or unknown exchanges are dropped. */
    receive(connection: Carrier, message: ExchangeMessage): void {
        if (!("exchange" in message)) {
            return;
        }
        const state = this.exchanges.get(connection)?.get(message.exchange);
        if (state !== undefined && !state.done) {
            this.deliver(connection, message.exchange, state, toEvent(message, state));
        }
    }

    /** Ends every exchange of a connection that has closed. */
    lose(connection: Carrier): void {
        const onConnection = this.exchanges.get(connection);
        this.exchanges.delete(connection);
        for (const [exchange, state] of onConnection ?? []) {
            this.deliver(connection, exchange, state, {
                kind: "lost",
                message: "the connection to the agent closed",
            });
        }
    }

    /** Connections with open exchanges. */
    busyConnections(): readonly Carrier[] {
        return [...this.exchanges.keys()];
    }

    /** Exchanges that are open now. */
    get size(): number {
        return [...this.exchanges.values()].reduce((sum, exchanges) => sum + exchanges.size, 0);
    }

    private deliver(
        connection: Carrier,
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
        state.wake?.();
    }

    private async nextEvent(state: ExchangeState): Promise<ExchangeEvent | undefined> {
        if (state.events.length === 0 && !state.done) {
            await new Promise<void>((resolve) => {
                state.wake = resolve;
            });
        }
        return state.events.shift();
    }

    private cancel(connection: Carrier, exchange: number, state: ExchangeState): void {
        if (!state.done) {
            connection.send({ kind: MessageKind.Cancel, exchange });
            this.close(connection, exchange, state);
            state.wake?.();
        }
    }

    private close(connection: Carrier, exchange: number, state: ExchangeState): void {
        state.done = true;
        const onConnection = this.exchanges.get(connection);
        onConnection?.delete(exchange);
        if (onConnection?.size === 0) {
            this.exchanges.delete(connection);
        }
    }
}

/** Bytes after which the router allows the agent as many more. */
export const creditStepBytes = answerWindowBytes / 4;

async function sendBody(
    connection: ExchangeConnection,
    exchange: number,
    body: Buffer,
    state: ExchangeState,
): Promise<void> {
    for (let start = 0; start < body.length && !state.done; start += bodyPartBytes) {
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
            if (state.headSeen) {
                return { kind: "lost", message: "the answer began twice" };
            }
            state.headSeen = true;
            return { kind: "head", head: message };
        case MessageKind.Chunk:
            if (!state.headSeen) {
                return { kind: "lost", message: `chunk ${message.sequence} came before the answer's head` };
            }
            if (message.sequence !== state.nextSequence) {
                return {
                    kind: "lost",
                    message: `chunk ${message.sequence} came in place of chunk ${state.nextSequence}`,
                };
            }
            state.nextSequence++;
            return { kind: "data", data: message.data };
        case MessageKind.Decline:
            return { kind: "declined", decline: message };
        case MessageKind.End:
            return state.headSeen && message.chunks === state.nextSequence
                ? { kind: "ended", end: message }
                : {
                    kind: "lost",
                    message: `the answer ended after ${state.nextSequence} of ${message.chunks} chunks`,
                };
        case MessageKind.Failed:
            return { kind: "failed", failed: message };
        default:
            return undefined;
    }
}
