/**
 * Orders to endpoints, and the store record that lists the orders in flight.
 *
 * @module
 */
import { decode, encode } from "cbor-x";
import { err, ok, type Result } from "neverthrow";

/** Kinds of orders. Endpoints expect these values. */
export enum OrderKind {
    LoadWeights = "loadWeights",
    LoadAdapter = "loadAdapter",
    UnloadAdapter = "unloadAdapter",
    ChangeRole = "changeRole",
}

/** What an endpoint should do. */
export type OrderAction =
    | { readonly kind: OrderKind.LoadWeights; readonly weights: string; }
    | { readonly kind: OrderKind.LoadAdapter | OrderKind.UnloadAdapter; readonly adapter: string; }
    | { readonly kind: OrderKind.ChangeRole; readonly role: string; };

/** An order that has not been recorded yet. */
export interface ProposedOrder {
    /** Instance of the agent beside the endpoint. */
    readonly instance: string;
    /** Incarnation of the endpoint that the order is meant for. */
    readonly incarnation: string;
    readonly action: OrderAction;
}

/** An order in the table. */
export interface Order extends ProposedOrder {
    /** Unique among all orders ever recorded. */
    readonly number: number;
}

/** The store record. Agents execute only the orders that it lists. */
export interface OrderTable {
    /** Number of the newest order. */
    readonly lastNumber: number;
    /** Orders in flight. */
    readonly orders: readonly Order[];
}

/** Key of the table in the store. */
export const orderTableKey = "redwingpin/orders/table";

/** Key of the record that names the leader. The record is bound to the leader's lease. */
export const orderLeaderKey = "redwingpin/orders/leader";

/** The table before the first order. */
export const emptyOrderTable: OrderTable = { lastNumber: 0, orders: [] };

export function encodeOrderTable(table: OrderTable): Uint8Array {
    return encode(table);
}

/** Decodes the table from a store value; the error describes what is wrong with the value. */
export function decodeOrderTable(value: Uint8Array): Result<OrderTable, string> {
    try {
        const table: unknown = decode(value);
        return isOrderTable(table) ? ok(table) : err(`store key "${orderTableKey}" is not a table of orders`);
    }
    catch (cause) {
        return err(`store key "${orderTableKey}" is not CBOR: ${String(cause)}`);
    }
}

type Fields = Readonly<Record<string, unknown>>;

function isOrderTable(value: unknown): value is OrderTable {
    const table = value as Partial<OrderTable>;
    return typeof table === "object" && Number.isSafeInteger(table.lastNumber) && Array.isArray(table.orders)
        && table.orders.every(isOrder);
}

/** True for a well-formed order. */
export function isOrder(value: unknown): value is Order {
    const order = value as Partial<Order>;
    return typeof order === "object" && Number.isSafeInteger(order?.number)
        && typeof order.instance === "string" && typeof order.incarnation === "string"
        && isAction(order.action as Fields | undefined);
}

function isAction(action: Fields | undefined): boolean {
    switch (action?.kind) {
        case OrderKind.LoadWeights:
            return typeof action.weights === "string";
        case OrderKind.LoadAdapter:
        case OrderKind.UnloadAdapter:
            return typeof action.adapter === "string";
        case OrderKind.ChangeRole:
            return typeof action.role === "string";
        default:
            return false;
    }
}
