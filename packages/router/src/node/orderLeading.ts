/**
 * Leads the orders to engines from a few routers of the fleet.
 *
 * @module
 */
import { createOrderLeader, type OrderLeader } from "@redwingpin/claims";
import { type Clock, type Logger, rendezvousOrder } from "@redwingpin/common";
import type { Configuration } from "@redwingpin/configuration";
import { type KeyValueStore, type VirtualMachine, VirtualMachineRole } from "@redwingpin/outside";
import { type EndpointStatus, type InnerNode, Topic } from "@redwingpin/protocol";
import { errAsync } from "neverthrow";

const candidateRouters = 3;
const orderCallTimeoutMilliseconds = 2_000;

/** What leading needs of its router. */
export interface OrderLeadingOptions {
    readonly clock: Clock;
    readonly instance: string;
    readonly store: KeyValueStore;
    readonly logger: Logger;
    readonly innerNode: InnerNode;
    readonly configuration: Configuration;
    /** The last reading of the VM list. */
    readonly machines: () => readonly VirtualMachine[];
    /** Names of the live routers, this one among them. */
    readonly routers: () => readonly string[];
    /** The newest status of each endpoint that this router has heard of. */
    readonly statuses: () => readonly EndpointStatus[];
}

/** Makes the task that leads the orders while this router is a candidate and holds the lease. */
export function createOrderLeading(options: OrderLeadingOptions): OrderLeader {
    const find = (instance: string) => options.machines().find((machine) => machine.instance === instance);
    return createOrderLeader({
        clock: options.clock,
        instance: options.instance,
        store: options.store,
        logger: options.logger,
        manifest: () => options.configuration.current()?.index.manifest,
        statuses: () => {
            greetUnknownAgents(options);
            return options.statuses();
        },
        isListed: (instance) => find(instance) !== undefined,
        isCandidate: () => {
            const order = rendezvousOrder("orders", options.routers(), (instance) => instance);
            return order.slice(0, candidateRouters).includes(options.instance);
        },
        give(order) {
            const machine = find(order.instance);
            return machine === undefined
                ? errAsync(`instance "${order.instance}" is not in the list of VMs`)
                : options.innerNode.call(machine, Topic.Orders, order, orderCallTimeoutMilliseconds)
                    .mapErr((error) => error.message);
        },
    });
}

/** Connects to agents that have not been heard of: each sends its status, and again when it changes. */
function greetUnknownAgents(options: OrderLeadingOptions): void {
    const known = new Set(options.statuses().map((status) => status.instance));
    for (const machine of options.machines()) {
        if (machine.role === VirtualMachineRole.Agent && !known.has(machine.instance)) {
            void options.innerNode.connect(machine);
        }
    }
}
