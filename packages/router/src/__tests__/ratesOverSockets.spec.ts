import { type AdmissionController, createAdmission } from "@redwingpin/admission";
import { silentLogger, systemClock } from "@redwingpin/common";
import type { ClientAccount } from "@redwingpin/manifest";
import { type KeyValueStore, MemoryStore } from "@redwingpin/outside";
import { InnerNode, parseFleetKeys, ProcessRole } from "@redwingpin/protocol";
import { expect } from "chai";
import { createRatePeers } from "../node/ratePeers.js";
import { handleRates } from "../node/routerTopics.js";

const host = "127.0.0.1";
const instances = ["router-1", "router-2", "router-3"];
const members = instances.map((instance) => ({ instance, leaving: false }));
const account: ClientAccount = { name: "office", tokensPerSecond: 30_000, burstTokens: 6_000, keys: [] };

interface RateNode {
    readonly node: InnerNode;
    readonly admission: AdmissionController;
}

function createNode(instance: string, store: KeyValueStore, ports: ReadonlyMap<string, number>): RateNode {
    const node = new InnerNode({
        role: ProcessRole.Router,
        instance,
        incarnation: "1",
        fleetKeys: parseFleetKeys("a fleet key for the rates spec")._unsafeUnwrap(),
        clock: systemClock,
        logger: silentLogger,
        revision: () => 1,
        onRevision: () => {},
        onMessage: () => {},
        onClosed: () => {},
    });
    const addressOf = (name: string) => ports.has(name) ? { host, port: ports.get(name)! } : undefined;
    const accounts = [account];
    const admission = createAdmission({
        clock: systemClock,
        instance,
        incarnation: "1",
        store,
        peers: createRatePeers(node, addressOf),
        accounts: () => accounts,
        logger: silentLogger,
    });
    handleRates(node, admission);
    return { node, admission };
}

async function startNodes(): Promise<RateNode[]> {
    const store = new MemoryStore(systemClock, 1);
    const ports = new Map<string, number>();
    const nodes = instances.map((instance) => createNode(instance, store.client(), ports));
    for (const [index, { node }] of nodes.entries()) {
        ports.set(instances[index], await node.listen(host, 0));
    }
    nodes.forEach(({ admission }) => admission.updateMembers(members));
    return nodes;
}

function stopNodes(nodes: readonly RateNode[]): void {
    for (const { node, admission } of nodes) {
        admission.stop();
        node.stop();
    }
}

describe("rates over real sockets", () => {
    it("collects a whole burst from three routers", async () => {
        const nodes = await startNodes();
        const result = await nodes[0].admission.admit(account, account.burstTokens);
        expect(result.isOk()).to.equal(true);
        stopNodes(nodes);
    });

    it("never exceeds rate and burst when three routers are overloaded simultaneously", async () => {
        const start = performance.now();
        const nodes = await startNodes();
        const tokens = 500;
        const admissions = [...Array(120).keys()].map((index) =>
            nodes[index % 3].admission.admit(account, tokens)
        );
        const results = await Promise.all(admissions);
        const seconds = (performance.now() - start) / 1_000;
        const admitted = results.filter((result) => result.isOk()).length * tokens;
        expect(admitted).to.be.greaterThan(0);
        expect(admitted).to.be.at.most(account.burstTokens + account.tokensPerSecond * seconds);
        stopNodes(nodes);
    });
});
