/**
 * Plans the processes of a playground: their commands, environments and addresses.
 *
 * @module
 */
import { EndpointKind } from "@redwingpin/manifest";
import type { NetworkLink, PortAllocator } from "@redwingpin/standins";
import { createRequire } from "node:module";
import { dirname, join } from "node:path";
import type { Deployment, DeploymentSize } from "./deployment.js";
import { type NetworkMember, planLinks, storeName } from "./networkPlan.js";
import { PlaygroundRole, type ProcessEnvironment } from "./state.js";

/** Address that all processes of a playground listen on. */
export const playgroundHost = "127.0.0.1";

/** A prompt that contains this text crashes the engine that receives it. */
export const crashMarker = "[crash the engine]";

/** How to start a process and check that it is ready. */
export interface ProcessPlan {
    readonly name: string;
    readonly role: PlaygroundRole;
    readonly command: readonly string[];
    readonly environment: ProcessEnvironment;
    /** Base address of a stand-in's control paths. */
    readonly control?: string;
    /** Address that answers with status 200 once the process is ready. */
    readonly readyAddress: string;
    /** Base address of a router. */
    readonly address?: string;
}

/** One entry of the VM list. */
export interface ListedMachine {
    readonly targets: readonly string[];
    readonly labels: Readonly<Record<string, string>>;
}

/** Plans of all processes, in the order of their start. */
export interface PlaygroundPlan {
    readonly standins: readonly ProcessPlan[];
    readonly agents: readonly ProcessPlan[];
    readonly routers: readonly ProcessPlan[];
    readonly virtualMachines: readonly ListedMachine[];
    readonly virtualMachineListControl: string;
    /** Links of the network stand-in; empty if processes connect directly. */
    readonly links: readonly NetworkLink[];
    /** Environment of the operator's command. */
    readonly operatorEnvironment: ProcessEnvironment;
}

/** Input of {@link planPlayground}. */
export interface PlanInput {
    readonly deployment: Deployment;
    readonly size: DeploymentSize;
    readonly ports: PortAllocator;
    readonly fleetKeyFile: string;
    /** File for the links of the network stand-in; if undefined, processes connect directly. */
    readonly linksFile?: string;
}

const resolver = createRequire(import.meta.url);

/** Returns the path of a program of the monorepo. */
export function programPath(packageName: string): string {
    const entry = resolver.resolve(`@redwingpin/${packageName}`);
    return join(dirname(entry), "node", "main.js");
}

/** Allocates ports and plans every process. */
export async function planPlayground(input: PlanInput): Promise<PlaygroundPlan> {
    const planner = new PlaygroundPlanner(input);
    return planner.plan();
}

interface PlannedEndpoint {
    readonly plan: ProcessPlan;
    readonly address: string;
    readonly kind: EndpointKind;
    readonly pool: string;
}

class PlaygroundPlanner {
    private readonly listedMachines: ListedMachine[] = [];
    private readonly members: NetworkMember[] = [];
    private readonly storeLinks: NetworkLink[] = [];
    private storePort = 0;
    private storeAddress = "";
    private virtualMachineListAddress = "";
    private weightStoreAddress = "";

    constructor(private readonly input: PlanInput) {}

    async plan(): Promise<PlaygroundPlan> {
        const store = await this.planStore();
        const virtualMachineList = await this.planVirtualMachineList();
        const endpoints = [...await this.planEngines(), ...await this.planServices()];
        const agents = await this.mapInOrder(endpoints, (endpoint, index) => this.planAgent(endpoint, index));
        const routerNumbers = Array.from({ length: this.input.size.routers }, (_, index) => index);
        const routers = await this.mapInOrder(routerNumbers, (index) => this.planRouter(index));
        const usesNetworkStandin = this.input.linksFile !== undefined;
        const memberLinks = usesNetworkStandin ? await planLinks(this.members, this.input.ports) : [];
        const network = usesNetworkStandin ? [await this.planNetwork(this.input.linksFile!)] : [];
        return {
            links: [...this.storeLinks, ...memberLinks],
            standins: [store, virtualMachineList, ...network, ...endpoints.map((endpoint) => endpoint.plan)],
            agents,
            routers,
            virtualMachines: this.listedMachines,
            virtualMachineListControl: virtualMachineList.control!,
            operatorEnvironment: this.createPlatformEnvironment(),
        };
    }

    private async mapInOrder<T, R>(
        items: readonly T[],
        convert: (item: T, index: number) => Promise<R>,
    ): Promise<R[]> {
        const results: R[] = [];
        for (const [index, item] of items.entries()) {
            results.push(await convert(item, index));
        }
        return results;
    }

    private async planStore(): Promise<ProcessPlan> {
        const { plan, address } = await this.planStandin(
            "store",
            PlaygroundRole.Store,
            ["store"],
            "/control/counts",
        );
        this.storeAddress = address;
        this.storePort = Number(new URL(address).port);
        return plan;
    }

    private async planNetwork(linksFile: string): Promise<ProcessPlan> {
        const command = ["network", "--links", linksFile];
        return (await this.planStandin("network", PlaygroundRole.Network, command, "/control/links")).plan;
    }

    /** Returns the store's address for a router. With a network stand-in, this is the address of a planned link. */
    private async planStoreLink(router: string): Promise<string> {
        if (this.input.linksFile === undefined) {
            return this.storeAddress;
        }
        const port = await this.input.ports.allocate();
        this.storeLinks.push({ from: router, to: storeName, port, targetPort: this.storePort });
        return addressOf(port);
    }

    private virtualMachineListAddressFor(reader: string): string {
        const query = this.input.linksFile === undefined ? "" : `?reader=${reader}`;
        return `${this.virtualMachineListAddress}${query}`;
    }

    private async planVirtualMachineList(): Promise<ProcessPlan> {
        const role = PlaygroundRole.VirtualMachineList;
        const { plan, address } = await this.planStandin(
            "vmList",
            role,
            ["vmList"],
            "/control/virtualMachines",
        );
        this.virtualMachineListAddress = `${address}/virtualMachines`;
        this.weightStoreAddress = `${address}/weights`;
        return plan;
    }

    private planEngines(): Promise<PlannedEndpoint[]> {
        const { deployment } = this.input;
        return this.mapInOrder(deployment.weights, async (weights, index) => {
            const options = ["--weights", weights, "--weight-store", this.weightStoreAddress];
            const marker = ["--crash-marker", crashMarker];
            const { plan, address } = await this.planStandin(
                `engine-${index + 1}`,
                PlaygroundRole.Engine,
                ["engine", ...options, ...marker],
                "/control/work",
            );
            return { plan, address, kind: EndpointKind.Engine, pool: deployment.enginePool.name };
        });
    }

    private planServices(): Promise<PlannedEndpoint[]> {
        const names = Array.from({ length: this.input.size.services }, (_, index) => `service-${index + 1}`);
        return this.mapInOrder(names, async (name) => {
            const role = PlaygroundRole.Service;
            const { plan, address } = await this.planStandin(name, role, ["service"], "/control/executions");
            return {
                plan,
                address,
                kind: EndpointKind.Service,
                pool: this.input.deployment.servicePool.name,
            };
        });
    }

    private async planStandin(
        name: string,
        role: PlaygroundRole,
        commandArguments: readonly string[],
        readyPath: string,
    ): Promise<{ plan: ProcessPlan; address: string; }> {
        const port = await this.input.ports.allocate();
        const controlPort = await this.input.ports.allocate();
        const control = addressOf(controlPort);
        const ports = ["--port", String(port), "--control-port", String(controlPort)];
        const command = [process.execPath, programPath("standins"), ...commandArguments, ...ports];
        const plan = {
            name,
            role,
            command,
            environment: {},
            control,
            readyAddress: `${control}${readyPath}`,
        };
        return { plan, address: addressOf(port) };
    }

    private async planAgent(endpoint: PlannedEndpoint, index: number): Promise<ProcessPlan> {
        const innerPort = await this.input.ports.allocate();
        const metricsPort = await this.input.ports.allocate();
        const instance = `agent-${index + 1}`;
        this.members.push({ name: instance, port: innerPort });
        const dataCentre = this.dataCentreFor(index);
        this.listedMachines.push({
            targets: [`${playgroundHost}:${innerPort}`],
            labels: { instance, role: "agent", data_centre: dataCentre, pool: endpoint.pool },
        });
        return {
            name: instance,
            role: PlaygroundRole.Agent,
            command: [process.execPath, programPath("agent")],
            environment: {
                REDWINGPIN_INSTANCE: instance,
                REDWINGPIN_DATA_CENTRE: dataCentre,
                REDWINGPIN_POOL: endpoint.pool,
                REDWINGPIN_LISTEN_HOST: playgroundHost,
                REDWINGPIN_INNER_PORT: String(innerPort),
                REDWINGPIN_METRICS_PORT: String(metricsPort),
                REDWINGPIN_ENDPOINT_ADDRESS: endpoint.address,
                REDWINGPIN_ENDPOINT_KIND: endpoint.kind,
                REDWINGPIN_STORE_ADDRESS: this.storeAddress,
                REDWINGPIN_FLEET_KEY_FILE: this.input.fleetKeyFile,
            },
            readyAddress: `${addressOf(metricsPort)}/ready`,
        };
    }

    private async planRouter(index: number): Promise<ProcessPlan> {
        const listenPort = await this.input.ports.allocate();
        const innerPort = await this.input.ports.allocate();
        const instance = `router-${index + 1}`;
        this.members.push({ name: instance, port: innerPort });
        const dataCentre = this.dataCentreFor(index);
        this.listedMachines.push({
            targets: [`${playgroundHost}:${innerPort}`],
            labels: { instance, role: "router", data_centre: dataCentre },
        });
        return {
            name: instance,
            role: PlaygroundRole.Router,
            command: [process.execPath, programPath("router")],
            environment: {
                REDWINGPIN_INSTANCE: instance,
                REDWINGPIN_DATA_CENTRE: dataCentre,
                REDWINGPIN_LISTEN_HOST: playgroundHost,
                REDWINGPIN_LISTEN_PORT: String(listenPort),
                REDWINGPIN_INNER_PORT: String(innerPort),
                ...this.createPlatformEnvironment(),
                REDWINGPIN_STORE_ADDRESS: await this.planStoreLink(instance),
                REDWINGPIN_VM_LIST_ADDRESS: this.virtualMachineListAddressFor(instance),
            },
            readyAddress: `${addressOf(listenPort)}/ready`,
            address: addressOf(listenPort),
        };
    }

    private createPlatformEnvironment(): ProcessEnvironment {
        return {
            REDWINGPIN_STORE_ADDRESS: this.storeAddress,
            REDWINGPIN_VM_LIST_ADDRESS: this.virtualMachineListAddress,
            REDWINGPIN_FLEET_KEY_FILE: this.input.fleetKeyFile,
        };
    }

    private dataCentreFor(index: number): string {
        const { dataCentres } = this.input.deployment;
        return dataCentres[index % dataCentres.length]!;
    }
}

function addressOf(port: number): string {
    return `http://${playgroundHost}:${port}`;
}
