/**
 * Delivers this router's reports to others while a caller's request waits for it.
 *
 * @module
 */
import { type Clock, type Milliseconds, sleep } from "@redwingpin/common";

/** Maximum time that a caller's request waits for a delivery; live routers answer within some milliseconds. */
const deliveryTimeout: Milliseconds = 60;

interface Delivery {
    running: Promise<void>;
    /** The delivery that begins once the running one has ended. */
    next: Promise<void> | undefined;
}

/** The deliveries of one router. */
export class ReportDeliveries {
    /** By the names of the receivers. */
    private readonly deliveries = new Map<string, Delivery>();

    /** `deliverTo` sends reports to the routers of these names and resolves when all have answered. */
    constructor(
        private readonly clock: Clock,
        private readonly deliverTo: (routers: readonly string[]) => Promise<void>,
    ) {}

    /**
     * Delivers a report to the given routers; resolves when all have answered, or after {@link deliveryTimeout}. Calls for
     * the same routers during a delivery share the next one.
     */
    deliver(routers: readonly string[]): Promise<void> {
        const key = routers.join();
        const delivery = this.deliveries.get(key) ?? { running: Promise.resolve(), next: undefined };
        this.deliveries.set(key, delivery);
        delivery.next ??= delivery.running.then(() => {
            delivery.next = undefined;
            delivery.running = this.deliverOnce(routers).finally(() => {
                if (delivery.next === undefined) {
                    this.deliveries.delete(key);
                }
            });
            return delivery.running;
        });
        return delivery.next;
    }

    private async deliverOnce(routers: readonly string[]): Promise<void> {
        await Promise.race([this.deliverTo(routers), sleep(this.clock, deliveryTimeout)]);
    }
}
