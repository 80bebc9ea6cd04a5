/**
 * The task beside an endpoint that takes orders, one at a time.
 *
 * @module
 */
import { assertNever, type Logger, runDecision } from "@redwingpin/common";
import type { KeyValueStore } from "@redwingpin/outside";
import { isOrder, type Order, orderTableKey } from "../decision/orders/order.js";
import { OrderProgress } from "../decision/orders/orderRound.js";
import { takeOrder, type TakeOrderEffect, type TakeOrderEvent } from "../decision/orders/takeOrder.js";

/** The endpoint as the taker of orders sees it. */
export interface OrderedEndpoint {
    /** Start of the endpoint that runs now; absent while it is down. */
    readonly incarnation: () => string | undefined;
    /** Takes no further requests; resolves when those that run have ended. */
    readonly drain: () => Promise<void>;
    readonly resume: () => void;
    /**
     * Gives the order to the endpoint; resolves with false where it was refused or failed. By then the routers have
     * been sent the endpoint's new status, so that none plans by the old one once it learns that the order is done.
     */
    readonly carryOut: (order: Order, fence: number) => Promise<boolean>;
}

/** Options of {@link createOrderExecutor}. */
export interface OrderExecutorOptions {
    readonly instance: string;
    readonly store: KeyValueStore;
    readonly logger: Logger;
    readonly endpoint: OrderedEndpoint;
}

/** Takes orders for one endpoint. */
export interface OrderExecutor {
    /** Takes an order, or answers what has become of it; never waits for it to be carried out. */
    handle(body: unknown): OrderProgress;
}

/** Orders whose end is remembered. */
const rememberedOrders = 100;

/** Makes the task that takes orders. */
export function createOrderExecutor(options: OrderExecutorOptions): OrderExecutor {
    return new OrderTakerTask(options);
}

class OrderTakerTask implements OrderExecutor {
    private readonly progress = new Map<number, OrderProgress>();
    private busy = false;

    constructor(private readonly options: OrderExecutorOptions) {}

    handle(body: unknown): OrderProgress {
        if (!isOrder(body) || body.instance !== this.options.instance) {
            return OrderProgress.Refused;
        }
        const known = this.progress.get(body.number);
        if (known !== undefined && known !== OrderProgress.Unknown) {
            return known;
        }
        if (this.busy) {
            return OrderProgress.Unknown;
        }
        void this.take(body);
        return OrderProgress.UnderWay;
    }

    private async take(order: Order): Promise<void> {
        this.busy = true;
        this.remember(order.number, OrderProgress.UnderWay);
        const progress = await runDecision(takeOrder(order), (effect) => this.perform(effect));
        this.remember(order.number, progress);
        this.busy = false;
        this.options.logger.info("order", { number: order.number, action: order.action.kind, progress });
    }

    private remember(number: number, progress: OrderProgress): void {
        this.progress.delete(number);
        this.progress.set(number, progress);
        for (const old of [...this.progress.keys()].slice(0, -rememberedOrders)) {
            this.progress.delete(old);
        }
    }

    private async perform(effect: TakeOrderEffect): Promise<TakeOrderEvent> {
        const { endpoint, store } = this.options;
        switch (effect.kind) {
            case "readTable":
                return (await store.read(orderTableKey)).match<TakeOrderEvent>(
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
            case "carryOut":
                return { kind: "carriedOut", accepted: await endpoint.carryOut(effect.order, effect.fence) };
            default:
                return assertNever(effect);
        }
    }
}
