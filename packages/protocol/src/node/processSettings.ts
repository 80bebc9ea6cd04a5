/**
 * Settings that routers and agents share.
 *
 * @module
 */
import {
    LogLevel,
    parseHttpAddress,
    parseInteger,
    parseMember,
    parseText,
    type SettingTable,
} from "@redwingpin/common";
import { type FleetKeys, parseFleetKeys } from "./fleetKey.js";

/** Highest TCP port. */
export const maxPort = 65_535;

/** Settings of every process on the inner network. */
export interface ResolvedProcessConfig {
    /** Name of this instance, unique in the fleet. */
    readonly instance: string;
    /** Data centre of the VM. */
    readonly dataCentre: string;
    readonly listenHost: string;
    /** Port of the inner protocol. */
    readonly innerPort: number;
    /** HTTP address of the platform's key-value store. */
    readonly storeAddress: string;
    readonly fleetKeys: FleetKeys;
    readonly logLevel: LogLevel;
}

/** The shared settings. */
export const processSettings: SettingTable<ResolvedProcessConfig> = {
    instance: { variable: "REDWINGPIN_INSTANCE", description: "Name of this instance", parse: parseText },
    dataCentre: {
        variable: "REDWINGPIN_DATA_CENTRE",
        description: "Data centre of this VM",
        parse: parseText,
    },
    listenHost: {
        variable: "REDWINGPIN_LISTEN_HOST",
        description: "Address to listen on",
        defaultText: "127.0.0.1",
        parse: parseText,
    },
    innerPort: {
        variable: "REDWINGPIN_INNER_PORT",
        description: "Port of the inner protocol",
        parse: parseInteger(0, maxPort),
    },
    storeAddress: {
        variable: "REDWINGPIN_STORE_ADDRESS",
        description:
            "HTTP address of the platform's key-value store; an agent reads it only when it receives an order",
        parse: parseHttpAddress,
    },
    fleetKeys: {
        variable: "REDWINGPIN_FLEET_KEY",
        description:
            "Key shared by all processes of the fleet; two keys, separated by a comma, while it is rotated",
        secret: true,
        parse: parseFleetKeys,
    },
    logLevel: {
        variable: "REDWINGPIN_LOG_LEVEL",
        description: "Minimum severity of log entries: error, warn, info or debug",
        defaultText: LogLevel.Info,
        parse: parseMember(LogLevel),
    },
};
