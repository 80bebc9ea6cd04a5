/**
 * One round of the order leader: it asks for the progress of the orders in flight, plans further ones, records them in
 * the table and then sends them. An agent executes only orders that it finds in the table, so orders from a leader
 * that was paused and has missed a change do no harm.
 *
 * @module
 */
import type { Decision } from "@redwingpin/common";
import type { Manifest } from "@redwingpin/manifest";
import type { StoreEntry, StoreError, SwapOutcome } from "@redwingpin/outside";
import type { EndpointStatus } from "@redwingpin/protocol";
import { decodeOrderTable, emptyOrderTable, encodeOrderTable, type Order, type OrderTable } from "./order.js";
import { planOrders } from "./planOrders.js";

/** An agent's answer to an order. */
export enum OrderProgress {
    /** The agent waits for running requests to end, or the endpoint is executing the order. */
    InFlight = "underWay",
    /** The endpoint has executed the order. */
    Done = "done",
    /** The endpoint refused the order, or it is meant for another incarnation, or the table does not list it. */
    Refused = "refused",
    /** The agent could not read the table or did not answer. */
    Unknown = "unknown",
}

/** An effect that a round yields. */
export type OrderRoundEffect =
    | { readonly kind: "readTable"; }
    | { readonly kind: "writeTable"; readonly expected: number; readonly value: Uint8Array; }
    | { readonly kind: "send"; readonly orders: readonly Order[]; };

/** The event that resumes a round after an effect. */
export type OrderRoundEvent =
    | { readonly kind: "read"; readonly entry: StoreEntry | undefined; }
    | { readonly kind: "written"; readonly outcome: SwapOutcome; }
    | { readonly kind: "sent"; readonly progress: readonly OrderProgress[]; }
    | { readonly kind: "storeFailed"; readonly error: StoreError; };

/** Input of a round. */
export interface OrderRoundState {
    readonly manifest: Manifest;
    readonly statuses: () => readonly EndpointStatus[];
    /** False once the VM list no longer contains the instance. */
    readonly isListed: (instance: string) => boolean;
}

/** Result of a round. */
export type OrderRoundOutcome =
    /** The endpoints serve what the manifest states. */
    | { readonly kind: "settled"; }
    | { readonly kind: "underWay"; readonly orders: number; }
    /** Another process changed the table, or a call to the store failed; no new orders were sent. */
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
        return { kind: "interrupted", message: "the table of orders is malformed" };
    }
    const inFlight = yield* resendOrders(state, table);
    const next = addOrders(table, inFlight, planOrders(state.manifest, state.statuses(), inFlight));
    if (isUnchanged(table, next)) {
        return next.orders.length === 0
            ? { kind: "settled" }
            : { kind: "underWay", orders: next.orders.length };
    }
    const expected = read.entry?.modRevision ?? 0;
    const written = yield { kind: "writeTable", expected, value: encodeOrderTable(next) };
    if (written.kind !== "written" || !written.outcome.swapped) {
        return interrupted(written);
    }
    yield { kind: "send", orders: next.orders.filter((order) => order.number > table.lastNumber) };
    return { kind: "underWay", orders: next.orders.length };
}

/** Sends the listed orders again, so that the agents answer with their progress; returns those still in flight. */
function* resendOrders(state: OrderRoundState, table: OrderTable): Step<Order[]> {
    const listed = table.orders.filter((order) => state.isListed(order.instance));
    if (listed.length === 0) {
        return [];
    }
    const sent = yield { kind: "send", orders: listed };
    const progress = sent.kind === "sent" ? sent.progress : [];
    return listed.filter((_, index) => !isFinal(progress[index]));
}

function isFinal(progress: OrderProgress | undefined): boolean {
    return progress === OrderProgress.Done || progress === OrderProgress.Refused;
}

function addOrders(
    table: OrderTable,
    inFlight: readonly Order[],
    proposed: ReturnType<typeof planOrders>,
): OrderTable {
    const added = proposed.map((order, index) => ({ ...order, number: table.lastNumber + index + 1 }));
    return { lastNumber: table.lastNumber + added.length, orders: [...inFlight, ...added] };
}

function isUnchanged(table: OrderTable, next: OrderTable): boolean {
    return table.lastNumber === next.lastNumber && table.orders.length === next.orders.length;
}

function interrupted(event: OrderRoundEvent): OrderRoundOutcome {
    const message = event.kind === "storeFailed"
        ? event.error.message
        : "another process changed the table of orders";
    return { kind: "interrupted", message };
}
