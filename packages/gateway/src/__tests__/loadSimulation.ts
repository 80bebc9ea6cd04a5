import { FakeClock, seededRandom } from "@redwingpin/common";
import { FactKind, FleetState } from "@redwingpin/fleet";
import { type Choice, chooseEndpoint, type EndpointModelSettings, EndpointTable } from "../index.js";
import { type TrackedLoad, trackLoad } from "../node/attemptRecord.js";
import { choiceFixture, endpointStateFixture, statusFixture } from "./gatewayFixture.js";

const tick = 5;
const checkInterval = 150;
const exchangeInterval = 1_000;
const targetLatency = 800;
const timeout = 11_000;
const drainTime = 12_000;
const attempts = 2;

/** A load on engines that all have the same capacity. */
export interface Load {
    readonly engines: number;
    readonly routers: number;
    readonly duration: number;
    readonly requestsPerSecond: number;
    readonly memory: number;
    readonly promptTokensPerMillisecond: number;
    /** Prompt and output tokens of a request; `draw` is a random number from 0 to 1. */
    readonly request: (draw: number) => { readonly prompt: number; readonly output: number; };
    /** Factor by which an engine is slower; `Infinity` while it is unresponsive. */
    readonly slowness: (engine: number, now: number) => number;
}

/** What callers saw, and what engines did. */
export interface LoadResult {
    requests: number;
    late: number;
    timedOut: number;
    preempted: number;
}

interface Run {
    readonly request: SimulatedRequest;
    readonly prompt: number;
    readonly output: number;
    promptLeft: number;
    produced: number;
}

/** An engine that processes one prompt at a time beside a batch of running requests. */
class SimulatedEngine {
    queue: Run[] = [];
    running: Run[] = [];
    preempted = 0;

    constructor(private readonly load: Load, private readonly index: number) {}

    get used(): number {
        return this.running.reduce((sum, run) => sum + run.prompt + run.produced, 0);
    }

    remove(request: SimulatedRequest): void {
        this.queue = this.queue.filter((run) => run.request !== request);
        this.running = this.running.filter((run) => run.request !== request);
    }

    step(now: number): void {
        const time = tick / this.load.slowness(this.index, now);
        if (time === 0) {
            return;
        }
        const slots = 64;
        while (
            this.queue.length > 0 && this.running.length < slots
            && this.used + this.queue[0].prompt <= this.load.memory
        ) {
            this.running.push(this.queue.shift()!);
        }
        let promptBudget = time * this.load.promptTokensPerMillisecond;
        for (const run of this.running.filter(({ promptLeft }) => promptLeft > 0)) {
            const processed = Math.min(promptBudget, run.promptLeft);
            run.promptLeft -= processed;
            promptBudget -= processed;
        }
        const steps = time / (3 + 0.12 * this.running.length);
        for (const run of this.running.filter(({ promptLeft }) => promptLeft === 0)) {
            run.produced += steps;
            run.request.onProgress(run.produced, run.produced >= run.output);
        }
        this.running = this.running.filter((run) => run.produced < run.output);
        while (this.used > this.load.memory) {
            const newest = this.running.pop()!;
            this.preempted += 1;
            this.queue.unshift({ ...newest, promptLeft: newest.prompt + newest.produced });
        }
    }
}

/** A request of a caller, with all its attempts. */
class SimulatedRequest {
    private readonly tried = new Set<string>();
    private events = 0;
    private current:
        | { readonly choice: Choice; readonly load: TrackedLoad; readonly sentAt: number; }
        | undefined;

    constructor(
        private readonly simulation: LoadSimulation,
        private readonly table: EndpointTable,
        private readonly size: { readonly prompt: number; readonly output: number; },
        private readonly arrival: number,
    ) {
        this.send(this.choose()!);
        simulation.clock.schedule(timeout, () => {
            if (this.current !== undefined) {
                simulation.result.timedOut += 1;
                simulation.result.late += this.events === 0 ? 1 : 0;
                this.end();
            }
        });
    }

    private choose(): Choice | undefined {
        const { clock, model } = this.simulation;
        return chooseEndpoint(choiceFixture(this.table.ofService("drafting"), {
            now: clock.now(),
            speed: this.table.speed("drafting"),
            targetLatency,
            elapsed: clock.now() - this.arrival,
            tried: this.tried,
            model,
            prompt: {
                model: "drafting",
                desiredWeights: undefined,
                promptTokens: this.size.prompt,
                outputTokens: this.size.output,
                reusable: () => ({ tokens: 0, likelyCached: 0, repeated: 0, fetchTime: 0 }),
            },
        }));
    }

    private send(choice: Choice): void {
        const { clock, engines } = this.simulation;
        const { instance } = choice.endpointState.endpoint;
        this.tried.add(instance);
        const load = trackLoad(clock, choice, {
            events: () => this.events,
            isBlocked: () => false,
            targetLatency,
            onOverdue: () => this.continueElsewhere(),
        });
        this.current = { choice, load, sentAt: clock.now() };
        const { output, prompt } = this.size;
        engines[Number(instance)].queue.push({
            request: this,
            prompt,
            output,
            promptLeft: prompt,
            produced: 0,
        });
    }

    private continueElsewhere(): void {
        const next = this.tried.size < attempts ? this.choose() : undefined;
        if (next !== undefined) {
            this.end();
            this.send(next);
        }
    }

    onProgress(produced: number, isOver: boolean): void {
        if (this.current === undefined || Math.floor(produced) <= this.events && !isOver) {
            return;
        }
        const { choice, load, sentAt } = this.current;
        const { clock, result } = this.simulation;
        const now = clock.now();
        choice.endpointState.recordAnswerPart(now);
        if (this.events === 0) {
            result.late += now - this.arrival > targetLatency ? 1 : 0;
            load.recordAnswer();
            choice.endpointState.observeAnswerTime("route", now - sentAt, choice.serviceLatency, now);
            const slowness = this.simulation.model.speed ? choice.endpointState.estimate.slowness : 1;
            this.table.speed("drafting").observe(choice.tokensToProcess, (now - sentAt) / slowness, 0);
        }
        this.events = Math.floor(produced);
        if (isOver) {
            this.end();
        }
    }

    private end(): void {
        const { choice, load } = this.current!;
        load.release();
        this.simulation.engines[Number(choice.endpointState.endpoint.instance)].remove(this);
        this.current = undefined;
    }
}

/** Engines behind routers that see each other, and the engines, late. */
export class LoadSimulation {
    readonly clock = new FakeClock(0);
    readonly result: LoadResult = { requests: 0, late: 0, timedOut: 0, preempted: 0 };
    readonly engines: readonly SimulatedEngine[];
    private readonly tables: readonly EndpointTable[];
    private readonly random;

    constructor(private readonly load: Load, readonly model: EndpointModelSettings, seed: number) {
        this.random = seededRandom(seed);
        this.engines = Array.from({ length: load.engines }, (_, index) => new SimulatedEngine(load, index));
        const state = new FleetState();
        this.engines.forEach((_, index) => {
            const { endpoint } = endpointStateFixture(String(index), { port: index });
            state.applyFact(
                { kind: FactKind.Endpoint, revision: index + 1, instance: String(index), endpoint },
                0,
            );
        });
        this.tables = Array.from({ length: load.routers }, () => new EndpointTable(() => {}));
        this.tables.forEach((table) => table.update(state));
    }

    run(): LoadResult {
        const { clock, engines, load, random, result, tables } = this;
        tables.forEach((table, router) => {
            this.repeat(() => checkInterval, () => this.check(table));
            tables.filter((other) => other !== table).forEach((other) =>
                this.repeat(
                    () => exchangeInterval * (0.5 + random.unit()),
                    () => this.report(table, other, router),
                )
            );
            engines.forEach((_, index) =>
                this.repeat(() => 700 + 1_300 * random.unit(), () => this.reportStatus(table, index))
            );
        });
        let untilNext = 0;
        while (clock.now() < load.duration + drainTime) {
            for (untilNext -= tick; untilNext <= 0 && clock.now() < load.duration;) {
                untilNext -= Math.log(1 - random.unit()) * 1_000 / load.requestsPerSecond;
                const table = tables[Math.floor(random.unit() * tables.length)];
                result.requests += 1;
                new SimulatedRequest(this, table, load.request(random.unit()), clock.now());
            }
            clock.advance(tick);
            engines.forEach((engine) => engine.step(clock.now()));
        }
        result.preempted = engines.reduce((sum, engine) => sum + engine.preempted, 0);
        return result;
    }

    private repeat(interval: () => number, action: () => void): void {
        this.clock.schedule(interval(), () => {
            action();
            this.repeat(interval, action);
        });
    }

    private check(table: EndpointTable): void {
        const now = this.clock.now();
        if (this.model.speed) {
            table.updateEstimates(now);
        }
        if (this.model.unresponsiveness) {
            table.checkResponses(now, this.tables.length, () => this.random.unit());
        }
    }

    private report(table: EndpointTable, receiver: EndpointTable, router: number): void {
        const now = this.clock.now();
        receiver.observeLoads(String(router), table.ownLoads(now), now);
    }

    private reportStatus(table: EndpointTable, index: number): void {
        const { queue, running, used } = this.engines[index];
        const status = statusFixture(1, {
            address: `127.0.0.1:${index}`,
            queued: queue.length,
            running: running.length,
            cacheUsed: Math.round(used),
            cacheTotal: this.load.memory,
        });
        table.observeStatus(status, this.clock.now());
    }
}
