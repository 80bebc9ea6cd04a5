/**
 * What this router knows of agents: their addresses from the VM list, their status from their messages.
 *
 * @module
 */
import type { CancelTimer, Clock, Logger } from "@redwingpin/common";
import { type VirtualMachine, type VirtualMachineList, VirtualMachineRole } from "@redwingpin/platform";
import type { EndpointStatus } from "@redwingpin/protocol";
import { virtualMachineListIntervalMilliseconds } from "../constants.js";

/** One endpoint that a router may choose. */
export interface KnownEndpoint {
    readonly machine: VirtualMachine;
    /** Absent until the agent has been heard. */
    readonly status: EndpointStatus | undefined;
}

/** Options of {@link EndpointDirectory}. */
export interface EndpointDirectoryOptions {
    readonly list: VirtualMachineList;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Called after each reading of the list. */
    readonly onMachines: (machines: readonly VirtualMachine[]) => void;
}

/** Reads the VM list at an interval; while it gives no answer the last reading stays in use. */
export class EndpointDirectory {
    private machines: readonly VirtualMachine[] = [];
    private readonly statuses = new Map<string, EndpointStatus>();
    private cancelTimer: CancelTimer = () => {};
    private stopped = false;

    constructor(private readonly options: EndpointDirectoryOptions) {}

    /** Reads the list once and then at the interval. */
    async start(): Promise<void> {
        await this.refresh();
    }

    stop(): void {
        this.stopped = true;
        this.cancelTimer();
    }

    /** Takes in an agent's status. */
    observe(status: EndpointStatus): void {
        this.statuses.set(status.instance, status);
    }

    /** Endpoints of a pool that are not leaving. */
    endpointsOf(pool: string): KnownEndpoint[] {
        return this.machines
            .filter((machine) => machine.role === VirtualMachineRole.Agent && machine.pool === pool && !machine.leaving)
            .map((machine) => ({ machine, status: this.statuses.get(machine.instance) }));
    }

    /** The VM of an instance. */
    find(instance: string): VirtualMachine | undefined {
        return this.machines.find((machine) => machine.instance === instance);
    }

    /** Every VM of the last reading. */
    all(): readonly VirtualMachine[] {
        return this.machines;
    }

    private async refresh(): Promise<void> {
        const machines = await this.options.list.read();
        if (this.stopped) {
            return;
        }
        machines.match((value) => this.install(value), (message) => this.options.logger.warn("the VM list gave no answer", { message }));
        this.cancelTimer = this.options.clock.schedule(virtualMachineListIntervalMilliseconds, () => void this.refresh());
    }

    private install(machines: readonly VirtualMachine[]): void {
        this.machines = machines;
        const present = new Set(machines.map((machine) => machine.instance));
        for (const instance of this.statuses.keys()) {
            if (!present.has(instance)) {
                this.statuses.delete(instance);
            }
        }
        this.options.onMachines(machines);
    }
}
