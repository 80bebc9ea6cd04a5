/**
 * Interface of an agent to the replica on its machine, which an adapter to a platform implements.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { ModelWeights } from "@redwingpin/fleet";
import type { ResultAsync } from "neverthrow";

/** A replica's report of its own state. */
export interface ReplicaReport {
    /** Time of the replica's start in milliseconds since the Unix epoch; differs for each start. */
    readonly startedAt: Milliseconds;
    readonly weights: readonly ModelWeights[];
    /** True while the replica executes an order. */
    readonly busy: boolean;
    /** Number of orders accepted since its start. */
    readonly orders: number;
    readonly running: number;
    readonly queued: number;
    readonly cacheUsed: number;
    readonly cacheTotal: number;
}

/** An order to load weights. The replica finishes its running requests before it loads them; its cache is dropped. */
export interface LoadOrder {
    readonly instance: string;
    readonly model: string;
    readonly version: number;
    /** Number of orders that the replica has accepted; it refuses this order if the number differs. */
    readonly expectedOrders: number;
    /** Name of the sender of the order. */
    readonly holder: string;
    /** Never decreases from one order to the next. */
    readonly fence: number;
}

/** Answer of a replica to an order. */
export enum OrderAnswer {
    Accepted = "accepted",
    AlreadyHolds = "alreadyHolds",
    /** Another order is being executed, or the number of orders differs. */
    Conflict = "conflict",
    OldFence = "oldFence",
    UnknownVersion = "unknownVersion",
    WrongInstance = "wrongInstance",
    Unexpected = "unexpected",
}

/** Calls to one replica. */
export interface ReplicaControl {
    report(): ResultAsync<ReplicaReport, string>;
    load(order: LoadOrder): ResultAsync<OrderAnswer, string>;
}
