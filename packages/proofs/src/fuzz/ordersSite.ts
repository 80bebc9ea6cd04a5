/**
 * A simulated site for the orders fuzz target: routers that may lead, and agents beside engines, some of which check
 * fencing tokens. The engines record violations in the orders that they receive.
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

const startTimeMilliseconds = 1_000_000;
const storeLatencyMilliseconds = 10;
const networkLatencyMilliseconds = 5;
const sendTimeoutMilliseconds = 300;
const loadMilliseconds = 2_500;
const repeatDelayMilliseconds = 5_000;
const poolName = "drafting";

/** Names of the weights of the old and the new version. */
export const weightsNames = ["draft-1", "draft-2"] as const;

/** State of a simulated engine. */
export interface Engine {
    readonly checksFencing: boolean;
    incarnation: number;
    weights: string | undefined;
    loadsInProgress: number;
    highestFence: number;
}

interface AgentProcess {
    readonly process: SimulatedProcess;
    readonly executor: OrderExecutor;
}

interface LeaderProcess {
    readonly process: SimulatedProcess;
    readonly leader: OrderLeader;
}

export class OrdersSite {
    readonly clock = new FakeClock(startTimeMilliseconds);
    readonly store = new MemoryStore(this.clock, storeLatencyMilliseconds);
    readonly engines: Engine[];
    /** Violations that the engines detected. */
    readonly violations: string[] = [];
    /** True while every order reaches its agent twice, the second time after a delay. */
    duplicatesOrders = true;
    /** Number of replicas that the manifest requests of the new version. */
    newReplicas = 0;
    private readonly agents: AgentProcess[];
    private readonly leaders: LeaderProcess[];

    constructor(leaderCount: number, engineCount: number) {
        this.engines = Array.from({ length: engineCount }, (_, index) => ({
            checksFencing: index % 2 === 0,
            incarnation: 1,
            weights: weightsNames[0],
            loadsInProgress: 0,
            highestFence: 0,
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

    /** Restarts the engine without weights. */
    crashEngine(index: number): void {
        const engine = this.engines[index];
        engine.incarnation++;
        engine.weights = undefined;
        engine.loadsInProgress = 0;
        engine.highestFence = 0;
    }

    private startLeader(index: number): LeaderProcess {
        const process = new SimulatedProcess(this.clock);
        const leader = createOrderLeader({
            clock: process.clock,
            instance: `router-${index}`,
            store: process.storeClient(this.store.client()),
            logger: silentLogger,
            manifest: () => this.manifest(),
            statuses: () => this.engines.map((engine, position) => this.status(engine, position)),
            isListed: () => true,
            isCandidate: () => true,
            sendOrder: (order) => new ResultAsync(this.sendOrder(process, order)),
        });
        leader.start();
        return { process, leader };
    }

    private startAgent(index: number): AgentProcess {
        const process = new SimulatedProcess(this.clock);
        const engine = this.engines[index];
        const executor = createOrderExecutor({
            instance: agentName(index),
            store: process.storeClient(this.store.client()),
            logger: silentLogger,
            endpoint: {
                incarnation: () => String(engine.incarnation),
                drain: () => sleep(process.clock, networkLatencyMilliseconds),
                resume: () => {},
                execute: (order, fence) => process.receive(this.executeOrder(engine, order, fence)),
            },
        });
        return { process, executor };
    }

    private sendOrder(process: SimulatedProcess, order: Order): Promise<Result<unknown, string>> {
        return new Promise((resolve) => {
            process.clock.schedule(sendTimeoutMilliseconds, () => resolve(err("no answer")));
            const findAgent = () => this.agents.find((_, index) => agentName(index) === order.instance)!;
            this.clock.schedule(networkLatencyMilliseconds, () => {
                const { process: agentProcess, executor } = findAgent();
                agentProcess.run(() => {
                    const progress = executor.handle(order);
                    this.clock.schedule(
                        networkLatencyMilliseconds,
                        () => process.run(() => resolve(ok(progress))),
                    );
                });
            });
            if (this.duplicatesOrders) {
                this.clock.schedule(
                    repeatDelayMilliseconds,
                    () => findAgent().process.run(() => void findAgent().executor.handle(order)),
                );
            }
        });
    }

    private async executeOrder(engine: Engine, order: Order, fence: number): Promise<boolean> {
        this.checkListed(order);
        if (engine.checksFencing && fence < engine.highestFence) {
            this.violations.push(
                `order ${order.number} has fencing token ${fence}, lower than ${engine.highestFence}`,
            );
            return false;
        }
        engine.highestFence = fence;
        const { action } = order;
        if (action.kind !== OrderKind.LoadWeights) {
            return true;
        }
        const { incarnation } = engine;
        engine.weights = undefined;
        engine.loadsInProgress++;
        this.checkLoads();
        await sleep(this.clock, loadMilliseconds);
        if (engine.incarnation !== incarnation) {
            return false;
        }
        engine.loadsInProgress--;
        engine.weights = action.weights;
        return true;
    }

    private checkListed(order: Order): void {
        const entry = this.store.peek(orderTableKey);
        const table = entry && decodeOrderTable(entry.value)._unsafeUnwrap();
        if (!table?.orders.some((listed) => listed.number === order.number)) {
            this.violations.push(`order ${order.number} was executed after it had ended`);
        }
    }

    private checkLoads(): void {
        const loading = this.engines.filter((engine) => engine.loadsInProgress > 0).length;
        if (loading > 2) {
            this.violations.push(`${loading} engines load weights at once, more than 2`);
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
