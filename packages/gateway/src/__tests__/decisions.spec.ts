import { sha256Hex } from "@redwingpin/common";
import { expect } from "chai";
import fc from "fast-check";
import {
    chooseTarget,
    DemandTracker,
    EventStreamReader,
    FleetRetryBudget,
    maxUnreportedPrefixes,
    PrefixIndex,
    prefixNames,
    RouteTable,
    sharedParts,
    spareReplicas,
} from "../index.js";
import { accountFixture, cacheStoreFixture } from "./gatewayFixture.js";

const parts = [{ identifier: "catalogue", tokens: 2_000 }, { identifier: "maker", tokens: 4_000 }];

describe("fleet retry budget", () => {
    it("keeps all routers together within ratio and slack in any window", () => {
        const bounds = { ratio: 0.2, window: 10_000, slack: 54 };
        const routers = Array.from({ length: 4 }, () => new FleetRetryBudget(bounds));
        let requests = 0;
        const retryTimes: number[] = [];
        for (let now = 0; now < 30_000; now += 10) {
            for (const router of routers) {
                router.recordRequest("service", now);
                requests += 1;
                if (router.trySpend("service", routers.length, now)) {
                    retryTimes.push(now);
                }
            }
        }
        const requestsInWindow = requests / 3;
        for (let start = 0; start <= 20_000; start += 500) {
            const inWindow = retryTimes.filter((time) =>
                time >= start && time < start + bounds.window
            ).length;
            expect(inWindow).to.be.at.most(requestsInWindow * bounds.ratio + bounds.slack);
        }
        expect(retryTimes.length).to.be.greaterThan(0);
    });
});

describe("demand tracker", () => {
    it("sums the demand of all routers and drops what is older than its window", () => {
        const tracker = new DemandTracker();
        tracker.record("engines", 20_000, 1_000);
        tracker.observe("peer", [{ service: "engines", tokensPerMillisecond: 30 }], 1_000);
        expect(tracker.total("engines", 1_500)).to.equal(40);
        expect(tracker.total("engines", 9_000)).to.equal(0);
    });

    it("allows fewer replicas out of service the higher the demand is, but at least one", () => {
        // Six of nine replicas are left at high demand; each processes 30 tokens per millisecond.
        expect(spareReplicas(6, 105, 30)).to.equal(1);
        expect(spareReplicas(8, 40, 30)).to.equal(6);
        expect(spareReplicas(2, 1_000, 30)).to.equal(1);
    });
});

describe("parts that prompts share", () => {
    it("are all parts but the last, which belongs to the request itself", () => {
        const parts = ["outer", "inner", "own"].map((identifier) => ({ identifier, tokens: 10 }));
        expect(sharedParts(parts)).to.deep.equal(["outer", "inner"]);
        const [long] = sharedParts([{ identifier: "x".repeat(5_000), tokens: 10 }, ...parts]);
        expect(long.length).to.be.at.most(32);
    });
});

/** Maximum time in milliseconds to read an event; callers wait at most a few seconds. */
const maxStall = 4_000;
const seed = 39;

describe("event stream reader", () => {
    it("returns complete events only, wherever the received bytes are split", () => {
        const bytes = Buffer.from("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
        for (let split = 0; split <= bytes.length; split++) {
            const reader = new EventStreamReader();
            const events = [...reader.read(bytes.subarray(0, split)), ...reader.read(bytes.subarray(split))];
            expect(events.map((event) => event.identifier)).to.deep.equal(["1", "2"]);
            expect(reader.hasPartialEvent).to.equal(true);
        }
    });

    // Guards against a router that runs out of memory: two line feeds were an event, so 64 KB of them were 32,768 events.
    it("takes blank lines as a part of the next event, and holds a limited number of them", () => {
        const reader = new EventStreamReader();
        expect(reader.read(Buffer.alloc(1_000, "\n"))).to.deep.equal([]);
        const [event, ...more] = reader.read(Buffer.from("id: 1\n\n\r\n\r\n"));
        expect(event.bytes.toString()).to.equal(`${"\n".repeat(1_000)}id: 1\n\n`);
        expect(more).to.deep.equal([]);
        expect([reader.hasPartialEvent, reader.trailingBlankLines.toString()]).to.deep.equal([
            false,
            "\r\n\r\n",
        ]);
        for (let chunks = 0; chunks < 64 && !reader.isOverlong; chunks++) {
            reader.read(Buffer.alloc(4_096, "\n"));
        }
        expect([reader.isOverlong, reader.bufferedBytes < 70_000]).to.deep.equal([true, true]);
    });

    it("returns the same events for any chunks, and does not change them later", () => {
        const event = fc.tuple(fc.constantFrom("\n", "\r\n"), fc.integer({ min: 1, max: 50 }));
        const chunks = fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 });
        fc.assert(
            fc.property(fc.array(event), chunks, (lines, sizes) => {
                const text = lines.map(([end, size], index) =>
                    `id: ${index}${end}data: ${"x".repeat(size)}${end}${end}`
                );
                const bytes = Buffer.from(`${text.join("")}id: 99`);
                const reader = new EventStreamReader();
                const events = [];
                for (let start = 0, index = 0; start < bytes.length; index++) {
                    const size = sizes[index % sizes.length];
                    events.push(...reader.read(Buffer.from(bytes.subarray(start, start + size))));
                    start += size;
                }
                expect(events.map((received) => received.bytes.toString())).to.deep.equal(text);
                expect(reader.bufferedBytes).to.equal("id: 99".length);
            }),
            { seed },
        );
    });

    // Guards against a router that serves nobody while an endpoint sends an event in small chunks.
    it("reads an event of the maximum size in chunks of one byte without copying it for each", () => {
        const reader = new EventStreamReader();
        const byte = Buffer.from("x");
        const begin = performance.now();
        while (!reader.isOverlong && performance.now() - begin < maxStall) {
            reader.read(byte);
        }
        expect(reader.isOverlong).to.equal(true);
    });

    it("reads identifiers among other lines, and events that end with carriage returns", () => {
        const reader = new EventStreamReader();
        const events = reader.read(Buffer.from("weights: 3\nid: 7\ndata: x\n\nid:8\r\ndata: y\r\n\r\n"));
        expect(events.map((event) => event.identifier)).to.deep.equal(["7", "8"]);
        expect(reader.hasPartialEvent).to.equal(false);
    });
});

describe("prefix index", () => {
    it("counts leading parts only, and only in the same scope", () => {
        const index = new PrefixIndex();
        const names = prefixNames("shared;drafting;1", parts);
        index.recordProcessed("a", names, parts, 10_000);
        expect(index.cachedTokens("a", names, parts)).to.equal(6_000);
        expect(index.cachedTokens("a", prefixNames("shared;drafting;2", parts), parts)).to.equal(0);
        expect(index.cachedTokens("b", names, parts)).to.equal(0);
    });

    it("selects the same owner on all routers, and moves only the prefixes of a removed endpoint", () => {
        const instances = ["a", "b", "c", "d"];
        const names = Array.from({ length: 200 }, (_, index) => `prefix-${index}`);
        const before = names.map((name) => new PrefixIndex().ownerOf(name, instances));
        const after = names.map((name) => new PrefixIndex().ownerOf(name, ["a", "b", "d"]));
        const moved = names.filter((_, index) => before[index] !== after[index]);
        expect(moved.length).to.equal(before.filter((owner) => owner === "c").length);
        expect(new Set(before).size).to.equal(4);
    });

    it("includes what other routers saved, up to the capacity of the cache store", () => {
        const own = new PrefixIndex();
        const peer = new PrefixIndex();
        const names = prefixNames("s", parts);
        own.setStores([cacheStoreFixture("10.0.9.1:8080", 20_000)]);
        peer.setStores([cacheStoreFixture("10.0.9.1:8080", 20_000)]);
        peer.recordSaved(names, parts);
        own.observeSaved(peer.takeUnreported());
        expect(own.savedTokens(names, parts)).to.equal(6_000);
        const others = [{ identifier: "other", tokens: 11_000 }, { identifier: "query", tokens: 1_000 }];
        own.recordSaved(prefixNames("s", others), others);
        expect(own.savedTokens(names, parts)).to.equal(0);
    });

    // Regression test: saved prefixes that waited for a report grew without bound under a flood of distinct prompts.
    it("keeps a bounded number of saved prefixes for reports, the latest ones, and counts the others", () => {
        let dropped = 0;
        const index = new PrefixIndex((prefixes) => dropped += prefixes);
        index.setStores([cacheStoreFixture("10.0.9.1:8080", 20_000)]);
        const prompts = 100_000;
        for (let prompt = 0; prompt < prompts; prompt++) {
            const distinct = [{ identifier: `prompt-${prompt}`, tokens: 10 }, {
                identifier: "query",
                tokens: 1,
            }];
            index.recordSaved(prefixNames("s", distinct), distinct);
        }
        const reported: string[] = [];
        for (let report = index.takeUnreported(); report.length > 0; report = index.takeUnreported()) {
            reported.push(...report.map(({ name }) => name));
        }
        expect(reported.length).to.equal(maxUnreportedPrefixes);
        expect(dropped).to.equal(2 * prompts - maxUnreportedPrefixes);
        const last = prefixNames("s", [{ identifier: `prompt-${prompts - 1}`, tokens: 10 }]);
        expect(reported).to.include(last[0]);
    });

    // Regression test: prefixes of parts that state no tokens were never removed from the estimates.
    it("holds a bounded number of prefixes under a flood of distinct parts without tokens", () => {
        const index = new PrefixIndex();
        index.setStores([cacheStoreFixture("10.0.9.1:8080", 20_000)]);
        for (let prompt = 0; prompt < 20_000; prompt++) {
            const empty = ["part", "query"].map((name) => ({ identifier: `${name}-${prompt}`, tokens: 0 }));
            const names = prefixNames("s", empty);
            index.recordProcessed("a", names, empty, 10_000);
            index.recordSaved(names, empty);
        }
        expect(index.prefixCount).to.be.at.most((10_000 + 20_000) / 16);
    });

    it("spreads prefixes over the cache stores, so that together they contain more than one could", () => {
        const addresses = ["10.0.9.1:8080", "10.0.9.2:8080", "10.0.9.3:8080"];
        const prompts = Array.from({ length: 120 }, (_, index) => [
            { identifier: "catalogue", tokens: 2_500 },
            { identifier: `maker-${index}`, tokens: 3_800 },
            { identifier: `query-${index}`, tokens: 2_900 },
        ]);
        const savedWith = (stores: readonly string[]) => {
            const index = new PrefixIndex();
            index.setStores(stores.map((address) => cacheStoreFixture(address, 531_000)));
            prompts.forEach((prompt) => index.recordSaved(prefixNames("s", prompt), prompt));
            return prompts.filter((prompt) => index.savedTokens(prefixNames("s", prompt), prompt) > 6_000)
                .length;
        };
        expect(savedWith(addresses.slice(0, 1))).to.be.at.most(60);
        expect(savedWith(addresses)).to.equal(120);
    });

    it("keeps the contents of a cache store when another is removed, and selects the same store on all routers", () => {
        const stores = ["10.0.9.1:8080", "10.0.9.2:8080"].map((address) =>
            cacheStoreFixture(address, 50_000)
        );
        const index = new PrefixIndex();
        index.setStores(stores);
        const names = prefixNames("s", parts);
        const store = index.storeOf(names);
        const peer = new PrefixIndex();
        peer.setStores([...stores].reverse());
        expect(peer.storeOf(names)).to.deep.equal(store);
        index.recordSaved(names, parts);
        index.setStores(stores.filter(({ address }) => address === store?.address));
        expect(index.savedTokens(names, parts)).to.equal(6_000);
    });

    it("drops the least recently used parts beyond the capacity of an endpoint's cache", () => {
        const index = new PrefixIndex();
        const first = prefixNames("s", parts);
        index.recordProcessed("a", first, parts, 7_000);
        const others = [{ identifier: "other", tokens: 5_000 }];
        index.recordProcessed("a", prefixNames("s", others), others, 7_000);
        expect(index.cachedTokens("a", first, parts)).to.equal(0);
    });
});

describe("keys of client accounts", () => {
    // Regression test: a router remembered up to 4,096 keys that belong to no account, each as long as a head may be.
    it("are remembered only if they belong to an account", () => {
        const key = "key-of-a-maker";
        const table = new RouteTable({
            version: 1,
            routes: [],
            services: [],
            accounts: [accountFixture({ keyDigests: [sha256Hex(key)] })],
            limits: { headerBytes: 10_000, bodyBytes: 10, headerTimeout: 1_000, idleTimeout: 1_000 },
        });
        for (let number = 0; number < 1_000; number++) {
            expect(table.findAccount(`unknown-${number}`)).to.equal(undefined);
        }
        for (let request = 0; request < 2; request++) {
            expect(table.findAccount(key)?.name).to.equal("makers");
        }
        expect(table.rememberedKeys).to.equal(1);
    });
});

describe("selection of a route's service", () => {
    it("follows the weights", () => {
        const targets = [{ service: "old", weight: 90 }, { service: "new", weight: 10 }];
        const chosen = Array.from({ length: 100 }, (_, index) => chooseTarget(targets, index / 100));
        expect(chosen.filter((service) => service === "new").length).to.equal(10);
    });
});
