import { expect } from "chai";
import { submitManifest } from "../submitManifest.js";
import { accountFixture, accountsFixture, largeManifestFixture } from "./configurationFixture.js";
import { MemoryStore, StoreMode } from "./memoryStoreFixture.js";
import { NetworkFixture } from "./networkFixture.js";

const convergenceBound = 3_000;
const startBound = 1_000;

async function submitAccounts(store: MemoryStore, submission: string, keys: readonly string[] = ["first"]) {
    const manifest = accountsFixture(accountFixture("maker", keys));
    return (await submitManifest(store, manifest, submission))._unsafeUnwrap();
}

function downStore(): MemoryStore {
    const store = new MemoryStore();
    store.mode = StoreMode.Down;
    return store;
}

function digestOfFirst(): string {
    return accountFixture("maker").keys[0].digest.slice("sha256:".length);
}

describe("configuration: task", () => {
    it("installs an accepted manifest at routers and agents", async () => {
        const network = new NetworkFixture();
        const store = new MemoryStore();
        for (const name of ["r1", "r2", "r3", "r4", "r5", "r6"]) {
            network.addRouter(name, store);
        }
        network.addAgent("a1");
        network.addAgent("a2");
        network.startAll();
        await submitAccounts(store, "one");
        await network.advance(convergenceBound);
        expect(network.revisions()).to.deep.equal([1, 1, 1, 1, 1, 1, 1, 1]);
        await submitAccounts(store, "two", []);
        await network.advance(convergenceBound);
        expect(network.revisions()).to.deep.equal([2, 2, 2, 2, 2, 2, 2, 2]);
    });

    it("withdraws a key at a router that is partitioned from the store, through a peer and through an agent", async () => {
        const network = new NetworkFixture();
        const store = new MemoryStore();
        network.addRouter("r1", store);
        const partitioned = network.addRouter("r2", downStore());
        network.addAgent("a1");
        network.startAll();
        await submitAccounts(store, "one");
        await network.advance(convergenceBound);
        expect(partitioned.current()?.index.accountOfKey(digestOfFirst())?.name).to.equal("maker");
        network.partition("r1", "r2");
        await submitAccounts(store, "two", []);
        await network.advance(convergenceBound);
        expect(partitioned.revision()).to.equal(2);
        expect(partitioned.current()?.index.accountOfKey(digestOfFirst())).to.equal(undefined);
    });

    it("fetches the revision that a peer's message carries", async () => {
        const network = new NetworkFixture();
        const store = new MemoryStore();
        network.addRouter("r1", store);
        const behind = network.addRouter("r2", downStore());
        network.partition("r1", "r2");
        network.startAll();
        await submitAccounts(store, "one");
        await network.advance(convergenceBound);
        expect(behind.revision()).to.equal(0);
        network.partitions.clear();
        behind.observeRevision("r1", 1);
        await network.advance(startBound);
        expect(behind.revision()).to.equal(1);
    });

    it("has a configuration within one second of a restart with the store down, from peers or only agents", async () => {
        const network = new NetworkFixture();
        const store = new MemoryStore();
        network.addRouter("r1", store);
        network.addRouter("r2", store);
        network.addAgent("a1");
        network.startAll();
        (await submitManifest(store, largeManifestFixture(), "large"))._unsafeUnwrap();
        await network.advance(convergenceBound);
        store.mode = StoreMode.Down;
        network.restartRouter("r1", store).start();
        await network.advance(startBound);
        expect(network.nodes.get("r1")?.revision()).to.equal(1);
        for (const name of ["r1", "r2"]) {
            network.restartRouter(name, store).start();
        }
        await network.advance(startBound);
        expect(network.revisions()).to.deep.equal([1, 1, 1]);
        expect(network.nodes.get("r1")?.current()?.index.manifest.accounts).to.have.length(4200);
    });

    it("never installs a lower revision, even if the store loses its data", async () => {
        const network = new NetworkFixture();
        const store = new MemoryStore();
        const router = network.addRouter("r1", store);
        network.startAll();
        await submitAccounts(store, "one");
        await submitAccounts(store, "two", []);
        await network.advance(convergenceBound);
        store.entries.clear();
        await submitAccounts(store, "restored");
        await network.advance(convergenceBound);
        expect(router.revision()).to.equal(2);
    });

    it("drops malformed messages", () => {
        const network = new NetworkFixture();
        const router = network.addRouter("r1", undefined);
        router.start();
        expect(router.handle({ kind: "update", revision: -1 }, "r2")).to.equal(false);
        expect(router.handle("text", "r2")).to.equal(false);
        expect(router.revision()).to.equal(0);
    });
});
