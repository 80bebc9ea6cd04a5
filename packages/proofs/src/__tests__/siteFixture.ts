/**
 * A small site in one process: stand-ins, agents and a router over real sockets.
 *
 * @module
 */
import { Agent, agentSettings } from "@redwingpin/agent";
import { resolveSettings, sha256Hex, silentLogger, systemClock } from "@redwingpin/common";
import { submitManifest } from "@redwingpin/configuration";
import { EndpointKind, type Manifest, ManifestIndex, RouteKind, RoutePriority } from "@redwingpin/manifest";
import { createEtcdStore, createVirtualMachineList } from "@redwingpin/platform";
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

/** The manifest that the site starts with. */
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

/** A running site. */
export interface Site {
    readonly address: string;
    readonly engines: readonly Standin[];
    readonly service: Standin;
    stop(): Promise<void>;
}

/** Starts a site with two engines, one service and one router, and waits until it serves. */
export async function startSite(manifest: Manifest = siteManifest()): Promise<Site> {
    const storeStandin = await startStoreStandin({ port: 0 });
    const engines = [await startEngineStandin({ port: 0 }), await startEngineStandin({ port: 0 })];
    const service = await startServiceStandin({ port: 0 });
    const endpoints = [
        ...engines.map((engine) => ({ address: engine.address, pool: "engines", kind: EndpointKind.Engine })),
        { address: service.address, pool: "registry", kind: EndpointKind.Service },
    ];
    const index = new ManifestIndex(manifest);
    const agents = endpoints.map((endpoint, position) => createAgent(`agent-${position}`, endpoint, index));
    const ports = await Promise.all(agents.map((agent) => agent.start()));
    const list = await startVirtualMachineListStandin({
        port: 0,
        virtualMachines: ports.map((port, position) => ({
            targets: [`${host}:${port}`],
            labels: {
                instance: `agent-${position}`,
                role: "agent",
                data_centre: "hobart",
                pool: endpoints[position].pool,
                leaving: "false",
            },
        })),
    });
    const store = createEtcdStore({ address: storeStandin.address, clock: systemClock });
    (await submitManifest(store, manifest, "site fixture"))._unsafeUnwrap();
    const virtualMachineList = createVirtualMachineList({ address: list.address, clock: systemClock });
    const router = createRouter(store, virtualMachineList);
    const address = `http://${host}:${(await router.start()).listenPort}`;
    await untilReady(address);
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

/** Waits until the router says that it is ready. */
export async function untilReady(address: string): Promise<void> {
    while ((await fetch(`${address}/ready`)).status !== 200) {
        await new Promise((resolve) => setTimeout(resolve, 20));
    }
}

function createAgent(
    instance: string,
    endpoint: { readonly address: string; readonly pool: string; readonly kind: EndpointKind; },
    index: ManifestIndex,
): Agent {
    const config = resolveSettings(agentSettings, {
        instance,
        dataCentre: "hobart",
        pool: endpoint.pool,
        innerPort: "0",
        endpointAddress: endpoint.address,
        endpointKind: endpoint.kind,
        virtualMachineListAddress: "http://127.0.0.1:1",
    }, { REDWINGPIN_FLEET_KEY: fleetKey })._unsafeUnwrap();
    return new Agent({ config, clock: systemClock, logger: silentLogger, manifest: () => index });
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
