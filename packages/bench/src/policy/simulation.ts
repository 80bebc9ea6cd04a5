/**
 * One run of the experiment: routers with a policy, agents with fake engines, a list of calls and a script of
 * faults, all on one fake clock.
 *
 * @module
 */
import { FakeClock, type Milliseconds, seededRandom } from "@redwingpin/common";
import { type CandidateEndpoint, PlacementOutcome, RetryBudget } from "@redwingpin/placement";
import { DeclineReason } from "@redwingpin/protocol";
import type { Deployment } from "./deployments.js";
import { type EventDelivery, FakeAgent } from "./fakeAgent.js";
import { CallEnd, type CallRecord } from "./measures.js";
import { createPolicy, type PolicyName, type RoutingPolicy } from "./routingPolicy.js";
import type { Call } from "./workload.js";

/** Attempts at one call. */
const maximumAttempts = 3;

/** Time between an agent's statuses outside answers. */
const statusPeriod: Milliseconds = 250;

/** One way between a router and an agent in the same data centre. */
const withinDataCentre: Milliseconds = 0.2;

const pool = "engines";

/** Options of {@link Simulation}. */
export interface SimulationOptions {
    readonly deployment: Deployment;
    readonly policy: PolicyName;
    readonly seed: number;
    readonly events: EventDelivery;
    /** Lag of an agent's statuses. */
    readonly statusDelay: Milliseconds;
    /** Version that each replica serves, by its number. */
    readonly versionOf: (replica: number) => string;
    /** Faults: each step yields the time until the next. */
    readonly script: (simulation: Simulation) => Generator<Milliseconds, void>;
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
    readonly tried: string[];
    attempts: number;
    firstTokenAfter: Milliseconds | undefined;
    hitBlocks: number;
    recomputedBlocks: number;
    instance: string;
}

/** A run in progress. */
export class Simulation {
    readonly agents = new Map<string, FakeAgent>();
    private readonly clock = new FakeClock();
    private readonly routers: Router[];
    private readonly candidates: CandidateEndpoint[] = [];
    private readonly states = new Map<string, CallState>();
    private readonly everComputed = new Set<string>();
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

    /** Plays the calls and returns a record of each. */
    run(calls: readonly Call[]): CallRecord[] {
        this.publishStatuses();
        this.playScript(this.options.script(this));
        this.playCalls(calls, 0);
        this.clock.advance(this.options.duration);
        return this.records;
    }

    /** Instances in order of replica number. */
    get instances(): readonly string[] {
        return this.candidates.map((candidate) => candidate.instance);
    }

    /** Replaces a router by one that knows nothing but the candidates and what agents tell it when it connects. */
    restartRouter(index: number): void {
        const router = this.routers[index]!;
        router.policy = this.createPolicy(router.dataCentre);
        router.budget = new RetryBudget();
    }

    /** Number of routers. */
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
            new FakeAgent({
                clock: this.clock,
                random: seededRandom(seed * 1_000 + 500 + replica),
                instance,
                pool,
                weights: { model: deployment.model, version: this.options.versionOf(replica) },
                cacheBlocks: deployment.cacheBlocks,
                events,
                listener: {
                    onDecline: (call, reason) =>
                        this.toRouter(call, (state) => this.onDecline(state, reason)),
                    onHead: (call, hitBlocks) => this.onHead(call, hitBlocks),
                    onEnd: (call) => this.toRouter(call, (state) => this.onEnd(state)),
                    onFailed: (call) => this.toRouter(call, (state) => this.onFailed(state)),
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
        policy.retain(this.candidates);
        this.agents.forEach((agent) => policy.observeStatus(agent.status()));
        return policy;
    }

    private playCalls(calls: readonly Call[], index: number): void {
        const call = calls[index];
        if (call === undefined) {
            return;
        }
        this.clock.schedule(call.at - this.clock.now(), () => {
            this.start(call);
            this.playCalls(calls, index + 1);
        });
    }

    private playScript(script: Generator<Milliseconds, void>): void {
        const step = script.next();
        if (!step.done) {
            this.clock.schedule(step.value, () => this.playScript(script));
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

    private start(call: Call): void {
        const router = this.routers[call.router]!;
        router.budget.recordRequest();
        const state: CallState = {
            call,
            router,
            tried: [],
            attempts: 0,
            firstTokenAfter: undefined,
            hitBlocks: 0,
            recomputedBlocks: 0,
            instance: "",
        };
        this.states.set(call.id, state);
        this.attempt(state);
    }

    private attempt(state: CallState): void {
        const instance = state.router.policy.choose(state.call, state.tried);
        if (instance === undefined) {
            this.finish(state, CallEnd.Refused);
            return;
        }
        state.instance = instance;
        state.attempts += 1;
        state.tried.push(instance);
        this.clock.schedule(this.hop(state), () => this.agents.get(instance)!.open(state.call));
    }

    private hop(state: CallState): Milliseconds {
        const there = this.candidates.find((candidate) => candidate.instance === state.instance)!.dataCentre;
        const between = there === state.router.dataCentre ? 0 : this.options.deployment.betweenDataCentres;
        return withinDataCentre + between;
    }

    private toRouter(call: Call, handle: (state: CallState) => void): void {
        const state = this.states.get(call.id)!;
        const status = this.agents.get(state.instance)!.status();
        this.clock.schedule(this.hop(state), () => {
            state.router.policy.observeStatus(status);
            handle(state);
        });
    }

    private onHead(call: Call, hitBlocks: number): void {
        const state = this.states.get(call.id)!;
        state.hitBlocks = hitBlocks;
        state.recomputedBlocks =
            call.blocks.slice(hitBlocks).filter((block) => this.everComputed.has(block)).length;
        call.blocks.forEach((block) => this.everComputed.add(block));
        this.clock.schedule(this.hop(state), () => {
            state.firstTokenAfter ??= this.clock.now() - call.at;
            state.router.policy.onHead(call, hitBlocks);
        });
    }

    private onEnd(state: CallState): void {
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
        this.attempt(state);
    }

    private finish(state: CallState, end: CallEnd): void {
        this.states.delete(state.call.id);
        const { call, firstTokenAfter, hitBlocks, recomputedBlocks, attempts } = state;
        this.records.push({ call, firstTokenAfter, end, hitBlocks, recomputedBlocks, attempts });
    }
}
