/**
 * Executes orders at the agent's engine: declines new requests, waits for running ones, and sends the order with its
 * fencing number.
 *
 * @module
 */
import type { Order, OrderTarget } from "@redwingpin/claims";
import type { Logger } from "@redwingpin/common";
import { request } from "undici";
import type { EndpointMonitor } from "./endpointMonitor.js";

/** Name of the sender in the agents' orders, for engines that check it. */
export const orderSender = "redwingpin";

/** Milliseconds in which an engine must execute an order. */
const orderTimeoutMilliseconds = 120_000;

/** Dependencies of an order target in its agent. */
export interface OrderTargetOptions {
    /** HTTP address of the engine. */
    readonly address: string;
    readonly monitor: EndpointMonitor;
    readonly logger: Logger;
    /** While true, new requests are declined; the change is sent to the routers. */
    readonly setOrderActive: (isActive: boolean) => void;
    /** Resolves when no request is running. */
    readonly waitUntilIdle: () => Promise<void>;
}

/** Creates the target through which the order executor sends orders to the engine. */
export function createOrderTarget(options: OrderTargetOptions): OrderTarget {
    return {
        incarnation: () => options.monitor.current.incarnation,
        drain() {
            options.setOrderActive(true);
            return options.waitUntilIdle();
        },
        resume: () => options.setOrderActive(false),
        async execute(order, fence) {
            const accepted = await sendOrder(options, order, fence);
            // The routers must receive the new weights before the leader receives the end of the order.
            await options.monitor.checkHealth();
            return accepted;
        },
    };
}

async function sendOrder(options: OrderTargetOptions, order: Order, fence: number): Promise<boolean> {
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
        options.logger.warn("engine did not answer an order", {
            number: order.number,
            error: String(error),
        });
        return false;
    }
}
