import { expect } from "chai";
import { ConfigurationFetch, fetchTimeout } from "../index.js";

describe("configuration fetch", () => {
    it("asks one peer, however many have the configuration", () => {
        const fetch = new ConfigurationFetch<string>();
        const asked = Array.from({ length: 26 }, (_, index) => {
            fetch.recordOffer(`router-${index}`, 12, 11, 1_000 + index);
            return fetch.selectSource(11, false, 1_000 + index);
        });
        expect(asked.filter((peer) => peer !== undefined)).to.deep.equal(["router-0"]);
    });

    it("waits for a reachable store, but only until the configuration is overdue", () => {
        const fetch = new ConfigurationFetch<string>();
        fetch.recordOffer("router-1", 12, 11, 1_000);
        expect(fetch.selectSource(11, true, 1_000)).to.equal(undefined);
        expect(fetch.selectSource(11, true, 1_800)).to.equal(undefined);
        expect(fetch.selectSource(11, true, 1_900)).to.equal("router-1");
    });

    it("asks no peer once the configuration has arrived, and restarts the wait for the next version", () => {
        const fetch = new ConfigurationFetch<string>();
        fetch.recordOffer("router-1", 12, 11, 1_000);
        expect(fetch.selectSource(12, false, 1_010)).to.equal(undefined);
        fetch.recordOffer("router-1", 12, 12, 2_000);
        expect(fetch.selectSource(12, false, 2_000)).to.equal(undefined);
        fetch.recordOffer("router-1", 13, 12, 9_000);
        expect(fetch.selectSource(12, true, 9_000)).to.equal(undefined);
    });

    it("asks another peer if the first does not deliver or does not answer", () => {
        const fetch = new ConfigurationFetch<string>();
        fetch.recordOffer("router-1", 12, 11, 1_000);
        expect(fetch.selectSource(11, false, 1_000)).to.equal("router-1");
        fetch.recordResult(false);
        expect(fetch.selectSource(11, false, 1_010)).to.equal(undefined);
        fetch.recordOffer("router-2", 12, 11, 1_020);
        expect(fetch.selectSource(11, false, 1_020)).to.equal("router-2");
        fetch.recordOffer("router-3", 12, 11, 1_030);
        expect(fetch.selectSource(11, false, 1_020 + fetchTimeout)).to.equal("router-3");
    });

    it("prefers the newest version that was offered", () => {
        const fetch = new ConfigurationFetch<string>();
        fetch.recordOffer("router-1", 13, 11, 1_000);
        fetch.recordOffer("router-2", 12, 11, 1_010);
        expect(fetch.selectSource(11, false, 1_020)).to.equal("router-1");
    });
});
