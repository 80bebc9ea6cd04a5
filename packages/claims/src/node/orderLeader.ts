/**
 * The order leader's task: the router that holds the lease runs rounds; the others wait for the lease to expire.
 *
 * @module
 */
import {
    assertNever,
    type Clock,
    type Logger,
    type Milliseconds,
    runDecision,
    sleep,
} from "@redwingpin/common";
import type { KeyValueStore } from "@redwingpin/outside";
import type { ResultAsync } from "neverthrow";
import { leaderLeaseDuration, orderRoundInterval } from "../constants.js";
import { type Order, orderLeaderKey, orderTableKey } from "../decision/orders/order.js";
import {
    OrderProgress,
    orderRound,
    type OrderRoundEffect,
    type OrderRoundEvent,
    type OrderRoundState,
} from "../decision/orders/orderRound.js";

/** Options of {@link createOrderLeader}. */
export interface OrderLeaderOptions extends Omit<OrderRoundState, "manifest"> {
    readonly clock: Clock;
    readonly instance: string;
    readonly store: KeyValueStore;
    readonly logger: Logger;
    /** The manifest in force; `undefined` before the first. */
    readonly manifest: () => OrderRoundState["manifest"] | undefined;
    /** True if this instance should compete for the lease; a few candidates in the fleet suffice. */
    readonly isCandidate: () => boolean;
    /** Sends an order to its agent, which answers with {@link OrderProgress}. */
    readonly sendOrder: (order: Order) => ResultAsync<unknown, string>;
}

/** Runs order rounds while it holds the lease. */
export interface OrderLeader {
    start(): void;
    stop(): void;
}

/** Creates the order leader's task. */
export function createOrderLeader(options: OrderLeaderOptions): OrderLeader {
    return new OrderLeaderTask(options);
}

interface HeldLease {
    readonly lease: string;
    readonly validUntil: Milliseconds;
}

class OrderLeaderTask implements OrderLeader {
    private heldLease: HeldLease | undefined;
    private isStopped = false;

    constructor(private readonly options: OrderLeaderOptions) {}

    start(): void {
        void this.run();
    }

    stop(): void {
        this.isStopped = true;
    }

    private async run(): Promise<void> {
        while (!this.isStopped) {
            await this.runRound();
            await sleep(
                this.options.clock,
                this.heldLease === undefined ? leaderLeaseDuration / 2 : orderRoundInterval,
            );
        }
    }

    private async runRound(): Promise<void> {
        const manifest = this.options.manifest();
        if (manifest === undefined || !this.options.isCandidate()) {
            this.heldLease = undefined;
            return;
        }
        await this.renewLease();
        if (this.heldLease !== undefined) {
            const { statuses, isListed } = this.options;
            const round = orderRound({ manifest, statuses, isListed });
            const outcome = await runDecision(round, (effect) => this.perform(effect));
            this.options.logger.debug("order round ended", { outcome: outcome.kind });
        }
    }

    /** Renews the lease or tries to acquire it. Its validity is counted from the time before the request was sent. */
    private async renewLease(): Promise<void> {
        const { clock, store } = this.options;
        const validUntil = clock.now() + leaderLeaseDuration;
        if (this.heldLease !== undefined) {
            const { lease } = this.heldLease;
            const renewed = await store.keepLeaseAlive(lease);
            const hasExpired = renewed.isErr() && clock.now() >= this.heldLease.validUntil;
            this.heldLease = renewed.isOk() ? { lease, validUntil } : hasExpired ? undefined : this.heldLease;
            return;
        }
        const current = await store.read(orderLeaderKey);
        if (current.isErr() || current.value !== undefined) {
            return;
        }
        const lease = await store.grantLease(leaderLeaseDuration);
        if (lease.isOk()) {
            const name = Buffer.from(this.options.instance);
            const swap = await store.compareAndSwap(orderLeaderKey, 0, name, lease.value);
            this.heldLease = swap.isOk() && swap.value.swapped
                ? { lease: lease.value, validUntil }
                : undefined;
        }
    }

    private async perform(effect: OrderRoundEffect): Promise<OrderRoundEvent> {
        const { store } = this.options;
        switch (effect.kind) {
            case "readTable":
                return (await store.read(orderTableKey)).match<OrderRoundEvent>(
                    (entry) => ({ kind: "read", entry }),
                    (error) => ({ kind: "storeFailed", error }),
                );
            case "writeTable":
                return (await store.compareAndSwap(orderTableKey, effect.expected, effect.value))
                    .match<OrderRoundEvent>(
                        (outcome) => ({ kind: "written", outcome }),
                        (error) => ({ kind: "storeFailed", error }),
                    );
            case "send":
                return {
                    kind: "sent",
                    progress: await Promise.all(effect.orders.map((order) => this.sendOrder(order))),
                };
            default:
                return assertNever(effect);
        }
    }

    private async sendOrder(order: Order): Promise<OrderProgress> {
        const reply = await this.options.sendOrder(order);
        const known = Object.values(OrderProgress).find((progress) => progress === reply.unwrapOr(undefined));
        return known ?? OrderProgress.Unknown;
    }
}
