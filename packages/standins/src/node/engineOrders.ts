/**
 * Orders that the engine stand-in takes: weights, adapters and role, with optional checks of sender and fence.
 *
 * @module
 */
import { request } from "undici";
import { sleep } from "./httpListener.js";

/** Kinds of orders. */
export enum OrderKind {
    LoadWeights = "loadWeights",
    LoadAdapter = "loadAdapter",
    UnloadAdapter = "unloadAdapter",
    ChangeRole = "changeRole",
}

/** An order as it arrives. */
export interface Order {
    readonly fence: number;
    readonly sender: string;
    readonly kind: OrderKind;
    readonly weights?: string;
    readonly adapter?: string;
    readonly role?: string;
}

/** What was done with an order. */
export interface OrderRecord {
    readonly order: Partial<Order>;
    readonly accepted: boolean;
}

/** Options of {@link EngineOrders}. */
export interface EngineOrdersOptions {
    /** Weights that are loaded at the start. */
    readonly weights: string;
    /** Adapters that are loaded at the start. */
    readonly adapters: readonly string[];
    /** True refuses an order whose fence is lower than the newest seen. */
    readonly checksFencing: boolean;
    /** Senders whose orders are taken; undefined takes every sender's. */
    readonly senders: readonly string[] | undefined;
    /** Address of the weight store; without it a load takes {@link loadMilliseconds}. */
    readonly weightStoreAddress: string | undefined;
    readonly loadMilliseconds: number;
}

/** Answer to an order. */
export interface OrderAnswer {
    readonly status: number;
    readonly body: object;
}

const statusAccepted = 200;
const statusBadRequest = 400;
const statusForbidden = 403;
const statusConflict = 409;

/** State that orders change. */
export class EngineOrders {
    /** Weights that requests run on; undefined while others load. */
    weights: string | undefined;
    readonly adapters: Set<string>;
    role = "any";
    readonly records: OrderRecord[] = [];
    private newestFence = 0;

    constructor(
        private readonly options: EngineOrdersOptions,
        /** Called before the weights are replaced. */
        private readonly onUnload: () => void,
    ) {
        this.weights = options.weights;
        this.adapters = new Set(options.adapters);
    }

    /** Checks and carries out one order; answers once it is done. */
    async take(order: Partial<Order>): Promise<OrderAnswer> {
        const refusal = this.check(order);
        this.records.push({ order, accepted: refusal === undefined });
        if (refusal) {
            return refusal;
        }
        this.newestFence = Math.max(this.newestFence, Number(order.fence ?? 0));
        await this.carryOut(order);
        return {
            status: statusAccepted,
            body: { weights: this.weights, adapters: [...this.adapters], role: this.role },
        };
    }

    private check(order: Partial<Order>): OrderAnswer | undefined {
        const { senders, checksFencing } = this.options;
        if (!Object.values(OrderKind).some((kind) => kind === order.kind)) {
            return refuse(statusBadRequest, `kind must be one of ${Object.values(OrderKind).join(", ")}`);
        }
        if (senders && !senders.includes(String(order.sender))) {
            return refuse(statusForbidden, `sender "${order.sender}" may not give orders`);
        }
        if (checksFencing && !(Number(order.fence) >= this.newestFence)) {
            return refuse(statusConflict, `fence ${order.fence} is older than ${this.newestFence}`);
        }
        return undefined;
    }

    private async carryOut(order: Partial<Order>): Promise<void> {
        switch (order.kind) {
            case OrderKind.LoadWeights:
                await this.loadWeights(String(order.weights));
                return;
            case OrderKind.LoadAdapter:
                this.adapters.add(String(order.adapter));
                return;
            case OrderKind.UnloadAdapter:
                this.adapters.delete(String(order.adapter));
                return;
            case OrderKind.ChangeRole:
                this.role = String(order.role);
                return;
            case undefined:
                return;
        }
    }

    private async loadWeights(weights: string): Promise<void> {
        this.weights = undefined;
        this.onUnload();
        const { weightStoreAddress, loadMilliseconds } = this.options;
        if (weightStoreAddress === undefined) {
            await sleep(loadMilliseconds);
        }
        else {
            const answer = await request(`${weightStoreAddress}/${encodeURIComponent(weights)}`);
            await answer.body.dump();
        }
        this.weights = weights;
    }
}

function refuse(status: number, message: string): OrderAnswer {
    return { status, body: { error: message } };
}
