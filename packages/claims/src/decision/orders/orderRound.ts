/**
 * One round of the leader: settles the orders under way, plans further ones, records them and then gives them. The
 * record is the order: an agent carries out only what it finds in the table, so that a leader that was paused and
 * has missed a change can do no harm with what it still sends.
 *
 * @module
 */
import type { Decision } from "@redwingpin/common";
import type { Manifest } from "@redwingpin/manifest";
import type { StoreEntry, StoreError, SwapOutcome } from "@redwingpin/outside";
import type { EndpointStatus } from "@redwingpin/protocol";
import { decodeOrderTable, emptyOrderTable, encodeOrderTable, type Order, type OrderTable } from "./order.js";
import { planOrders } from "./planOrders.js";

/** What an agent answers to an order. */
export enum OrderProgress {
    /** It waits for requests to end, or the endpoint carries it out. */
    UnderWay = "underWay",
    /** The endpoint has carried it out. */
    Done = "done",
    /** The endpoint refused it, or it is meant for an earlier start of the endpoint, or the table does not list it. */
    Refused = "refused",
    /** The agent could not look into the table, or gave no answer. */
    Unknown = "unknown",
}

/** What a round asks for. */
export type OrderRoundEffect =
    | { readonly kind: "readTable"; }
    | { readonly kind: "writeTable"; readonly expected: number; readonly value: Uint8Array; }
    | { readonly kind: "give"; readonly orders: readonly Order[]; };

/** What a round is resumed with. */
export type OrderRoundEvent =
    | { readonly kind: "read"; readonly entry: StoreEntry | undefined; }
    | { readonly kind: "written"; readonly outcome: SwapOutcome; }
    | { readonly kind: "given"; readonly progress: readonly OrderProgress[]; }
    | { readonly kind: "storeFailed"; readonly error: StoreError; };

/** What a round looks at. */
export interface OrderRoundState {
    readonly manifest: Manifest;
    readonly statuses: () => readonly EndpointStatus[];
    /** False once the list of VMs shows the instance no more. */
    readonly isListed: (instance: string) => boolean;
}

/** How a round ended. */
export type OrderRoundOutcome =
    /** Everything is as the manifest states. */
    | { readonly kind: "settled"; }
    | { readonly kind: "underWay"; readonly orders: number; }
    /** Another process has changed the table, or the store gave no answer; nothing was given. */
    | { readonly kind: "interrupted"; readonly message: string; };

type Step<T> = Decision<OrderRoundEffect, OrderRoundEvent, T>;

/** Runs one round. */
export function* orderRound(state: OrderRoundState): Step<OrderRoundOutcome> {
    const read = yield { kind: "readTable" };
    if (read.kind !== "read") {
        return interrupted(read);
    }
    const table = read.entry === undefined
        ? emptyOrderTable
        : decodeOrderTable(read.entry.value).unwrapOr(undefined);
    if (table === undefined) {
        return { kind: "interrupted", message: "the table of orders cannot be read" };
    }
    const underWay = yield* settleOrders(state, table);
    const next = addOrders(table, underWay, planOrders(state.manifest, state.statuses(), underWay));
    if (isSame(table, next)) {
        return next.orders.length === 0
            ? { kind: "settled" }
            : { kind: "underWay", orders: next.orders.length };
    }
    const expected = read.entry?.modRevision ?? 0;
    const written = yield { kind: "writeTable", expected, value: encodeOrderTable(next) };
    if (written.kind !== "written" || !written.outcome.swapped) {
        return interrupted(written);
    }
    yield { kind: "give", orders: next.orders.filter((order) => order.number > table.lastNumber) };
    return { kind: "underWay", orders: next.orders.length };
}

/** Gives the orders under way again; an agent answers what has become of them. */
function* settleOrders(state: OrderRoundState, table: OrderTable): Step<Order[]> {
    const listed = table.orders.filter((order) => state.isListed(order.instance));
    if (listed.length === 0) {
        return [];
    }
    const given = yield { kind: "give", orders: listed };
    const progress = given.kind === "given" ? given.progress : [];
    return listed.filter((_, index) => !isSettled(progress[index]));
}

function isSettled(progress: OrderProgress | undefined): boolean {
    return progress === OrderProgress.Done || progress === OrderProgress.Refused;
}

function addOrders(
    table: OrderTable,
    underWay: readonly Order[],
    proposed: ReturnType<typeof planOrders>,
): OrderTable {
    const added = proposed.map((order, index) => ({ ...order, number: table.lastNumber + index + 1 }));
    return { lastNumber: table.lastNumber + added.length, orders: [...underWay, ...added] };
}

function isSame(table: OrderTable, next: OrderTable): boolean {
    return table.lastNumber === next.lastNumber && table.orders.length === next.orders.length;
}

function interrupted(event: OrderRoundEvent): OrderRoundOutcome {
    const message = event.kind === "storeFailed"
        ? event.error.message
        : "another process has changed the table of orders";
    return { kind: "interrupted", message };
}
