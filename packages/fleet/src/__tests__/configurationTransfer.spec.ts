import { FakeClock, seededRandom } from "@redwingpin/common";
import { expect } from "chai";
import {
    ConfigurationAssembly,
    type ConfigurationReply,
    FactKind,
    FleetMessageKind,
    FleetState,
} from "../index.js";
import { ConfigurationServer, decodeConfiguration } from "../node/configurationEncoding.js";
import { accountFixture, configurationFixture } from "./fleetFixture.js";

/** A peer with a configuration of that version that is sent in some parts. */
function serverFixture(version: number, isLarge = true) {
    const random = seededRandom(version);
    const accounts = Array.from(
        { length: isLarge ? 20_000 : 1 },
        () => accountFixture(String(random.unit()), [String(random.unit())]),
    );
    const state = new FleetState();
    const configuration = { ...configurationFixture(version), accounts };
    state.applyFact({ kind: FactKind.Configuration, revision: version, configuration }, 0);
    const clock = new FakeClock(0);
    return { server: new ConfigurationServer<string>(state, clock), clock, configuration };
}

type Server = ReturnType<typeof serverFixture>["server"];

function ask(server: Server, assembly: ConfigurationAssembly, peer = "peer"): Promise<ConfigurationReply> {
    const call = {
        kind: FleetMessageKind.FetchConfiguration,
        version: 0,
        transfer: assembly.position,
    } as const;
    return Promise.resolve(server.answer(call, peer));
}

/** Fetches parts until the configuration is complete. */
async function fetchAll(server: Server, assembly: ConfigurationAssembly) {
    for (let parts = 1;; parts++) {
        const { part } = await ask(server, assembly);
        const step = assembly.add(part!);
        if (step.kind === "complete") {
            return { parts, fact: (await decodeConfiguration(step.bytes, step.digest))._unsafeUnwrap() };
        }
        expect(step.kind).to.equal("continue");
    }
}

describe("transfer of a configuration in parts", () => {
    // Guards against a transfer that begins again with each peer: on a slow link, it might never end.
    it("continues with another peer that has the same configuration", async () => {
        const [first, second] = [serverFixture(7), serverFixture(7)];
        const assembly = new ConfigurationAssembly();
        const { part } = await ask(first.server, assembly);
        expect(assembly.add(part!).kind).to.equal("continue");
        const { fact, parts } = await fetchAll(second.server, assembly);
        expect(parts).to.equal(Math.ceil(part!.totalBytes / part!.bytes.length) - 1);
        expect(fact).to.deep.equal({
            kind: FactKind.Configuration,
            revision: 7,
            configuration: first.configuration,
        });
    });

    // Guards against parts of two versions that are put together.
    it("begins again when the peer has a newer version", async () => {
        const [older, newer] = [serverFixture(7), serverFixture(8)];
        const assembly = new ConfigurationAssembly();
        assembly.add((await ask(older.server, assembly)).part!);
        const { fact } = await fetchAll(newer.server, assembly);
        expect(fact).to.deep.include({ configuration: newer.configuration });
    });

    it("drops the parts of a version that has arrived from elsewhere", async () => {
        const { server } = serverFixture(7);
        const assembly = new ConfigurationAssembly();
        assembly.add((await ask(server, assembly)).part!);
        assembly.dropUpTo(6);
        expect(assembly.position.offset).to.be.greaterThan(0);
        assembly.dropUpTo(7);
        expect(assembly.position).to.deep.equal({ digest: "", offset: 0 });
    });

    // Guards against memory without bound, and against calls that repeat without progress.
    it("rejects parts that were not asked for, and encodings above the maximum size", () => {
        const part = { version: 7, digest: "d", totalBytes: 10, offset: 0, bytes: Buffer.alloc(4) };
        const bad = [{ offset: 4 }, { totalBytes: 1e9 }, { totalBytes: 3 }, { bytes: Buffer.alloc(0) }];
        for (const fields of bad) {
            const assembly = new ConfigurationAssembly();
            expect(assembly.add({ ...part, ...fields }).kind, JSON.stringify(fields)).to.equal("invalid");
            expect(assembly.position).to.deep.equal({ digest: "", offset: 0 });
        }
    });

    it("is refused to a third peer until one of two has finished or left", async () => {
        const { clock, server } = serverFixture(7);
        const [first, second, third] = [1, 2, 3].map(() => new ConfigurationAssembly());
        await ask(server, first, "1");
        await ask(server, second, "2");
        expect(await ask(server, third, "3")).to.deep.equal({ news: [], busy: true });
        clock.advance(1_000);
        expect((await ask(server, third, "3")).part?.offset).to.equal(0);
    });

    // Guards against an upgrade: peers of an earlier release close the connection at a larger frame.
    it("sends a peer of an earlier release the whole configuration, unless it exceeds a frame", async () => {
        const call = { kind: FleetMessageKind.FetchConfiguration, version: 0 } as const;
        const [large, small] = [serverFixture(7), serverFixture(7, false)];
        expect(await large.server.answer(call, "peer")).to.deep.equal({ news: [] });
        expect((await small.server.answer(call, "peer")).news.length).to.equal(1);
    });

    it("reports bytes with another digest or that are no configuration", async () => {
        expect((await decodeConfiguration(Buffer.from("x"), "d")).isErr()).to.equal(true);
    });
});
