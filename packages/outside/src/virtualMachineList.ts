/**
 * Interface to the platform's list of live and leaving VMs. The list may be out of date.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";

/** Program that runs on a VM. */
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
    /** True once the platform has asked the VM to leave. */
    readonly leaving: boolean;
}

/** Source of the list of VMs. */
export interface VirtualMachineList {
    read(): ResultAsync<readonly VirtualMachine[], string>;
}
