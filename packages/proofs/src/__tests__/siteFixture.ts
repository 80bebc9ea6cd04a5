/**
 * A small site in one process: stand-ins, agents and a router that communicate over real sockets.
 *
 * @module
 */
import { encodeRoster, rosterKey, rosterPositions } from "@redwingpin/admission";
import { Agent, agentSettings } from "@redwingpin/agent";
import { resolveSettings, sha256Hex, silentLogger, systemClock } from "@redwingpin/common";
import { submitManifest } from "@redwingpin/configuration";
import { EndpointKind, type Manifest, RouteKind, RoutePriority } from "@redwingpin/manifest";
import {
    createEtcdStore,
    createVirtualMachineList,
    type KeyValueStore,
    MemoryStore,
} from "@redwingpin/outside";
import { Router, routerSettings } from "@redwingpin/router";
import {
    type Standin,
    startEngineStandin,
    startServiceStandin,
    startStoreStandin,
    startVirtualMachineListStandin,
} from "@redwingpin/standins";
import { Registry } from "prom-client";

export const fleetKey = "fleet key of the site fixture";
export const workshopKey = "workshop-key-for-tests";
export const inspectorKey = "inspector-key-for-tests";
const host = "127.0.0.1";

/** Creates the manifest that the site starts with. */
export function siteManifest(): Manifest {
    const digest = (key: string) => `sha256:${sha256Hex(key)}`;
    const rate = { tokensPerSecond: 1_000_000, burstTokens: 4_000_000 };
    const shared = {
        priority: RoutePriority.Normal,
        access: { open: false, accounts: ["workshop"] },
    } as const;
    return {
        models: [{
            name: "drafting",
            versions: [{ name: "v1", weights: "weights-1", replicas: 2 }],
            adapters: [],
        }],
        pools: [
            {
                name: "engines",
                kind: EndpointKind.Engine,
                model: "drafting",
                checksSender: false,
                checksFencing: false,
            },
            { name: "registry", kind: EndpointKind.Service, checksSender: false, checksFencing: false },
        ],
        accounts: [
            { name: "workshop", ...rate, keys: [{ name: "first", digest: digest(workshopKey) }] },
            { name: "inspector", ...rate, keys: [{ name: "first", digest: digest(inspectorKey) }] },
        ],
        routes: [
            {
                ...shared,
                kind: RouteKind.Model,
                name: "draft",
                pool: "engines",
                idempotent: true,
                model: "drafting",
                version: "v1",
            },
            {
                ...shared,
                kind: RouteKind.Service,
                name: "stamps",
                pool: "registry",
                idempotent: false,
                callTokens: 10,
            },
            {
                ...shared,
                kind: RouteKind.Service,
                name: "status",
                pool: "registry",
                idempotent: true,
                callTokens: 10,
            },
        ],
    };
}

export interface Site {
    readonly address: string;
    readonly engines: readonly Standin[];
    readonly service: Standin;
    stop(): Promise<void>;
}

/** Starts a site with two engines, one service and one router, and waits until the router admits requests. */
export async function startSite(
    manifest: Manifest = siteManifest(),
    startEngine: () => Promise<Standin> = () => startEngineStandin({ port: 0 }),
): Promise<Site> {
    const storeStandin = await startStoreStandin({ port: 0 });
    const engines = [await startEngine(), await startEngine()];
    const service = await startServiceStandin({ port: 0 });
    const endpoints = [
        ...engines.map((engine) => ({ address: engine.address, pool: "engines", kind: EndpointKind.Engine })),
        { address: service.address, pool: "registry", kind: EndpointKind.Service },
    ];
    const agents = endpoints.map((endpoint, position) => createAgent(`agent-${position}`, endpoint));
    const ports = await Promise.all(agents.map((agent) => agent.start()));
    const list = await startVirtualMachineListStandin({
        port: 0,
    });
    const store = createEtcdStore({ address: storeStandin.address, clock: systemClock });
    (await submitManifest(store, manifest, "site fixture"))._unsafeUnwrap();
    await assignRosterPositions(store);
    const virtualMachineList = createVirtualMachineList({ address: list.address, clock: systemClock });
    const router = createRouter(store, virtualMachineList);
    const routerPorts = await router.start();
    const address = `http://${host}:${routerPorts.listenPort}`;
    await fetch(`${list.controlAddress}/control/virtualMachines`, {
        method: "PUT",
        body: JSON.stringify([
            listEntry("router-1", "router", routerPorts.innerPort),
            ...ports.map((port, position) =>
                listEntry(`agent-${position}`, "agent", port, endpoints[position].pool)
            ),
        ]),
    });
    await waitUntilReady(address);
    return {
        address,
        engines,
        service,
        stop: async () => {
            router.stop();
            agents.forEach((agent) => agent.stop());
            await Promise.all([store.close(), virtualMachineList.close()]);
            await Promise.all([...engines, service, list, storeStandin].map((standin) => standin.stop()));
        },
    };
}

/** Assigns every roster position to the router, as in a site that has run for a while. */
export async function assignRosterPositions(store: KeyValueStore): Promise<void> {
    const roster = { epoch: 1, holders: new Array<string>(rosterPositions).fill("router-1") };
    await store.compareAndSwap(rosterKey, 0, new TextEncoder().encode(encodeRoster(roster)));
}

export function listEntry(instance: string, role: string, port: number, pool = "") {
    const labels = { instance, role, data_centre: "hobart", pool, leaving: "false" };
    return { targets: [`${host}:${port}`], labels };
}

/** Waits until the router admits requests of the workshop. */
export async function waitUntilReady(address: string): Promise<void> {
    const body = JSON.stringify({ model: "draft", prompt: "ready?", max_tokens: 1 });
    const headers = { authorization: `Bearer ${workshopKey}` };
    while ((await fetch(`${address}/v1/completions`, { method: "POST", headers, body })).status !== 200) {
        await new Promise((resolve) => setTimeout(resolve, 20));
    }
}

function createAgent(
    instance: string,
    endpoint: { readonly address: string; readonly pool: string; readonly kind: EndpointKind; },
): Agent {
    const config = resolveSettings(agentSettings, {
        instance,
        dataCentre: "hobart",
        pool: endpoint.pool,
        innerPort: "0",
        endpointAddress: endpoint.address,
        endpointKind: endpoint.kind,
        storeAddress: "http://127.0.0.1:1",
    }, { REDWINGPIN_FLEET_KEY: fleetKey })._unsafeUnwrap();
    return new Agent({
        config,
        clock: systemClock,
        logger: silentLogger,
        registry: new Registry(),
        store: new MemoryStore(systemClock, 0).client(),
    });
}

function createRouter(
    store: ReturnType<typeof createEtcdStore>,
    virtualMachineList: ReturnType<typeof createVirtualMachineList>,
): Router {
    const config = resolveSettings(routerSettings, {
        instance: "router-1",
        dataCentre: "hobart",
        listenPort: "0",
        innerPort: "0",
        storeAddress: "http://127.0.0.1:1",
        virtualMachineListAddress: "http://127.0.0.1:1",
    }, { REDWINGPIN_FLEET_KEY: fleetKey })._unsafeUnwrap();
    return new Router({
        config,
        clock: systemClock,
        logger: silentLogger,
        registry: new Registry(),
        store,
        virtualMachineList,
    });
}
