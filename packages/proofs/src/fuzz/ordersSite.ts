/**
 * A simulated site for the orders: routers that may lead, and agents beside engines, some of which check fencing
 * numbers. The engines note what they are told.
 *
 * @module
 */
import {
    createOrderExecutor,
    createOrderLeader,
    decodeOrderTable,
    type Order,
    type OrderExecutor,
    OrderKind,
    type OrderLeader,
    orderTableKey,
} from "@redwingpin/claims";
import { FakeClock, silentLogger, sleep } from "@redwingpin/common";
import { EndpointKind, type Manifest } from "@redwingpin/manifest";
import { MemoryStore, SimulatedProcess } from "@redwingpin/outside";
import type { EndpointStatus } from "@redwingpin/protocol";
import { err, ok, type Result, ResultAsync } from "neverthrow";

const startOfTime = 1_000_000;
const storeLatency = 10;
const networkLatency = 5;
const giveTimeout = 300;
const loadDuration = 2_500;
const repeatDelay = 5_000;
const poolName = "drafting";

/** Weights of the old and the new version. */
export const weightsNames = ["draft-1", "draft-2"] as const;

/** An engine and what it has been told. */
export interface Engine {
    readonly checksFencing: boolean;
    incarnation: number;
    weights: string | undefined;
    loadsUnderWay: number;
    newestFence: number;
}

interface AgentProcess {
    readonly process: SimulatedProcess;
    readonly taker: OrderExecutor;
}

interface LeaderProcess {
    readonly process: SimulatedProcess;
    readonly leader: OrderLeader;
}

/** The simulated site. */
export class OrdersSite {
    readonly clock = new FakeClock(startOfTime);
    readonly store = new MemoryStore(this.clock, storeLatency);
    readonly engines: Engine[];
    /** What went wrong, as seen by the engines. */
    readonly faults: string[] = [];
    /** True while orders reach their agents twice, the second time late. */
    repeatsOrders = true;
    /** Replicas that the manifest states for the new version. */
    newReplicas = 0;
    private readonly agents: AgentProcess[];
    private readonly leaders: LeaderProcess[];

    constructor(leaderCount: number, engineCount: number) {
        this.engines = Array.from({ length: engineCount }, (_, index) => ({
            checksFencing: index % 2 === 0,
            incarnation: 1,
            weights: weightsNames[0],
            loadsUnderWay: 0,
            newestFence: 0,
        }));
        this.agents = this.engines.map((_, index) => this.startAgent(index));
        this.leaders = Array.from({ length: leaderCount }, (_, index) => this.startLeader(index));
    }

    agentProcess(index: number): SimulatedProcess {
        return this.agents[index].process;
    }

    leaderProcess(index: number): SimulatedProcess {
        return this.leaders[index].process;
    }

    restartAgent(index: number): void {
        this.agents[index].process.kill();
        this.agents[index] = this.startAgent(index);
    }

    restartLeader(index: number): void {
        this.leaders[index].process.kill();
        this.leaders[index] = this.startLeader(index);
    }

    /** The engine comes back empty. */
    crashEngine(index: number): void {
        const engine = this.engines[index];
        engine.incarnation++;
        engine.weights = undefined;
        engine.loadsUnderWay = 0;
        engine.newestFence = 0;
    }

    private startLeader(index: number): LeaderProcess {
        const process = new SimulatedProcess(this.clock);
        const leader = createOrderLeader({
            clock: process.clock,
            instance: `router-${index}`,
            store: process.storeClient(this.store.client()),
            logger: silentLogger,
            manifest: () => this.manifest(),
            statuses: () => this.engines.map((engine, number) => this.status(engine, number)),
            isListed: () => true,
            isCandidate: () => true,
            sendOrder: (order) => new ResultAsync(this.give(process, order)),
        });
        leader.start();
        return { process, leader };
    }

    private startAgent(index: number): AgentProcess {
        const process = new SimulatedProcess(this.clock);
        const engine = this.engines[index];
        const taker = createOrderExecutor({
            instance: agentName(index),
            store: process.storeClient(this.store.client()),
            logger: silentLogger,
            endpoint: {
                incarnation: () => String(engine.incarnation),
                drain: () => sleep(process.clock, networkLatency),
                resume: () => {},
                carryOut: (order, fence) => process.receive(this.carryOut(engine, order, fence)),
            },
        });
        return { process, taker };
    }

    private give(process: SimulatedProcess, order: Order): Promise<Result<unknown, string>> {
        return new Promise((resolve) => {
            process.clock.schedule(giveTimeout, () => resolve(err("no answer")));
            const agent = () => this.agents.find((_, index) => agentName(index) === order.instance)!;
            this.clock.schedule(networkLatency, () => {
                const { process: agentProcess, taker } = agent();
                agentProcess.run(() => {
                    const progress = taker.handle(order);
                    this.clock.schedule(networkLatency, () => process.run(() => resolve(ok(progress))));
                });
            });
            if (this.repeatsOrders) {
                this.clock.schedule(
                    repeatDelay,
                    () => agent().process.run(() => void agent().taker.handle(order)),
                );
            }
        });
    }

    private async carryOut(engine: Engine, order: Order, fence: number): Promise<boolean> {
        this.checkListed(order);
        if (engine.checksFencing && fence < engine.newestFence) {
            this.faults.push(
                `order ${order.number} carries fence ${fence}, older than ${engine.newestFence}`,
            );
            return false;
        }
        engine.newestFence = fence;
        const { action } = order;
        if (action.kind !== OrderKind.LoadWeights) {
            return true;
        }
        const { incarnation } = engine;
        engine.weights = undefined;
        engine.loadsUnderWay++;
        this.checkLoads();
        await sleep(this.clock, loadDuration);
        if (engine.incarnation !== incarnation) {
            return false;
        }
        engine.loadsUnderWay--;
        engine.weights = action.weights;
        return true;
    }

    private checkListed(order: Order): void {
        const entry = this.store.peek(orderTableKey);
        const table = entry && decodeOrderTable(entry.value)._unsafeUnwrap();
        if (!table?.orders.some((listed) => listed.number === order.number)) {
            this.faults.push(`order ${order.number} was carried out after it had ended`);
        }
    }

    private checkLoads(): void {
        const loading = this.engines.filter((engine) => engine.loadsUnderWay > 0).length;
        if (loading > 2) {
            this.faults.push(`${loading} engines load weights at once`);
        }
    }

    private status(engine: Engine, index: number): EndpointStatus {
        const version = weightsNames.find((name) => name === engine.weights);
        return {
            instance: agentName(index),
            pool: poolName,
            incarnation: String(engine.incarnation),
            draining: false,
            weights: version === undefined ? [] : [{ model: "draft", version }],
            queuedTokens: 0,
            running: 0,
            tokensPerSecond: 0,
        };
    }

    private manifest(): Manifest {
        const replicas = [this.engines.length - this.newReplicas, this.newReplicas];
        const versions = weightsNames.map((name, index) => ({
            name,
            weights: name,
            replicas: replicas[index],
        }));
        return {
            models: [{ name: "draft", versions, adapters: [] }],
            pools: [{
                name: poolName,
                kind: EndpointKind.Engine,
                model: "draft",
                checksSender: false,
                checksFencing: false,
            }],
            accounts: [],
            routes: [],
        };
    }
}

function agentName(index: number): string {
    return `agent-${index}`;
}
