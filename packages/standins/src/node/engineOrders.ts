/**
 * Executes orders to the engine stand-in, which change its weights, adapters or role. Options make it check the sender
 * and the fence of each order.
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

/** An order as received; none of its fields has been checked. */
export interface Order {
    readonly fence: number;
    readonly sender: string;
    readonly kind: OrderKind;
    readonly weights?: string;
    readonly adapter?: string;
    readonly role?: string;
}

/** A received order and whether it was accepted. */
export interface OrderRecord {
    readonly order: Partial<Order>;
    readonly accepted: boolean;
}

/** Options of {@link EngineOrders}. */
export interface EngineOrdersOptions {
    /** Name of the weights that are loaded at startup. */
    readonly weights: string;
    /** Names of the adapters that are loaded at startup. */
    readonly adapters: readonly string[];
    /** If true, refuses an order whose fence is lower than the highest one accepted. */
    readonly checksFencing: boolean;
    /** Senders whose orders are accepted; undefined accepts any sender. */
    readonly senders: readonly string[] | undefined;
    /** Address of the weight store; if undefined, a load takes {@link loadMilliseconds}. */
    readonly weightStoreAddress: string | undefined;
    readonly loadMilliseconds: number;
}

/** Status and body of the answer to an order. */
export interface OrderAnswer {
    readonly status: number;
    readonly body: object;
}

const statusAccepted = 200;
const statusBadRequest = 400;
const statusForbidden = 403;
const statusConflict = 409;

/** Holds the state that orders change, and executes orders. */
export class EngineOrders {
    /** Name of the loaded weights; undefined during a load. */
    weights: string | undefined;
    readonly adapters: Set<string>;
    role = "any";
    readonly records: OrderRecord[] = [];
    private highestFence = 0;

    constructor(
        private readonly options: EngineOrdersOptions,
        /** Called when the weights are unloaded, before others load. */
        private readonly onUnload: () => void,
    ) {
        this.weights = options.weights;
        this.adapters = new Set(options.adapters);
    }

    /** Checks and executes an order. Resolves once it is executed or refused. */
    async execute(order: Partial<Order>): Promise<OrderAnswer> {
        const refusal = this.check(order);
        this.records.push({ order, accepted: refusal === undefined });
        if (refusal) {
            return refusal;
        }
        this.highestFence = Math.max(this.highestFence, Number(order.fence ?? 0));
        await this.apply(order);
        return {
            status: statusAccepted,
            body: { weights: this.weights, adapters: [...this.adapters], role: this.role },
        };
    }

    private check(order: Partial<Order>): OrderAnswer | undefined {
        const { senders, checksFencing } = this.options;
        if (!Object.values(OrderKind).some((kind) => kind === order.kind)) {
            return createRefusal(
                statusBadRequest,
                `kind must be one of ${Object.values(OrderKind).join(", ")}`,
            );
        }
        if (senders && !senders.includes(String(order.sender))) {
            return createRefusal(statusForbidden, `sender "${order.sender}" may not send orders`);
        }
        if (checksFencing && !(Number(order.fence) >= this.highestFence)) {
            return createRefusal(statusConflict, `fence ${order.fence} is older than ${this.highestFence}`);
        }
        return undefined;
    }

    private async apply(order: Partial<Order>): Promise<void> {
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

function createRefusal(status: number, message: string): OrderAnswer {
    return { status, body: { error: message } };
}
