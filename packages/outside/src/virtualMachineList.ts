/**
 * The platform's list of live and leaving VMs, as the product sees it. The list lags behind what is so.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";

/** What runs on a VM. */
export enum VirtualMachineRole {
    Router = "router",
    Agent = "agent",
}

/** One VM of the list. */
export interface VirtualMachine {
    /** Name of the instance that runs on the VM. */
    readonly instance: string;
    readonly role: VirtualMachineRole;
    readonly host: string;
    /** Port of the inner protocol. */
    readonly port: number;
    readonly dataCentre: string;
    /** Pool of the endpoint beside an agent; absent for routers. */
    readonly pool?: string;
    /** True once the VM has been told to leave. */
    readonly leaving: boolean;
}

/** Reads the list of VMs. */
export interface VirtualMachineList {
    read(): ResultAsync<readonly VirtualMachine[], string>;
}
