import { FakeClock, silentLogger } from "@redwingpin/common";
import { emptyReport, FactKind, FleetMessageKind, type SyncCall } from "@redwingpin/fleet";
import { InnerNode, parseFleetKeys, ProcessRole, Topic } from "@redwingpin/protocol";
import { expect } from "chai";
import { okAsync } from "neverthrow";
import { Registry } from "prom-client";
import { type LoadOrder, OrderAnswer, ReplicaAgent, type ReplicaControl } from "../index.js";

const fleetKeys = parseFleetKeys("a key of the test fleet")._unsafeUnwrap();
const replica = "127.0.0.1:9000";

/** A replica that answers every order alike and notes when it was asked. */
function refusingReplica(clock: FakeClock) {
    const orders: { readonly order: LoadOrder; readonly at: number; }[] = [];
    const control: ReplicaControl = {
        report: () =>
            okAsync({
                startedAt: 1,
                weights: [{ model: "drafting", version: 1 }],
                busy: false,
                orders: 0,
                running: 0,
                queued: 0,
                cacheUsed: 0,
                cacheTotal: 1,
            }),
        load: (order) => {
            orders.push({ order, at: clock.now() });
            return okAsync(OrderAnswer.WrongInstance);
        },
    };
    return { control, orders };
}

/** What a router tells an agent whose replica has restarted under another identifier. */
function syncCall(): SyncCall {
    return {
        kind: FleetMessageKind.Sync,
        mark: { configuration: 0, weights: 0, endpoints: 0 },
        report: {
            ...emptyReport,
            service: {
                spare: 1,
                replicas: [{
                    address: replica,
                    weights: [{ model: "drafting", version: 1 }],
                    loading: false,
                }],
            },
        },
    };
}

function endpointNews(instance: string, revision: number) {
    const [host, port] = replica.split(":");
    return {
        kind: FactKind.Endpoint,
        revision,
        instance,
        endpoint: {
            instance,
            service: "engines",
            host,
            port: Number(port),
            dataCentre: "hobart",
            slots: 64,
            leaving: false,
            weights: [{ model: "drafting", version: 1 }],
        },
    };
}

async function turns(): Promise<void> {
    await new Promise((resolve) => setTimeout(resolve, 3));
}

describe("replica agent", () => {
    it("does not repeat a refused order at once, and names the newest registration", async () => {
        const clock = new FakeClock(1_000);
        const { control, orders } = refusingReplica(clock);
        const inner = { host: "127.0.0.1", port: 0 };
        const agent = new ReplicaAgent({
            config: {
                instance: "agent",
                fleetKeys,
                inner,
                replica,
                service: "engines",
                loadLatestAfter: 4_800,
                loadAllowed: 9_500,
            },
            clock,
            logger: silentLogger,
            registry: new Registry(),
            control,
        });
        const port = await agent.start();
        const router = new InnerNode({
            role: ProcessRole.Router,
            instance: "router",
            incarnation: "1",
            fleetKeys,
            clock,
            logger: silentLogger,
            revision: () => 0,
            onRevision: () => {},
            onMessage: () => {},
            onClosed: () => {},
        });
        const connection = (await router.connect({ host: "127.0.0.1", port }))._unsafeUnwrap();
        await connection.call(Topic.Fleet, syncCall(), 1_000);
        connection.notify(Topic.Fleet, {
            kind: FleetMessageKind.News,
            mark: { configuration: 0, weights: 9, endpoints: 5 },
            news: [
                endpointNews("before", 3),
                endpointNews("after", 5),
                { kind: FactKind.Weights, revision: 9, model: "drafting", version: 2, age: 0 },
            ],
        });
        for (let step = 0; step < 60; step++) {
            await turns();
            clock.advance(20);
        }
        agent.stop();
        router.stop();
        expect(orders.length).to.be.within(2, 4);
        expect(new Set(orders.map(({ order }) => order.instance))).to.deep.equal(new Set(["after"]));
    });
});
