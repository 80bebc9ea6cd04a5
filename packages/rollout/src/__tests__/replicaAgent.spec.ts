import { FakeClock, silentLogger } from "@redwingpin/common";
import {
    emptyReport,
    FactKind,
    FleetMessageKind,
    type ModelWeights,
    readSyncReply,
    type SyncCall,
} from "@redwingpin/fleet";
import { InnerNode, parseFleetKeys, ProcessRole, Topic } from "@redwingpin/protocol";
import { expect } from "chai";
import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import { Registry } from "prom-client";
import { type LoadOrder, OrderAnswer, ReplicaAgent, type ReplicaControl } from "../index.js";

const fleetKeys = parseFleetKeys("a key of the test fleet")._unsafeUnwrap();
const replica = "127.0.0.1:9000";

/** A replica that answers every order alike, never loads weights, and records the orders with their time. */
function replicaFixture(
    clock: FakeClock,
    answer: () => ResultAsync<OrderAnswer, string>,
    weights: () => ModelWeights[] = () => [{ model: "drafting", version: 1 }],
) {
    const orders: { readonly order: LoadOrder; readonly at: number; }[] = [];
    const control: ReplicaControl = {
        report: () =>
            okAsync({
                startedAt: 1,
                weights: weights(),
                busy: false,
                orders: 0,
                running: 0,
                queued: 0,
                cacheUsed: 0,
                cacheTotal: 1,
            }),
        load: (order) => {
            orders.push({ order, at: clock.now() });
            return answer();
        },
    };
    return { control, orders };
}

/** Call of a router to the agent of a replica that serves superseded weights. */
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

function endpointFact(instance: string, revision: number) {
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

async function waitForEvents(): Promise<void> {
    await new Promise((resolve) => setTimeout(resolve, 3));
}

/** Advances the time by 1,200 ms. */
async function advance(clock: FakeClock): Promise<void> {
    for (let step = 0; step < 60; step++) {
        await waitForEvents();
        clock.advance(20);
    }
}

/** A running agent, and routers that connect to it. */
async function agentFixture(clock: FakeClock, control: ReplicaControl) {
    const agent = new ReplicaAgent({
        config: {
            instance: "agent",
            fleetKeys,
            inner: { host: "127.0.0.1", port: 0 },
            replica,
            service: "engines",
            loadFallbackAfter: 4_800,
            loadAllowed: 9_500,
        },
        clock,
        logger: silentLogger,
        registry: new Registry(),
        control,
    });
    const port = await agent.start();
    const routers: InnerNode[] = [];
    return {
        connect: async (incarnation: string) => {
            const router = new InnerNode({
                role: ProcessRole.Router,
                instance: "router",
                incarnation,
                fleetKeys,
                clock,
                logger: silentLogger,
                revision: () => 0,
                onRevision: () => {},
                onMessage: () => {},
                onClosed: () => {},
            });
            routers.push(router);
            return (await router.connect({ host: "127.0.0.1", port }))._unsafeUnwrap();
        },
        stop: () => {
            agent.stop();
            routers.forEach((router) => router.stop());
        },
    };
}

/** Sends newer weights to an agent and advances the time by 1,200 ms; returns the orders that its replica received. */
async function ordersWith(answer: () => ResultAsync<OrderAnswer, string>) {
    const clock = new FakeClock(1_000);
    const { control, orders } = replicaFixture(clock, answer);
    const agent = await agentFixture(clock, control);
    const connection = await agent.connect("1");
    await connection.call(Topic.Fleet, syncCall(), 1_000);
    connection.notify(Topic.Fleet, {
        kind: FleetMessageKind.Facts,
        mark: { configuration: 0, weights: 9, endpoints: 5 },
        news: [
            endpointFact("before", 3),
            endpointFact("after", 5),
            { kind: FactKind.Weights, revision: 9, model: "drafting", version: 2, age: 0 },
        ],
    });
    await advance(clock);
    agent.stop();
    return orders;
}

describe("replica agent", () => {
    // Regression test: the agent addressed only the latest registration at its replica's address, which anyone may write.
    it("does not repeat a refused order immediately, and addresses another registration if its replica denies one", async () => {
        const orders = await ordersWith(() => okAsync(OrderAnswer.WrongInstance));
        expect(orders.length).to.be.within(2, 4);
        const instances = orders.map(({ order }) => order.instance);
        expect(instances).to.deep.equal(["after", "before", "after", "before"].slice(0, orders.length));
    });

    it("addresses the instance of the newest registration while its replica does not deny it", async () => {
        const orders = await ordersWith(() => okAsync(OrderAnswer.Conflict));
        expect(orders.length).to.be.within(2, 4);
        expect(new Set(orders.map(({ order }) => order.instance))).to.deep.equal(new Set(["after"]));
    });

    // Regression test: a replica answered only half of its orders, and was out of service for 3.5 s after each order that
    // it did not answer, since the agent repeated it too late.
    it("repeats an unanswered order that has no effect, with the same number of expected orders", async () => {
        const orders = await ordersWith(() => errAsync("no answer"));
        expect(orders.length).to.be.within(3, 8);
        expect(new Set(orders.map(({ order }) => order.expectedOrders))).to.deep.equal(new Set([0]));
    });

    it("waits for the effect of an accepted order", async () => {
        expect(await ordersWith(() => okAsync(OrderAnswer.Accepted))).to.have.length(1);
    });

    // Regression test: after an order for one model, a replica got one with a lower number for its other model.
    it("numbers the orders for all models of a replica so that the numbers never fall", async () => {
        const clock = new FakeClock(1_000);
        const { control, orders } = replicaFixture(
            clock,
            () => okAsync(OrderAnswer.WrongInstance),
            () => [{ model: "drafting", version: orders.length === 0 ? 2 : 1 }, {
                model: "review",
                version: 1,
            }],
        );
        const agent = await agentFixture(clock, control);
        const connection = await agent.connect("1");
        await connection.call(Topic.Fleet, syncCall(), 1_000);
        connection.notify(Topic.Fleet, {
            kind: FleetMessageKind.Facts,
            mark: { configuration: 0, weights: 12, endpoints: 5 },
            news: [
                endpointFact("after", 5),
                { kind: FactKind.Weights, revision: 9, model: "drafting", version: 2, age: 0 },
                { kind: FactKind.Weights, revision: 12, model: "review", version: 2, age: 0 },
            ],
        });
        await advance(clock);
        agent.stop();
        expect(orders.slice(0, 2).map(({ order }) => order.model)).to.deep.equal(["review", "drafting"]);
        const fences = orders.map(({ order }) => order.fence);
        expect(fences).to.deep.equal([...fences].sort((left, right) => left - right));
    });

    // Guards against engines that crash anew under a known part after all routers have restarted at the same time.
    it("tells routers that have just started what earlier ones have quarantined", async () => {
        const clock = new FakeClock(10_000);
        const { control } = replicaFixture(clock, () => okAsync(OrderAnswer.Accepted));
        const agent = await agentFixture(clock, control);
        const quarantined = [{ kind: "part", name: "cause", firstCrashAge: 3_000, lastCrashAge: 1_000 }];
        const call = syncCall();
        await (await agent.connect("before")).call(Topic.Fleet, {
            ...call,
            report: {
                ...call.report,
                crashReport: { lastChange: 1, suspects: [], answered: [], quarantined },
            },
        }, 1_000);
        const answer = await (await agent.connect("after the restart")).call(Topic.Fleet, syncCall(), 1_000);
        agent.stop();
        const reply = readSyncReply(answer._unsafeUnwrap());
        expect(reply?.report.crashReport?.quarantined).to.deep.equal(quarantined);
    });
});
