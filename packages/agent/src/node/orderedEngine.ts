/**
 * Carries out orders at the engine beside this agent: holds back new requests, waits for those that run, and sends the
 * order with its fencing number.
 *
 * @module
 */
import type { Order, OrderedEndpoint } from "@redwingpin/claims";
import type { Logger } from "@redwingpin/common";
import { request } from "undici";
import type { EndpointMonitor } from "./endpointMonitor.js";

/** Name under which agents give orders to endpoints that check who orders. */
export const orderSender = "redwingpin";

/** Milliseconds in which an engine must have carried out an order. */
const orderTimeoutMilliseconds = 120_000;

/** What orders need of their agent. */
export interface OrderedEngineOptions {
    /** HTTP address of the engine. */
    readonly address: string;
    readonly monitor: EndpointMonitor;
    readonly logger: Logger;
    /** Declines new requests while true, and tells the routers. */
    readonly setHeld: (held: boolean) => void;
    /** Resolves when no request runs. */
    readonly untilIdle: () => Promise<void>;
}

/** The engine as the order taker sees it. */
export function createOrderedEngine(options: OrderedEngineOptions): OrderedEndpoint {
    return {
        incarnation: () => options.monitor.current.incarnation,
        drain() {
            options.setHeld(true);
            return options.untilIdle();
        },
        resume: () => options.setHeld(false),
        async carryOut(order, fence) {
            const accepted = await sendOrder(options, order, fence);
            // The routers must know the new weights before the leader learns that the order is done.
            await options.monitor.look();
            return accepted;
        },
    };
}

async function sendOrder(options: OrderedEngineOptions, order: Order, fence: number): Promise<boolean> {
    try {
        const answer = await request(`${options.address}/orders`, {
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify({ fence, sender: orderSender, ...order.action }),
            headersTimeout: orderTimeoutMilliseconds,
            bodyTimeout: orderTimeoutMilliseconds,
        });
        await answer.body.dump();
        return answer.statusCode === 200;
    }
    catch (error) {
        options.logger.warn("the engine gave no answer to an order", {
            number: order.number,
            error: String(error),
        });
        return false;
    }
}
