/**
 * A replica as the agent on its machine sees it; an adapter of a platform implements it.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { ModelWeights } from "@redwingpin/fleet";
import type { ResultAsync } from "neverthrow";

/** What a replica says of itself. */
export interface ReplicaReport {
    /** Differs for each start of the replica: its time, in milliseconds since the Unix epoch. */
    readonly startedAt: Milliseconds;
    readonly weights: readonly ModelWeights[];
    /** True while an order is carried out. */
    readonly busy: boolean;
    /** Orders accepted since its start. */
    readonly orders: number;
    readonly running: number;
    readonly queued: number;
    readonly cacheUsed: number;
    readonly cacheTotal: number;
}

/** An order to load weights. Runs finish first; what the replica has cached is dropped. */
export interface LoadOrder {
    readonly instance: string;
    readonly model: string;
    readonly version: number;
    /** Refused where the replica has accepted another number of orders. */
    readonly expectedOrders: number;
    /** Who gives the order. */
    readonly holder: string;
    /** Never falls from one order to the next. */
    readonly fence: number;
}

/** How a replica answered an order. */
export enum OrderAnswer {
    Accepted = "accepted",
    AlreadyHolds = "alreadyHolds",
    /** Another order is being carried out, or the number of orders differs. */
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
