/**
 * The agent's side of an order: the agent checks it against the table in the store before it executes it, whether or
 * not the endpoint itself checks fencing tokens and senders.
 *
 * @module
 */
import type { Decision } from "@redwingpin/common";
import type { StoreEntry, StoreError } from "@redwingpin/outside";
import { decodeOrderTable, type Order } from "./order.js";
import { OrderProgress } from "./orderRound.js";

/** An effect that {@link executeOrder} yields. */
export type ExecuteOrderEffect =
    | { readonly kind: "readTable"; }
    /** Stops accepting requests and waits until the running ones have ended. */
    | { readonly kind: "drain"; }
    /** Reads the endpoint's incarnation. */
    | { readonly kind: "inspect"; }
    | { readonly kind: "execute"; readonly order: Order; readonly fence: number; }
    | { readonly kind: "resume"; };

/** The event that resumes {@link executeOrder} after an effect. */
export type ExecuteOrderEvent =
    | { readonly kind: "read"; readonly entry: StoreEntry | undefined; }
    | { readonly kind: "storeFailed"; readonly error: StoreError; }
    | { readonly kind: "inspected"; readonly incarnation: string | undefined; }
    | { readonly kind: "executed"; readonly accepted: boolean; }
    | { readonly kind: "done"; };

type Step<T> = Decision<ExecuteOrderEffect, ExecuteOrderEvent, T>;

/**
 * Executes one order. Requests are drained before the table is read for the final check, so that little time passes
 * between this check and the order. The order is refused if the table no longer lists it at the final check.
 */
export function* executeOrder(order: Order): Step<OrderProgress> {
    const initialCheck = yield* checkOrder(order);
    if (initialCheck.progress !== undefined) {
        return initialCheck.progress;
    }
    yield { kind: "drain" };
    const progress = yield* checkAndExecute(order);
    yield { kind: "resume" };
    return progress;
}

function* checkAndExecute(order: Order): Step<OrderProgress> {
    const checked = yield* checkOrder(order);
    if (checked.progress !== undefined) {
        return checked.progress;
    }
    const executed = yield { kind: "execute", order, fence: checked.fence };
    return executed.kind === "executed" && executed.accepted
        ? OrderProgress.Done
        : OrderProgress.Refused;
}

type OrderCheck =
    | { readonly progress: OrderProgress; }
    | { readonly progress: undefined; readonly fence: number; };

/** The fence is the store's revision of the table, which never decreases, whichever process writes the table. */
function* checkOrder(order: Order): Step<OrderCheck> {
    const inspected = yield { kind: "inspect" };
    if (inspected.kind !== "inspected" || inspected.incarnation === undefined) {
        return { progress: OrderProgress.Unknown };
    }
    if (inspected.incarnation !== order.incarnation) {
        return { progress: OrderProgress.Refused };
    }
    const read = yield { kind: "readTable" };
    if (read.kind !== "read") {
        return { progress: OrderProgress.Unknown };
    }
    if (read.entry === undefined) {
        return { progress: OrderProgress.Refused };
    }
    const table = decodeOrderTable(read.entry.value);
    if (table.isErr()) {
        return { progress: OrderProgress.Unknown };
    }
    const isListed = table.value.orders.some((known) =>
        known.number === order.number && known.instance === order.instance
    );
    return isListed
        ? { progress: undefined, fence: read.entry.modRevision }
        : { progress: OrderProgress.Refused };
}
