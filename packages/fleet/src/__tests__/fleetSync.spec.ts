import { seededRandom, silentLogger, systemClock } from "@redwingpin/common";
import { type InnerAddress, InnerNode, maxFrameBytes, ProcessRole } from "@redwingpin/protocol";
import { expect } from "chai";
import {
    agentInterval,
    emptyReport,
    FactKind,
    type FleetFact,
    FleetState,
    FleetSync,
    formatAddress,
    routerInterval,
} from "../index.js";
import { accountFixture, configurationFixture } from "./fleetFixture.js";

const fleetKeys = [{ identity: "fleet", secret: Buffer.alloc(32, 7) }] as const;

/** A router that reports a fixed number of tokens and records which reports were delivered and received. */
async function routerFixture(tokens: number, hasPendingReport = true) {
    const innerNode = new InnerNode({
        role: ProcessRole.Router,
        instance: `router-${tokens}`,
        incarnation: `start-${tokens}`,
        fleetKeys,
        clock: systemClock,
        logger: silentLogger,
        revision: () => 0,
        onRevision: () => {},
        onMessage: () => {},
        onClosed: () => {},
    });
    const port = await innerNode.listen("127.0.0.1", 0);
    const address: InnerAddress = { host: "127.0.0.1", port };
    const state = new FleetState();
    const facts: FleetFact[] = [];
    const delivered = new Map<string, number>();
    const received = new Map<string, number>();
    const start = (seeds: readonly InnerAddress[]) => {
        const sync = new FleetSync({
            clock: systemClock,
            logger: silentLogger,
            random: seededRandom(tokens),
            innerNode,
            state,
            address,
            role: ProcessRole.Router,
            isStoreReachable: () => false,
            seeds,
            agents: () => [],
            report: () => ({ ...emptyReport, spent: [{ account: "makers", tokens }] }),
            hasPendingReport: () => hasPendingReport,
            isOwnerOf: () => false,
            onReport: (peer, report) => received.set(peer.instance, report.spent[0].tokens),
            onReplicaStatus: () => {},
            onReportDelivered: (_peer, address, report) =>
                delivered.set(formatAddress(address), report.spent[0].tokens),
            onFacts: (batch) => {
                facts.push(...batch);
                batch.forEach((fact) => state.applyFact(fact, 0));
            },
        });
        sync.start();
        const stop = () => {
            sync.stop();
            innerNode.stop();
        };
        return { sync, stop };
    };
    return {
        address,
        delivered,
        received,
        facts,
        state,
        start,
        connections: () => innerNode.openConnections().length,
    };
}

async function until(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise((resolve) => setTimeout(resolve, 10));
    }
}

describe("fleet sync", () => {
    it("delivers the reports of both routers of a pair, whichever of them calls", async () => {
        const first = await routerFixture(100);
        const second = await routerFixture(200);
        const started = [first.start([second.address]), second.start([])];
        try {
            await until(() => first.received.size === 1 && second.received.size === 1);
            await until(() => first.delivered.size === 1 && second.delivered.size === 1);
            expect([...first.delivered]).to.deep.equal([[formatAddress(second.address), 100]]);
            expect([...second.delivered]).to.deep.equal([[formatAddress(first.address), 200]]);
        }
        finally {
            started.forEach(({ stop }) => stop());
        }
    });

    it("delivers reports to all live routers on demand, over one connection per pair", async () => {
        const routers = await Promise.all([1, 2, 3, 4].map((tokens) => routerFixture(tokens, false)));
        const seeds = [routers[0].address];
        const started = routers.map((router) => router.start(seeds));
        try {
            await until(() => started.every(({ sync }) => sync.liveRouterCount() === 3));
            for (const [index, { delivered }] of routers.entries()) {
                delivered.clear();
                const { sync } = started[index];
                const names = sync.liveRouterNames();
                await Promise.all([sync.deliverReports(names), sync.deliverReports(names)]);
                expect(delivered.size).to.equal(3);
            }
            const connections = routers.map((router) => router.connections());
            expect(connections.reduce((sum, count) => sum + count, 0)).to.be.at.most(2 * 6 + 6);
        }
        finally {
            started.forEach(({ stop }) => stop());
        }
    });

    it("fetches a configuration that it lacks from one of the routers that have it", async () => {
        const routers = await Promise.all([1, 2, 3, 4, 5, 6].map((tokens) => routerFixture(tokens)));
        const [behind, ...informed] = routers;
        const fact = {
            kind: FactKind.Configuration,
            revision: 9,
            configuration: configurationFixture(7),
        } as const;
        informed.forEach(({ state }) => state.applyFact(fact, 0));
        const started = routers.map((router) => router.start([routers[0].address]));
        try {
            await until(() => behind.state.configuration?.version === 7);
            await until(() => started[0].sync.liveRouterCount() === 5);
            expect(behind.facts).to.deep.equal([fact]);
        }
        finally {
            started.forEach(({ stop }) => stop());
        }
    });

    // Regression test: a configuration above the limit of a frame closed the connections of all peers that offered it, so that
    // a router that the store rejected accepted a withdrawn key until the store served it again.
    it("fetches a configuration that exceeds the limit of a frame, in parts, while its peers serve others", async () => {
        const routers = await Promise.all([1, 2, 3, 4, 5, 6].map((tokens) => routerFixture(tokens)));
        const [informed, ...behind] = routers;
        const random = seededRandom(9);
        const digits = (count: number) =>
            Array.from({ length: count }, () => Math.floor(16 * random.unit()).toString(16)).join("");
        const keys = Array.from({ length: 40_000 }, () => digits(64));
        const accounts = [accountFixture("makers", keys)];
        const fact = {
            kind: FactKind.Configuration,
            revision: 9,
            configuration: { ...configurationFixture(7), accounts },
        } as const;
        expect(JSON.stringify(fact).length).to.be.greaterThan(maxFrameBytes);
        informed.state.applyFact(fact, 0);
        const started = routers.map((router) => router.start([routers[0].address]));
        try {
            await until(() => behind.every(({ state }) => state.configuration?.version === 7));
            behind.forEach(({ facts }) => expect(facts).to.deep.equal([fact]));
        }
        finally {
            started.forEach(({ stop }) => stop());
        }
    });

    it("makes no more exchanges per second in a larger fleet", () => {
        for (const peers of [4, 26, 300]) {
            expect(peers * 1_000 / routerInterval(peers, true), `${peers} peers`).to.be.at.most(41);
        }
        expect(routerInterval(4, true)).to.equal(150);
        expect([9, 29, 300].map(agentInterval)).to.deep.equal([1_400, 2_900, 3_000]);
    });
});
