/**
 * Settings of redwingpin-router, resolved once from flags and environment.
 *
 * @module
 */
import { blockBytes, parseHttpAddress, parseInteger, type SettingTable } from "@redwingpin/common";
import { maxPort, processSettings, type ResolvedProcessConfig } from "@redwingpin/protocol";

const maxDurationMilliseconds = 86_400_000;
const maxConnectionCount = 1_000_000;

/** A body may take half of the memory for one copy of the bodies, and is held twice. */
const minBufferedBytes = 4 * blockBytes;
const maxBufferedBytesSetting = 1_000_000_000_000;

/** Resolved settings of a router. */
export interface ResolvedRouterConfig extends ResolvedProcessConfig {
    /** Port on which callers connect over HTTP. */
    readonly listenPort: number;
    readonly virtualMachineListAddress: string;
    /** Milliseconds after which a request times out. */
    readonly requestTimeoutMilliseconds: number;
    /** Maximum number of open connections of callers. */
    readonly maxConnections: number;
    /** Maximum total size of the bodies of callers' requests that are held, in bytes. */
    readonly maxBufferedBytes: number;
}

/** The settings of a router. */
export const routerSettings: SettingTable<ResolvedRouterConfig> = {
    ...processSettings,
    listenPort: {
        variable: "REDWINGPIN_LISTEN_PORT",
        description: "Port on which callers connect over HTTP",
        parse: parseInteger(0, maxPort),
    },
    virtualMachineListAddress: {
        variable: "REDWINGPIN_VM_LIST_ADDRESS",
        description: "HTTP address of the VM list",
        parse: parseHttpAddress,
    },
    requestTimeoutMilliseconds: {
        variable: "REDWINGPIN_REQUEST_TIMEOUT_MILLISECONDS",
        description: "Milliseconds after which a request times out",
        defaultText: "600000",
        parse: parseInteger(1, maxDurationMilliseconds),
    },
    maxConnections: {
        variable: "REDWINGPIN_MAX_CONNECTIONS",
        description: "Maximum number of callers' open connections",
        defaultText: "10000",
        parse: parseInteger(1, maxConnectionCount),
    },
    maxBufferedBytes: {
        variable: "REDWINGPIN_MAX_BUFFERED_BYTES",
        description:
            "Maximum total size of the bodies of callers' requests that are held; a body may have a quarter of it",
        defaultText: "100663296",
        parse: parseInteger(minBufferedBytes, maxBufferedBytesSetting),
    },
};
