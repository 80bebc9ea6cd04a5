/**
 * Settings of redwingpin-router, resolved once from flags and environment.
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
import { type FleetKeys, parseFleetKeys } from "@redwingpin/protocol";

const maxPort = 65_535;
const maxDurationMilliseconds = 86_400_000;
const maxConnectionCount = 1_000_000;

/** Everything that a router is told at its start. */
export interface ResolvedRouterConfig {
    /** Name of this instance, unique in the fleet. */
    readonly instance: string;
    readonly dataCentre: string;
    readonly listenHost: string;
    /** Port of the callers' HTTP. */
    readonly listenPort: number;
    /** Port of the inner protocol. */
    readonly innerPort: number;
    /** HTTP address of the platform's key-value store. */
    readonly storeAddress: string;
    readonly virtualMachineListAddress: string;
    readonly fleetKeys: FleetKeys;
    /** Milliseconds after which a request that is not answered is given up. */
    readonly requestTimeoutMilliseconds: number;
    /** Callers' connections that are open at once. */
    readonly maxConnections: number;
    readonly logLevel: LogLevel;
}

/** The settings of a router. */
export const routerSettings: SettingTable<ResolvedRouterConfig> = {
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
    listenPort: {
        variable: "REDWINGPIN_LISTEN_PORT",
        description: "Port of the callers' HTTP",
        parse: parseInteger(0, maxPort),
    },
    innerPort: {
        variable: "REDWINGPIN_INNER_PORT",
        description: "Port of the inner protocol",
        parse: parseInteger(0, maxPort),
    },
    storeAddress: {
        variable: "REDWINGPIN_STORE_ADDRESS",
        description: "HTTP address of the platform's key-value store",
        parse: parseHttpAddress,
    },
    virtualMachineListAddress: {
        variable: "REDWINGPIN_VM_LIST_ADDRESS",
        description: "HTTP address of the list of VMs",
        parse: parseHttpAddress,
    },
    fleetKeys: {
        variable: "REDWINGPIN_FLEET_KEY",
        description:
            "Key that all processes of the fleet share; two, separated by a comma, while it is changed",
        secret: true,
        parse: parseFleetKeys,
    },
    requestTimeoutMilliseconds: {
        variable: "REDWINGPIN_REQUEST_TIMEOUT_MILLISECONDS",
        description: "Milliseconds after which a request that is not answered is given up",
        defaultText: "600000",
        parse: parseInteger(1, maxDurationMilliseconds),
    },
    maxConnections: {
        variable: "REDWINGPIN_MAX_CONNECTIONS",
        description: "Callers' connections that are open at once",
        defaultText: "10000",
        parse: parseInteger(1, maxConnectionCount),
    },
    logLevel: {
        variable: "REDWINGPIN_LOG_LEVEL",
        description: "Least severe level that is logged: error, warn, info or debug",
        defaultText: LogLevel.Info,
        parse: parseMember(LogLevel),
    },
};
