/**
 * The agent's side of an order: checks it against the table in the store before it is carried out, whether or not the
 * endpoint checks fencing numbers and senders itself.
 *
 * @module
 */
import type { Decision } from "@redwingpin/common";
import type { StoreEntry, StoreError } from "@redwingpin/outside";
import { decodeOrderTable, type Order } from "./order.js";
import { OrderProgress } from "./orderRound.js";

/** What an agent asks for. */
export type TakeOrderEffect =
    | { readonly kind: "readTable"; }
    /** Takes no further requests, and waits until those that run have ended. */
    | { readonly kind: "drain"; }
    /** Start of the endpoint that runs now. */
    | { readonly kind: "inspect"; }
    | { readonly kind: "carryOut"; readonly order: Order; readonly fence: number; }
    | { readonly kind: "resume"; };

/** What an agent is resumed with. */
export type TakeOrderEvent =
    | { readonly kind: "read"; readonly entry: StoreEntry | undefined; }
    | { readonly kind: "storeFailed"; readonly error: StoreError; }
    | { readonly kind: "inspected"; readonly incarnation: string | undefined; }
    | { readonly kind: "carriedOut"; readonly accepted: boolean; }
    | { readonly kind: "done"; };

type Step<T> = Decision<TakeOrderEffect, TakeOrderEvent, T>;

/**
 * Takes one order. Requests are drained before the table is read, so that nothing long lies between the check and the
 * order; what the table does not list at that time is refused.
 */
export function* takeOrder(order: Order): Step<OrderProgress> {
    const before = yield* check(order);
    if (before.progress !== undefined) {
        return before.progress;
    }
    yield { kind: "drain" };
    const progress = yield* carryOut(order);
    yield { kind: "resume" };
    return progress;
}

function* carryOut(order: Order): Step<OrderProgress> {
    const checked = yield* check(order);
    if (checked.progress !== undefined) {
        return checked.progress;
    }
    const carriedOut = yield { kind: "carryOut", order, fence: checked.fence };
    return carriedOut.kind === "carriedOut" && carriedOut.accepted
        ? OrderProgress.Done
        : OrderProgress.Refused;
}

type Checked =
    | { readonly progress: OrderProgress; }
    | { readonly progress: undefined; readonly fence: number; };

/** The fence is the store's revision of the table: it never goes back, whoever writes the table. */
function* check(order: Order): Step<Checked> {
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
    const listed = table.value.orders.some((known) =>
        known.number === order.number && known.instance === order.instance
    );
    return listed
        ? { progress: undefined, fence: read.entry.modRevision }
        : { progress: OrderProgress.Refused };
}
