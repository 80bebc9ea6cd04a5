import { seededRandom, silentLogger, systemClock } from "@redwingpin/common";
import type { KeyValueStore } from "@redwingpin/outside";
import { type InnerAddress, InnerNode, parseFleetKeys, ProcessRole, Topic } from "@redwingpin/protocol";
import { expect } from "chai";
import {
    type Configuration,
    type ConfigurationPeers,
    createConfiguration,
} from "../node/configurationTask.js";
import { type AddressedPeer, createAgentPeers, createRouterPeers } from "../node/innerPeers.js";
import { submitManifest } from "../submitManifest.js";
import { accountFixture, accountsFixture, largeManifestFixture } from "./configurationFixture.js";
import { MemoryStore, StoreMode } from "./memoryStoreFixture.js";

const host = "127.0.0.1";
const fleetKeys = parseFleetKeys("fleet key of the socket tests")._unsafeUnwrap();

interface SocketProcess {
    readonly configuration: Configuration;
    readonly address: InnerAddress;
    stop(): void;
}

async function startProcess(
    instance: string,
    role: ProcessRole,
    store: KeyValueStore | undefined,
    peersOf: (node: InnerNode) => ConfigurationPeers,
): Promise<SocketProcess> {
    const node = new InnerNode({
        role,
        instance,
        incarnation: "1",
        fleetKeys,
        clock: systemClock,
        logger: silentLogger,
        revision: () => configuration.revision(),
        onRevision: (peer, revision) => configuration.observeRevision(peer.instance, revision),
        onMessage: () => {},
        onClosed: () => {},
    });
    const configuration: Configuration = createConfiguration({
        clock: systemClock,
        random: seededRandom(1),
        logger: silentLogger,
        instance,
        dataCentre: "hobart",
        store,
        peers: peersOf(node),
    });
    node.handle(Topic.Configuration, async (body, from) => configuration.handle(body, from.instance));
    const port = await node.listen(host, 0);
    configuration.start();
    const stop = () => {
        configuration.stop();
        node.stop();
    };
    return { configuration, address: { host, port }, stop };
}

async function waitForRevision(configuration: Configuration, revision: number): Promise<void> {
    while (configuration.revision() < revision) {
        await new Promise((resolve) => setTimeout(resolve, 10));
    }
}

function downStore(): MemoryStore {
    const store = new MemoryStore();
    store.mode = StoreMode.Down;
    return store;
}

describe("configuration: sockets", () => {
    const processes: SocketProcess[] = [];

    async function startAgent(instance: string): Promise<AddressedPeer> {
        const agent = await startProcess(instance, ProcessRole.Agent, undefined, createAgentPeers);
        processes.push(agent);
        return { instance, dataCentre: "hobart", ...agent.address };
    }

    async function startRouter(instance: string, store: KeyValueStore, agent: AddressedPeer) {
        const directory = { routers: () => [], ownedAgents: () => [agent], connectedAgents: () => [agent] };
        const router = await startProcess(
            instance,
            ProcessRole.Router,
            store,
            (node) => createRouterPeers(node, directory),
        );
        processes.push(router);
        return router.configuration;
    }

    afterEach(() => processes.splice(0).forEach((started) => started.stop()));

    it("withdraws a key at a router that can only reach an agent", async () => {
        const store = new MemoryStore();
        const agent = await startAgent("a1");
        const router = await startRouter("r1", store, agent);
        const isolated = await startRouter("r2", downStore(), agent);
        const digest = accountFixture("maker").keys[0].digest.slice("sha256:".length);
        await submitManifest(store, accountsFixture(accountFixture("maker")), "one");
        await waitForRevision(isolated, 1);
        expect(isolated.current()?.index.accountOfKey(digest)?.name).to.equal("maker");
        await submitManifest(store, accountsFixture(accountFixture("maker", [])), "two");
        await waitForRevision(isolated, 2);
        expect(isolated.current()?.index.accountOfKey(digest)).to.equal(undefined);
        expect(router.revision()).to.equal(2);
    });

    it("starts from an agent with the store down, with a manifest larger than one megabyte", async () => {
        const store = new MemoryStore();
        const agent = await startAgent("a1");
        const router = await startRouter("r1", store, agent);
        (await submitManifest(store, largeManifestFixture(), "large"))._unsafeUnwrap();
        await waitForRevision(router, 1);
        await waitForRevision(processes[0].configuration, 1);
        processes[1].stop();
        const restarted = await startRouter("r1", downStore(), agent);
        await waitForRevision(restarted, 1);
        expect(restarted.current()?.index.manifest.accounts).to.have.length(4200);
    });
});
