/**
 * The task that executes orders for an agent's endpoint, one at a time.
 *
 * @module
 */
import { assertNever, type Logger, runDecision } from "@redwingpin/common";
import type { KeyValueStore } from "@redwingpin/outside";
import {
    executeOrder,
    type ExecuteOrderEffect,
    type ExecuteOrderEvent,
} from "../decision/orders/executeOrder.js";
import { isOrder, type Order, orderTableKey } from "../decision/orders/order.js";
import { OrderProgress } from "../decision/orders/orderRound.js";

/** The endpoint for which {@link OrderExecutor} executes orders. */
export interface OrderTarget {
    /** Incarnation of the endpoint; `undefined` while it is down. */
    readonly incarnation: () => string | undefined;
    /** Stops accepting requests; resolves when the running ones have ended. */
    readonly drain: () => Promise<void>;
    /** Accepts requests again. */
    readonly resume: () => void;
    /**
     * Sends the order to the endpoint; resolves with false if it was refused or failed. It resolves only after the
     * endpoint's new status was sent to the routers, so that no router plans with the old status once it learns that
     * the order is done. `fence` is the fencing token.
     */
    readonly execute: (order: Order, fence: number) => Promise<boolean>;
}

/** Options of {@link createOrderExecutor}. */
export interface OrderExecutorOptions {
    readonly instance: string;
    readonly store: KeyValueStore;
    readonly logger: Logger;
    readonly endpoint: OrderTarget;
}

/** Executes orders for one endpoint. */
export interface OrderExecutor {
    /** Starts an order, or returns the progress of a known one; returns before the order has been executed. */
    handle(body: unknown): OrderProgress;
}

/** Maximum number of orders whose progress is remembered. */
const maximumRememberedOrders = 100;

/** Creates the task that executes orders. */
export function createOrderExecutor(options: OrderExecutorOptions): OrderExecutor {
    return new OrderExecutorTask(options);
}

class OrderExecutorTask implements OrderExecutor {
    private readonly progress = new Map<number, OrderProgress>();
    private isExecuting = false;

    constructor(private readonly options: OrderExecutorOptions) {}

    handle(body: unknown): OrderProgress {
        if (!isOrder(body) || body.instance !== this.options.instance) {
            return OrderProgress.Refused;
        }
        const known = this.progress.get(body.number);
        if (known !== undefined && known !== OrderProgress.Unknown) {
            return known;
        }
        if (this.isExecuting) {
            return OrderProgress.Unknown;
        }
        void this.execute(body);
        return OrderProgress.InFlight;
    }

    private async execute(order: Order): Promise<void> {
        this.isExecuting = true;
        this.recordProgress(order.number, OrderProgress.InFlight);
        const progress = await runDecision(executeOrder(order), (effect) => this.perform(effect));
        this.recordProgress(order.number, progress);
        this.isExecuting = false;
        this.options.logger.info("order", {
            number: order.number,
            action: order.action.kind,
            progress,
        });
    }

    private recordProgress(number: number, progress: OrderProgress): void {
        this.progress.delete(number);
        this.progress.set(number, progress);
        for (const old of [...this.progress.keys()].slice(0, -maximumRememberedOrders)) {
            this.progress.delete(old);
        }
    }

    private async perform(effect: ExecuteOrderEffect): Promise<ExecuteOrderEvent> {
        const { endpoint, store } = this.options;
        switch (effect.kind) {
            case "readTable":
                return (await store.read(orderTableKey)).match<ExecuteOrderEvent>(
                    (entry) => ({ kind: "read", entry }),
                    (error) => ({ kind: "storeFailed", error }),
                );
            case "inspect":
                return { kind: "inspected", incarnation: endpoint.incarnation() };
            case "drain":
                await endpoint.drain();
                return { kind: "done" };
            case "resume":
                endpoint.resume();
                return { kind: "done" };
            case "execute":
                return { kind: "executed", accepted: await endpoint.execute(effect.order, effect.fence) };
            default:
                return assertNever(effect);
        }
    }
}
