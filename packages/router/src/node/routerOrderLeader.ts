/**
 * Connects the order leader to its router. The order leader sends orders to engines; a few routers of the fleet compete
 * for its lease.
 *
 * @module
 */
import { createOrderLeader, type OrderLeader } from "@redwingpin/claims";
import { type Clock, type Logger, rendezvousOrder } from "@redwingpin/common";
import type { Configuration } from "@redwingpin/configuration";
import { type KeyValueStore, type VirtualMachine, VirtualMachineRole } from "@redwingpin/outside";
import { type EndpointStatus, type InnerNode, Topic } from "@redwingpin/protocol";
import { errAsync } from "neverthrow";

const candidateCount = 3;
const orderCallTimeoutMilliseconds = 2_000;

/** Dependencies of the leader in its router. */
export interface RouterOrderLeaderOptions {
    readonly clock: Clock;
    readonly instance: string;
    readonly store: KeyValueStore;
    readonly logger: Logger;
    readonly innerNode: InnerNode;
    readonly configuration: Configuration;
    /** Contents of the VM list as last read. */
    readonly machines: () => readonly VirtualMachine[];
    /** Names of the live routers, including this one. */
    readonly routers: () => readonly string[];
    /** The last status received of each endpoint. */
    readonly statuses: () => readonly EndpointStatus[];
}

/** Creates the order leader, which sends orders while this router is a candidate and holds the lease. */
export function createRouterOrderLeader(options: RouterOrderLeaderOptions): OrderLeader {
    const find = (instance: string) => options.machines().find((machine) => machine.instance === instance);
    return createOrderLeader({
        clock: options.clock,
        instance: options.instance,
        store: options.store,
        logger: options.logger,
        manifest: () => options.configuration.current()?.index.manifest,
        statuses: () => {
            connectUnknownAgents(options);
            return options.statuses();
        },
        isListed: (instance) => find(instance) !== undefined,
        isCandidate: () => {
            const order = rendezvousOrder("orders", options.routers(), (instance) => instance);
            return order.slice(0, candidateCount).includes(options.instance);
        },
        sendOrder(order) {
            const machine = find(order.instance);
            return machine === undefined
                ? errAsync(`instance "${order.instance}" is not in the VM list`)
                : options.innerNode.call(machine, Topic.Orders, order, orderCallTimeoutMilliseconds)
                    .mapErr((error) => error.message);
        },
    });
}

/** Connects to agents without a known status: each then sends its status, now and at every change. */
function connectUnknownAgents(options: RouterOrderLeaderOptions): void {
    const known = new Set(options.statuses().map((status) => status.instance));
    for (const machine of options.machines()) {
        if (machine.role === VirtualMachineRole.Agent && !known.has(machine.instance)) {
            void options.innerNode.connect(machine);
        }
    }
}
