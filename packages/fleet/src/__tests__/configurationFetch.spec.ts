import { expect } from "chai";
import { ConfigurationFetch, fetchTimeout } from "../index.js";

describe("fetch of a configuration that a process lacks", () => {
    it("asks one peer, however many have it", () => {
        const fetch = new ConfigurationFetch<string>();
        const asked = Array.from({ length: 26 }, (_, index) => {
            fetch.offered(`router-${index}`, 12, 11, 1_000 + index);
            return fetch.next(11, false, 1_000 + index);
        });
        expect(asked.filter((peer) => peer !== undefined)).to.deep.equal(["router-0"]);
    });

    it("waits for the store while it answers, but not until the configuration is overdue", () => {
        const fetch = new ConfigurationFetch<string>();
        fetch.offered("router-1", 12, 11, 1_000);
        expect(fetch.next(11, true, 1_000)).to.equal(undefined);
        expect(fetch.next(11, true, 1_800)).to.equal(undefined);
        expect(fetch.next(11, true, 1_900)).to.equal("router-1");
    });

    it("asks nobody once the configuration has come, and counts the time anew for the next one", () => {
        const fetch = new ConfigurationFetch<string>();
        fetch.offered("router-1", 12, 11, 1_000);
        expect(fetch.next(12, false, 1_010)).to.equal(undefined);
        fetch.offered("router-1", 12, 12, 2_000);
        expect(fetch.next(12, false, 2_000)).to.equal(undefined);
        fetch.offered("router-1", 13, 12, 9_000);
        expect(fetch.next(12, true, 9_000)).to.equal(undefined);
    });

    it("asks another peer where the first does not deliver or is silent", () => {
        const fetch = new ConfigurationFetch<string>();
        fetch.offered("router-1", 12, 11, 1_000);
        expect(fetch.next(11, false, 1_000)).to.equal("router-1");
        fetch.ended(false);
        expect(fetch.next(11, false, 1_010)).to.equal(undefined);
        fetch.offered("router-2", 12, 11, 1_020);
        expect(fetch.next(11, false, 1_020)).to.equal("router-2");
        fetch.offered("router-3", 12, 11, 1_030);
        expect(fetch.next(11, false, 1_020 + fetchTimeout)).to.equal("router-3");
    });

    it("prefers the newest version that was offered", () => {
        const fetch = new ConfigurationFetch<string>();
        fetch.offered("router-1", 13, 11, 1_000);
        fetch.offered("router-2", 12, 11, 1_010);
        expect(fetch.next(11, false, 1_020)).to.equal("router-1");
    });
});
