/**
 * Reads the VM list at an interval and hands each reading on.
 *
 * @module
 */
import type { CancelTimer, Clock, Logger } from "@redwingpin/common";
import type { VirtualMachine, VirtualMachineList } from "@redwingpin/platform";
import { virtualMachineListIntervalMilliseconds } from "../constants.js";

/** Options of {@link MachineWatch}. */
export interface MachineWatchOptions {
    readonly list: VirtualMachineList;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Called with each reading of the list. */
    readonly onMachines: (machines: readonly VirtualMachine[]) => void;
}

/** Reads the VM list; while it gives no answer the last reading stays in use. */
export class MachineWatch {
    private machines: readonly VirtualMachine[] = [];
    private cancelTimer: CancelTimer = () => {};
    private stopped = false;

    constructor(private readonly options: MachineWatchOptions) {}

    /** The last reading. */
    get current(): readonly VirtualMachine[] {
        return this.machines;
    }

    /** The VM of an instance; absent where the last reading does not show it. */
    find(instance: string): VirtualMachine | undefined {
        return this.machines.find((machine) => machine.instance === instance);
    }

    /** Reads the list once and then at the interval. */
    async start(): Promise<void> {
        const reading = await this.options.list.read();
        if (this.stopped) {
            return;
        }
        if (reading.isOk()) {
            this.machines = reading.value;
            this.options.onMachines(reading.value);
        }
        else {
            this.options.logger.warn("the VM list gave no answer; the last reading stays in use", {
                message: reading.error,
            });
        }
        this.cancelTimer = this.options.clock.schedule(
            virtualMachineListIntervalMilliseconds,
            () => void this.start(),
        );
    }

    stop(): void {
        this.stopped = true;
        this.cancelTimer();
    }
}
