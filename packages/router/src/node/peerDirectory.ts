/**
 * Which peers a router keeps in touch with, from the VM list: every other router, and its part of the agents.
 *
 * @module
 */
import { rendezvousOrder } from "@redwingpin/common";
import type { AddressedPeer, RouterDirectory } from "@redwingpin/configuration";
import { type VirtualMachine, VirtualMachineRole } from "@redwingpin/platform";

/** Routers that keep one agent up to date. */
const keepersPerAgent = 2;

/** The peers of one router. */
export class PeerDirectory implements RouterDirectory {
    private otherRouters: readonly AddressedPeer[] = [];
    private keptAgents: readonly AddressedPeer[] = [];

    constructor(private readonly instance: string) {}

    /** Takes in a reading of the VM list. */
    update(machines: readonly VirtualMachine[]): void {
        const routers = machines.filter((machine) =>
            machine.role === VirtualMachineRole.Router && !machine.leaving
        );
        this.otherRouters = routers.filter((router) => router.instance !== this.instance);
        this.keptAgents = machines
            .filter((machine) => machine.role === VirtualMachineRole.Agent)
            .filter((agent) => this.keeps(agent, routers));
    }

    routers(): readonly AddressedPeer[] {
        return this.otherRouters;
    }

    agents(): readonly AddressedPeer[] {
        return this.keptAgents;
    }

    /** Routers of the agent's own data centre keep it; where that has none, all do. */
    private keeps(agent: VirtualMachine, routers: readonly VirtualMachine[]): boolean {
        const near = routers.filter((router) => router.dataCentre === agent.dataCentre);
        const keepers = rendezvousOrder(
            agent.instance,
            near.length > 0 ? near : routers,
            (router) => router.instance,
        );
        return keepers.slice(0, keepersPerAgent).some((router) => router.instance === this.instance);
    }
}
