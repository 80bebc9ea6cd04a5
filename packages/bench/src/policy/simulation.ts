/**
 * Simulates one case under one policy: routers with the policy, agents with simulated engines, a list of calls and a
 * script of faults, all on one fake clock.
 *
 * @module
 */
import { FakeClock, type Milliseconds, seededRandom } from "@redwingpin/common";
import { type CandidateEndpoint, PlacementOutcome, RetryBudget } from "@redwingpin/placement";
import { DeclineReason } from "@redwingpin/protocol";
import type { Deployment } from "./deployments.js";
import { createPolicy, type PolicyName, type RoutingPolicy } from "./routingPolicy.js";
import { CallEnd, type CallRecord } from "./runMetrics.js";
import { type EventDelivery, SimulatedAgent } from "./simulatedAgent.js";
import type { Call } from "./workload.js";

/** Maximum number of attempts of one call, including the first. */
const maximumAttempts = 3;

/** Interval at which an agent sends its status, in addition to the status sent with each answer. */
const statusPeriod: Milliseconds = 250;

/** One-way network latency within a data centre. */
const localLatency: Milliseconds = 0.2;

const pool = "engines";

/** Options of {@link Simulation}. */
export interface SimulationOptions {
    readonly deployment: Deployment;
    readonly policy: PolicyName;
    readonly seed: number;
    readonly events: EventDelivery;
    /** Delay of the periodic statuses. */
    readonly statusDelay: Milliseconds;
    /** Weights version that a replica serves, by the replica's number. */
    readonly versionOf: (replica: number) => string;
    /** Injects faults; each step yields the time until the next step. */
    readonly faultScript: (simulation: Simulation) => Generator<Milliseconds, void>;
    readonly duration: Milliseconds;
}

interface Router {
    readonly dataCentre: string;
    policy: RoutingPolicy;
    budget: RetryBudget;
}

interface CallState {
    readonly call: Call;
    readonly router: Router;
    readonly triedInstances: string[];
    attempts: number;
    timeToFirstToken: Milliseconds | undefined;
    hitBlocks: number;
    recomputedBlocks: number;
    instance: string;
}

/** One simulation run. */
export class Simulation {
    readonly agents = new Map<string, SimulatedAgent>();
    private readonly clock = new FakeClock();
    private readonly routers: Router[];
    private readonly candidates: CandidateEndpoint[] = [];
    private readonly callStates = new Map<string, CallState>();
    private readonly computedBlocks = new Set<string>();
    private readonly records: CallRecord[] = [];

    constructor(private readonly options: SimulationOptions) {
        const { deployment } = options;
        for (let replica = 0; replica < deployment.replicas; replica++) {
            this.addReplica(replica);
        }
        this.routers = Array.from({ length: deployment.routers }, (_, index) => {
            const dataCentre = deployment.dataCentres[index % deployment.dataCentres.length]!;
            return { dataCentre, policy: this.createPolicy(dataCentre), budget: new RetryBudget() };
        });
    }

    /** Simulates the calls and returns a record of each call that ended. */
    run(calls: readonly Call[]): CallRecord[] {
        this.publishStatuses();
        this.runFaultScript(this.options.faultScript(this));
        this.scheduleCalls(calls, 0);
        this.clock.advance(this.options.duration);
        return this.records;
    }

    /** Instances in order of replica number. */
    get instances(): readonly string[] {
        return this.candidates.map((candidate) => candidate.instance);
    }

    /** Restarts a router: a new one knows the candidates and one status of each agent, and has a new retry budget. */
    restartRouter(index: number): void {
        const router = this.routers[index]!;
        router.policy = this.createPolicy(router.dataCentre);
        router.budget = new RetryBudget();
    }

    get routerCount(): number {
        return this.routers.length;
    }

    private addReplica(replica: number): void {
        const { deployment, seed, events } = this.options;
        const instance = `${deployment.model}-${replica + 1}`;
        const dataCentre = deployment.dataCentres[replica % deployment.dataCentres.length]!;
        this.candidates.push({ instance, pool, dataCentre, leaving: false });
        this.agents.set(
            instance,
            new SimulatedAgent({
                clock: this.clock,
                random: seededRandom(seed * 1_000 + 500 + replica),
                instance,
                pool,
                weights: { model: deployment.model, version: this.options.versionOf(replica) },
                cacheBlocks: deployment.cacheBlocks,
                events,
                listener: {
                    onDecline: (call, reason) =>
                        this.sendToRouter(call, (state) => this.onDecline(state, reason)),
                    onHead: (call, hitBlocks) => this.onHead(call, hitBlocks),
                    onCompleted: (call) => this.sendToRouter(call, (state) => this.onCompleted(state)),
                    onFailed: (call) => this.sendToRouter(call, (state) => this.onFailed(state)),
                },
            }),
        );
    }

    private createPolicy(dataCentre: string): RoutingPolicy {
        const policy = createPolicy(this.options.policy, {
            clock: this.clock,
            dataCentre,
            pool,
            agents: this.agents,
        });
        policy.replaceCandidates(this.candidates);
        this.agents.forEach((agent) => policy.observeStatus(agent.status()));
        return policy;
    }

    private scheduleCalls(calls: readonly Call[], index: number): void {
        const call = calls[index];
        if (call === undefined) {
            return;
        }
        this.clock.schedule(call.arrivesAt - this.clock.now(), () => {
            this.startCall(call);
            this.scheduleCalls(calls, index + 1);
        });
    }

    private runFaultScript(script: Generator<Milliseconds, void>): void {
        const step = script.next();
        if (!step.done) {
            this.clock.schedule(step.value, () => this.runFaultScript(script));
        }
    }

    private publishStatuses(): void {
        for (const agent of this.agents.values()) {
            const status = agent.status();
            this.clock.schedule(
                this.options.statusDelay,
                () => this.routers.forEach((router) => router.policy.observeStatus(status)),
            );
        }
        this.clock.schedule(statusPeriod, () => this.publishStatuses());
    }

    private startCall(call: Call): void {
        const router = this.routers[call.router]!;
        router.budget.recordRequest();
        const state: CallState = {
            call,
            router,
            triedInstances: [],
            attempts: 0,
            timeToFirstToken: undefined,
            hitBlocks: 0,
            recomputedBlocks: 0,
            instance: "",
        };
        this.callStates.set(call.id, state);
        this.startAttempt(state);
    }

    private startAttempt(state: CallState): void {
        const instance = state.router.policy.choose(state.call, state.triedInstances);
        if (instance === undefined) {
            this.finish(state, CallEnd.Refused);
            return;
        }
        state.instance = instance;
        state.attempts += 1;
        state.triedInstances.push(instance);
        this.clock.schedule(this.latencyOf(state), () => this.agents.get(instance)!.receive(state.call));
    }

    private latencyOf(state: CallState): Milliseconds {
        const agentDataCentre =
            this.candidates.find((candidate) => candidate.instance === state.instance)!.dataCentre;
        const remoteLatency = agentDataCentre === state.router.dataCentre
            ? 0
            : this.options.deployment.remoteLatency;
        return localLatency + remoteLatency;
    }

    private sendToRouter(call: Call, handle: (state: CallState) => void): void {
        const state = this.callStates.get(call.id)!;
        const status = this.agents.get(state.instance)!.status();
        this.clock.schedule(this.latencyOf(state), () => {
            state.router.policy.observeStatus(status);
            handle(state);
        });
    }

    private onHead(call: Call, hitBlocks: number): void {
        const state = this.callStates.get(call.id)!;
        state.hitBlocks = hitBlocks;
        state.recomputedBlocks =
            call.blocks.slice(hitBlocks).filter((block) => this.computedBlocks.has(block)).length;
        call.blocks.forEach((block) => this.computedBlocks.add(block));
        this.clock.schedule(this.latencyOf(state), () => {
            state.timeToFirstToken ??= this.clock.now() - call.arrivesAt;
            state.router.policy.onHead(call, hitBlocks);
        });
    }

    private onCompleted(state: CallState): void {
        state.router.policy.onOutcome(state.call, PlacementOutcome.Completed);
        this.finish(state, CallEnd.Completed);
    }

    private onDecline(state: CallState, reason: DeclineReason): void {
        state.router.policy.onOutcome(state.call, PlacementOutcome.Declined);
        if (reason === DeclineReason.DeadlineExceeded) {
            this.finish(state, CallEnd.Refused);
            return;
        }
        this.retry(state);
    }

    private onFailed(state: CallState): void {
        state.router.policy.onOutcome(state.call, PlacementOutcome.Failed);
        this.retry(state);
    }

    private retry(state: CallState): void {
        if (state.attempts >= maximumAttempts || !state.router.budget.trySpend()) {
            this.finish(state, CallEnd.Refused);
            return;
        }
        this.startAttempt(state);
    }

    private finish(state: CallState, end: CallEnd): void {
        this.callStates.delete(state.call.id);
        const { call, timeToFirstToken, hitBlocks, recomputedBlocks, attempts } = state;
        this.records.push({
            call,
            timeToFirstToken,
            end,
            hitBlocks,
            recomputedBlocks,
            attempts,
        });
    }
}
