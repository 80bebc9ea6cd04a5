import { silentLogger, systemClock } from "@redwingpin/common";
import { type InnerAddress, InnerNode, ProcessRole } from "@redwingpin/protocol";
import { expect } from "chai";
import { emptyReport, FleetState, FleetSync, peerName, routerInterval } from "../index.js";

const fleetKeys = [{ identity: "fleet", secret: Buffer.alloc(32, 7) }] as const;

/** A router that tells a fixed sum and notes what others have of it. */
async function routerFixture(tokens: number, hasReport = true) {
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
    const told = new Map<string, number>();
    const heard = new Map<string, number>();
    const start = (seeds: readonly InnerAddress[]) => {
        const sync = new FleetSync({
            clock: systemClock,
            logger: silentLogger,
            innerNode,
            state: new FleetState(),
            address,
            role: ProcessRole.Router,
            seeds,
            agents: () => [],
            report: () => ({ ...emptyReport, spent: [{ account: "makers", tokens }] }),
            hasReport: () => hasReport,
            isHomeOf: () => false,
            onReport: (peer, report) => heard.set(peer.instance, report.spent[0].tokens),
            onReplica: () => {},
            onTold: (_peer, address, report) => told.set(peerName(address), report.spent[0].tokens),
            onNews: () => {},
        });
        sync.start();
        const stop = () => {
            sync.stop();
            innerNode.stop();
        };
        return { sync, stop };
    };
    return { address, told, heard, start, connections: () => innerNode.openConnections().length };
}

async function until(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise((resolve) => setTimeout(resolve, 10));
    }
}

describe("fleet sync", () => {
    it("lets both routers of a pair know what the other one has, whichever of them calls", async () => {
        const first = await routerFixture(100);
        const second = await routerFixture(200);
        const started = [first.start([second.address]), second.start([])];
        try {
            await until(() => first.heard.size === 1 && second.heard.size === 1);
            await until(() => first.told.size === 1 && second.told.size === 1);
            expect([...first.told]).to.deep.equal([[peerName(second.address), 100]]);
            expect([...second.told]).to.deep.equal([[peerName(first.address), 200]]);
        }
        finally {
            started.forEach(({ stop }) => stop());
        }
    });

    it("tells all routers in touch at once where a request waits for it, over one connection a pair", async () => {
        const routers = await Promise.all([1, 2, 3, 4].map((tokens) => routerFixture(tokens, false)));
        const seeds = [routers[0].address];
        const started = routers.map((router) => router.start(seeds));
        try {
            await until(() => started.every(({ sync }) => sync.liveRouters() === 3));
            for (const [index, { told }] of routers.entries()) {
                told.clear();
                await Promise.all([started[index].sync.settle(), started[index].sync.settle()]);
                expect(told.size).to.equal(3);
            }
            const connections = routers.map((router) => router.connections());
            expect(connections.reduce((sum, count) => sum + count, 0)).to.be.at.most(2 * 6 + 6);
        }
        finally {
            started.forEach(({ stop }) => stop());
        }
    });

    it("makes no more exchanges a second in a larger fleet", () => {
        for (const peers of [4, 26, 300]) {
            expect(peers * 1_000 / routerInterval(peers, true), `${peers} peers`).to.be.at.most(41);
        }
        expect(routerInterval(4, true)).to.equal(150);
    });
});
