/**
 * The task that leads the orders: one router holds the lease and runs rounds; the others wait for it to lapse.
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
    /** Name of this instance. */
    readonly instance: string;
    readonly store: KeyValueStore;
    readonly logger: Logger;
    /** The manifest in force, once there is one. */
    readonly manifest: () => OrderRoundState["manifest"] | undefined;
    /** True where this instance should try to lead; a few of the fleet suffice. */
    readonly isCandidate: () => boolean;
    /** Gives an order to its agent, which answers {@link OrderProgress}. */
    readonly give: (order: Order) => ResultAsync<unknown, string>;
}

/** Leads the orders while it holds the lease. */
export interface OrderLeader {
    start(): void;
    stop(): void;
}

/** Makes the task that leads the orders. */
export function createOrderLeader(options: OrderLeaderOptions): OrderLeader {
    return new OrderLeaderTask(options);
}

interface HeldLease {
    readonly lease: string;
    readonly validUntil: Milliseconds;
}

class OrderLeaderTask implements OrderLeader {
    private held: HeldLease | undefined;
    private stopped = false;

    constructor(private readonly options: OrderLeaderOptions) {}

    start(): void {
        void this.run();
    }

    stop(): void {
        this.stopped = true;
    }

    private async run(): Promise<void> {
        while (!this.stopped) {
            await this.turn();
            await sleep(
                this.options.clock,
                this.held === undefined ? leaderLeaseDuration / 2 : orderRoundInterval,
            );
        }
    }

    private async turn(): Promise<void> {
        const manifest = this.options.manifest();
        if (manifest === undefined || !this.options.isCandidate()) {
            this.held = undefined;
            return;
        }
        await this.renew();
        if (this.held !== undefined) {
            const { statuses, isListed } = this.options;
            const round = orderRound({ manifest, statuses, isListed });
            const outcome = await runDecision(round, (effect) => this.perform(effect));
            this.options.logger.debug("round of orders", { outcome: outcome.kind });
        }
    }

    /** Keeps the lease, or tries to get it. The lease counts from before it was asked for. */
    private async renew(): Promise<void> {
        const { clock, store } = this.options;
        const validUntil = clock.now() + leaderLeaseDuration;
        if (this.held !== undefined) {
            const { lease } = this.held;
            const renewed = await store.keepLeaseAlive(lease);
            const lapsed = renewed.isErr() && clock.now() >= this.held.validUntil;
            this.held = renewed.isOk() ? { lease, validUntil } : lapsed ? undefined : this.held;
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
            this.held = swap.isOk() && swap.value.swapped ? { lease: lease.value, validUntil } : undefined;
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
            case "give":
                return {
                    kind: "given",
                    progress: await Promise.all(effect.orders.map((order) => this.give(order))),
                };
            default:
                return assertNever(effect);
        }
    }

    private async give(order: Order): Promise<OrderProgress> {
        const reply = await this.options.give(order);
        const known = Object.values(OrderProgress).find((progress) => progress === reply.unwrapOr(undefined));
        return known ?? OrderProgress.Unknown;
    }
}
