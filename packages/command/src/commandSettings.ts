/**
 * Settings of the operator's command.
 *
 * @module
 */
import { parseHttpAddress, type SettingTable } from "@redwingpin/common";
import { type FleetKeys, parseFleetKeys } from "@redwingpin/protocol";

/** Settings of a command that reads or writes the store. */
export interface StoreSettings {
    /** HTTP address of the platform's key-value store. */
    readonly storeAddress: string;
}

/** Settings of a command that queries the fleet's processes. */
export interface FleetSettings {
    readonly virtualMachineListAddress: string;
    readonly fleetKeys: FleetKeys;
}

/** Definitions of {@link StoreSettings}. */
export const storeSettings: SettingTable<StoreSettings> = {
    storeAddress: {
        variable: "REDWINGPIN_STORE_ADDRESS",
        description: "HTTP address of the platform's key-value store",
        parse: parseHttpAddress,
    },
};

/** Definitions of {@link FleetSettings}. */
export const fleetSettings: SettingTable<FleetSettings> = {
    virtualMachineListAddress: {
        variable: "REDWINGPIN_VM_LIST_ADDRESS",
        description: "HTTP address of the VM list",
        parse: parseHttpAddress,
    },
    fleetKeys: {
        variable: "REDWINGPIN_FLEET_KEY",
        description: "Key shared by all processes of the fleet",
        secret: true,
        parse: parseFleetKeys,
    },
};
