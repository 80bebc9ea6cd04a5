import { FakeClock, systemClock } from "@redwingpin/common";
import { canonicalJson } from "@redwingpin/manifest";
import { expect } from "chai";
import { rootKey } from "../records.js";
import { readConfiguration, submitManifest } from "../submitManifest.js";
import { accountFixture, accountsFixture, largeManifestFixture } from "./configurationFixture.js";
import { MemoryStore, StoreMode } from "./memoryStoreFixture.js";

const maximumValueBytes = 1024 * 1024;

/** A clock whose delays end immediately. */
const immediateClock = {
    ...systemClock,
    schedule: (_delay: number, callback: () => void) => {
        setImmediate(callback);
        return () => {};
    },
};

async function submit(
    store: MemoryStore,
    names: readonly string[],
    submission: string,
    expectedRevision?: number,
) {
    const manifest = accountsFixture(...names.map((name) => accountFixture(name)));
    return submitManifest(store, manifest, submission, { expectedRevision, clock: immediateClock });
}

async function accountNamesIn(store: MemoryStore): Promise<string[]> {
    const loaded = (await readConfiguration(store))._unsafeUnwrap();
    return loaded?.manifest.toManifest().accounts.map((account) => account.name) ?? [];
}

describe("configuration: submit", () => {
    it("numbers accepted manifests and reads them back", async () => {
        const store = new MemoryStore();
        expect((await submit(store, ["a"], "one"))._unsafeUnwrap()).to.deep.equal({
            revision: 1,
            changed: true,
        });
        expect((await submit(store, ["a", "b"], "two"))._unsafeUnwrap().revision).to.equal(2);
        expect(await accountNamesIn(store)).to.deep.equal(["a", "b"]);
    });

    it("accepts a manifest that is already in force without a new revision", async () => {
        const store = new MemoryStore();
        await submit(store, ["a"], "one");
        expect((await submit(store, ["a"], "two"))._unsafeUnwrap()).to.deep.equal({
            revision: 1,
            changed: false,
        });
    });

    it("resolves a write whose answer was lost, using the submission identifier", async () => {
        const store = new MemoryStore();
        let losses = 0;
        store.beforeCall = (key) => {
            const isLost = key === rootKey && store.entries.size > 1 && losses < 1;
            losses += isLost ? 1 : 0;
            store.mode = isLost ? StoreMode.LoseAnswers : StoreMode.Up;
        };
        expect((await submit(store, ["a"], "one"))._unsafeUnwrap()).to.deep.equal({
            revision: 1,
            changed: true,
        });
        expect(losses).to.equal(1);
        expect((await submit(store, ["a"], "one"))._unsafeUnwrap().revision).to.equal(1);
    });

    it("is accepted while the answers to all writes are lost", async () => {
        const store = new MemoryStore();
        store.mode = StoreMode.LoseWriteAnswers;
        expect((await submit(store, ["a"], "one"))._unsafeUnwrap()).to.deep.equal({
            revision: 1,
            changed: true,
        });
    });

    it("reports an unknown outcome if all answers about the root are lost, and resolves it later", async () => {
        const store = new MemoryStore();
        let rootWrites = 0;
        store.beforeCall = (key) => {
            rootWrites += key === rootKey && store.entries.size > 1 ? 1 : 0;
            store.mode = rootWrites > 0 ? StoreMode.LoseAnswers : StoreMode.Up;
        };
        expect((await submit(store, ["a"], "one"))._unsafeUnwrapErr().kind).to.equal("unknown");
        store.beforeCall = () => {
            store.mode = StoreMode.Up;
        };
        await submit(store, ["b"], "two");
        expect((await submit(store, ["a"], "one"))._unsafeUnwrap().revision).to.equal(1);
        expect(await accountNamesIn(store)).to.deep.equal(["b"]);
    });

    it("reports the revision that won a race", async () => {
        const store = new MemoryStore();
        await submit(store, ["a"], "one");
        let hasRaced = false;
        store.beforeCall = async (key) => {
            if (!hasRaced && key.includes("parts/000000000001")) {
                hasRaced = true;
                await submit(store, ["b"], "rival");
            }
        };
        expect((await submit(store, ["c"], "slow"))._unsafeUnwrapErr())
            .to.deep.equal({ kind: "lostRace", revision: 2, submission: "rival" });
        expect((await submit(store, ["c"], "late", 1))._unsafeUnwrapErr())
            .to.deep.equal({ kind: "lostRace", revision: 2, submission: "rival" });
        expect(await accountNamesIn(store)).to.deep.equal(["b"]);
    });

    it("changes nothing while the store is down", async () => {
        const store = new MemoryStore();
        store.mode = StoreMode.Down;
        expect((await submit(store, ["a"], "one"))._unsafeUnwrapErr().kind).to.equal("unavailable");
    });

    it("stores a manifest larger than one megabyte in values far below it, and leaves no old records", async () => {
        const store = new MemoryStore();
        const manifest = largeManifestFixture();
        expect(canonicalJson(manifest).length).to.be.greaterThan(maximumValueBytes);
        (await submitManifest(store, manifest, "large"))._unsafeUnwrap();
        const records = store.entries.size;
        const changed = {
            ...manifest,
            accounts: [accountFixture("account-0", []), ...manifest.accounts.slice(1)],
        };
        (await submitManifest(store, changed, "small"))._unsafeUnwrap();
        expect(store.entries.size).to.equal(records);
        const sizes = [...store.entries.values()].map((entry) => entry.value.length);
        expect(Math.max(...sizes)).to.be.lessThan(maximumValueBytes / 4);
        expect((await readConfiguration(store))._unsafeUnwrap()?.manifest.toManifest().accounts)
            .to.have.length(4200);
    });

    it("reports a value of the root's key that is not a root record", async () => {
        const store = new MemoryStore();
        await store.compareAndSwap(rootKey, 0, new TextEncoder().encode("{]"));
        expect((await submit(store, ["a"], "one"))._unsafeUnwrapErr().kind).to.equal("malformed");
        expect((await readConfiguration(store, new FakeClock()))._unsafeUnwrapErr().kind).to.equal(
            "malformed",
        );
    });
});
