/**
 * A small site whose router and agent are processes of their own; store, list of VMs and service are stand-ins.
 *
 * @module
 */
import { systemClock } from "@redwingpin/common";
import { submitManifest } from "@redwingpin/configuration";
import { EndpointKind } from "@redwingpin/manifest";
import { createEtcdStore } from "@redwingpin/outside";
import {
    PortAllocator,
    startServiceStandin,
    startStoreStandin,
    startVirtualMachineListStandin,
} from "@redwingpin/standins";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { assignRosterPositions, fleetKey, listEntry, siteManifest, workshopKey } from "./siteFixture.js";

export { workshopKey };

const host = "127.0.0.1";
const programPorts = new PortAllocator(host);

/** A running program. */
export interface ProcessSiteProgram {
    readonly name: string;
    readonly child: ChildProcess;
    /** Lines that it wrote to its standard output and error. */
    readonly lines: readonly string[];
}

/** A running site. */
export interface ProcessSite {
    /** Address of the router for callers. */
    readonly address: string;
    readonly ports: Readonly<Record<"callers" | "routerInner" | "agentHealth" | "agentInner", number>>;
    readonly programs: readonly ProcessSiteProgram[];
    stop(): Promise<void>;
}

/** Options of {@link startProcessSite}. */
export interface ProcessSiteOptions {
    /** Flags of Node.js. */
    readonly flags: readonly string[];
    /** Maximum number of callers' connections. */
    readonly maxConnections: number;
    /** Maximum total size in bytes of the bodies that the router holds. */
    readonly maxBufferedBytes: number;
}

/** Path of the program of a package. */
function mainOf(packageName: string): string {
    return join(dirname(fileURLToPath(import.meta.resolve(packageName))), "node", "main.js");
}

function startProgram(
    name: string,
    packageName: string,
    flags: readonly string[],
    environment: Readonly<Record<string, string>>,
): ProcessSiteProgram {
    const lines: string[] = [];
    const child = spawn(process.execPath, [...flags, mainOf(packageName)], {
        env: { REDWINGPIN_INSTANCE: name, REDWINGPIN_FLEET_KEY: fleetKey, ...environment },
        stdio: ["ignore", "pipe", "pipe"],
    });
    const keepLines = (chunk: Buffer) => lines.push(...chunk.toString().split("\n"));
    child.stdout.on("data", keepLines);
    child.stderr.on("data", keepLines);
    return { name, child, lines };
}

async function stopProgram({ child }: ProcessSiteProgram): Promise<void> {
    if (child.exitCode === null && child.signalCode === null) { // eslint-disable-line no-restricted-syntax -- ChildProcess states null
        const exited = once(child, "exit");
        child.kill("SIGKILL");
        await exited;
    }
}

/** Starts a site with one router, one agent and one service, and waits until a call is answered. */
export async function startProcessSite(options: ProcessSiteOptions): Promise<ProcessSite> {
    const { flags, maxBufferedBytes, maxConnections } = options;
    const [storeStandin, list, service] = await Promise.all([
        startStoreStandin({ port: 0 }),
        startVirtualMachineListStandin({ port: 0 }),
        startServiceStandin({ port: 0 }),
    ]);
    const store = createEtcdStore({ address: storeStandin.address, clock: systemClock });
    (await submitManifest(store, siteManifest(), "process site"))._unsafeUnwrap();
    await assignRosterPositions(store);
    const ports = {
        callers: await programPorts.allocate(),
        routerInner: await programPorts.allocate(),
        agentHealth: await programPorts.allocate(),
        agentInner: await programPorts.allocate(),
    };
    await fetch(`${list.controlAddress}/control/virtualMachines`, {
        method: "PUT",
        body: JSON.stringify([
            listEntry("router-1", "router", ports.routerInner),
            listEntry("agent-1", "agent", ports.agentInner, "registry"),
        ]),
    });
    const common = { REDWINGPIN_DATA_CENTRE: "hobart", REDWINGPIN_STORE_ADDRESS: storeStandin.address };
    const programs = [
        startProgram("agent-1", "@redwingpin/agent", flags, {
            ...common,
            REDWINGPIN_POOL: "registry",
            REDWINGPIN_INNER_PORT: String(ports.agentInner),
            REDWINGPIN_METRICS_PORT: String(ports.agentHealth),
            REDWINGPIN_ENDPOINT_ADDRESS: service.address,
            REDWINGPIN_ENDPOINT_KIND: EndpointKind.Service,
        }),
        startProgram("router-1", "@redwingpin/router", flags, {
            ...common,
            REDWINGPIN_LISTEN_PORT: String(ports.callers),
            REDWINGPIN_INNER_PORT: String(ports.routerInner),
            REDWINGPIN_VM_LIST_ADDRESS: list.address,
            REDWINGPIN_MAX_CONNECTIONS: String(maxConnections),
            REDWINGPIN_MAX_BUFFERED_BYTES: String(maxBufferedBytes),
        }),
    ];
    const address = `http://${host}:${ports.callers}`;
    await untilAnswered(address);
    return {
        address,
        ports,
        programs,
        stop: async () => {
            await Promise.all(programs.map(stopProgram));
            await store.close();
            await Promise.all([service, list, storeStandin].map((standin) => standin.stop()));
        },
    };
}

async function untilAnswered(address: string): Promise<void> {
    const isAnswered = () =>
        fetch(`${address}/services/status/x`, {
            method: "POST",
            headers: { authorization: `Bearer ${workshopKey}` },
            body: "ready?",
        }).then(({ ok }) => ok, () => false);
    while (!await isAnswered()) {
        await new Promise((resolve) => setTimeout(resolve, 20));
    }
}
