/**
 * The routing policies that the experiment compares. Each router has its own instance of the policy.
 *
 * @module
 */
import { type Clock, rendezvousOrder, sha256Hex } from "@redwingpin/common";
import {
    type CandidateEndpoint,
    canServe,
    type EndpointState,
    EndpointTable,
    type PlacedRequest,
    Placement,
    PlacementOutcome,
} from "@redwingpin/placement";
import type { EndpointStatus } from "@redwingpin/protocol";
import type { SimulatedAgent } from "./simulatedAgent.js";
import { blockTokens, type Call } from "./workload.js";

export enum PolicyName {
    Redwingpin = "redwingpin",
    RoundRobin = "round robin",
    LeastLoaded = "least loaded",
    ConsistentHash = "consistent hash",
    Oracle = "all-knowing",
}

/** Selects an endpoint for each call, and learns from statuses, answers and outcomes. */
export interface RoutingPolicy {
    replaceCandidates(candidates: readonly CandidateEndpoint[]): void;
    observeStatus(status: EndpointStatus): void;
    /** Selects an instance for the call; `undefined` if none can serve it. */
    choose(call: Call, exclude: readonly string[]): string | undefined;
    onHead(call: Call, hitBlocks: number): void;
    onOutcome(call: Call, outcome: PlacementOutcome): void;
}

/** Options of {@link createPolicy}. */
export interface PolicyOptions {
    readonly clock: Clock;
    readonly dataCentre: string;
    readonly pool: string;
    /** Every agent by instance. Only the oracle policy reads their state. */
    readonly agents: ReadonlyMap<string, SimulatedAgent>;
}

/** Creates the policy of one router. */
export function createPolicy(name: PolicyName, options: PolicyOptions): RoutingPolicy {
    switch (name) {
        case PolicyName.Redwingpin:
            return new PlacementPolicy(options);
        case PolicyName.RoundRobin:
            return new RoundRobinPolicy(options);
        case PolicyName.LeastLoaded:
            return new LeastLoadedPolicy(options);
        case PolicyName.ConsistentHash:
            return new ConsistentHashPolicy(options);
        case PolicyName.Oracle:
            return new OraclePolicy(options);
    }
}

/** The product's own placement. */
class PlacementPolicy implements RoutingPolicy {
    private readonly placement: Placement;
    private readonly placedRequests = new Map<string, PlacedRequest>();

    constructor(private readonly options: PolicyOptions) {
        this.placement = new Placement({ clock: options.clock, dataCentre: options.dataCentre, blockTokens });
    }

    replaceCandidates(candidates: readonly CandidateEndpoint[]): void {
        this.placement.replaceCandidates(candidates);
    }

    observeStatus(status: EndpointStatus): void {
        this.placement.observeStatus(status);
    }

    choose(call: Call, exclude: readonly string[]): string | undefined {
        const placed = this.placement.choose({
            pool: this.options.pool,
            weights: call.weights,
            prefixBlocks: call.blocks,
            sharedBlocks: call.sharedBlocks,
            promptTokens: call.promptTokens,
        }, exclude);
        if (placed !== undefined) {
            this.placedRequests.set(call.id, placed);
        }
        return placed?.instance;
    }

    onHead(call: Call, hitBlocks: number): void {
        const placed = this.placedRequests.get(call.id);
        if (placed !== undefined) {
            this.placement.observeHead(placed, hitBlocks);
        }
    }

    onOutcome(call: Call, outcome: PlacementOutcome): void {
        const placed = this.placedRequests.get(call.id);
        if (placed !== undefined) {
            this.placement.observeOutcome(placed, outcome);
            this.placedRequests.delete(call.id);
        }
    }
}

/** Base of the policies that the product is compared with. They select among the endpoints that can serve a call. */
abstract class BaselinePolicy implements RoutingPolicy {
    private readonly table = new EndpointTable();

    constructor(protected readonly options: PolicyOptions) {}

    replaceCandidates(candidates: readonly CandidateEndpoint[]): void {
        this.table.replaceCandidates(candidates);
    }

    observeStatus(status: EndpointStatus): void {
        this.table.observeStatus(status, this.options.clock.now());
    }

    choose(call: Call, exclude: readonly string[]): string | undefined {
        const eligible = this.table.endpointsInPool(this.options.pool).filter((endpoint) =>
            canServe(endpoint, call.weights) && !exclude.includes(endpoint.candidate.instance)
        );
        return eligible.length === 0 ? undefined : this.selectFrom(eligible, call).candidate.instance;
    }

    onHead(_call: Call, _hitBlocks: number): void {}

    onOutcome(_call: Call, _outcome: PlacementOutcome): void {}

    protected abstract selectFrom(eligible: readonly EndpointState[], call: Call): EndpointState;
}

class RoundRobinPolicy extends BaselinePolicy {
    private nextIndex = Number.parseInt(sha256Hex(this.options.dataCentre).slice(0, 4), 16);

    protected override selectFrom(eligible: readonly EndpointState[]): EndpointState {
        return eligible[this.nextIndex++ % eligible.length]!;
    }
}

/** Selects the endpoint with the lowest load, by its reported load and this router's own unfinished calls. */
class LeastLoadedPolicy extends BaselinePolicy {
    private readonly unfinishedCalls = new Map<string, number>();
    private readonly instanceByCall = new Map<string, string>();

    override choose(call: Call, exclude: readonly string[]): string | undefined {
        const instance = super.choose(call, exclude);
        if (instance !== undefined) {
            this.instanceByCall.set(call.id, instance);
            this.unfinishedCalls.set(instance, (this.unfinishedCalls.get(instance) ?? 0) + 1);
        }
        return instance;
    }

    override onOutcome(call: Call): void {
        const instance = this.instanceByCall.get(call.id);
        if (instance !== undefined) {
            this.instanceByCall.delete(call.id);
            this.unfinishedCalls.set(instance, this.unfinishedCalls.get(instance)! - 1);
        }
    }

    protected override selectFrom(eligible: readonly EndpointState[]): EndpointState {
        return minBy(eligible, (endpoint) => this.loadOf(endpoint));
    }

    private loadOf(endpoint: EndpointState): number {
        const ownCalls = this.unfinishedCalls.get(endpoint.candidate.instance) ?? 0;
        const queuedTokens = endpoint.status?.queuedTokens ?? 0;
        return Math.max(endpoint.status?.running ?? 0, ownCalls) + ownCalls
            + queuedTokens / typicalRequestTokens;
    }
}

/** Tokens of a typical request, used to convert queued tokens into a number of requests. */
const typicalRequestTokens = 4_000;

class ConsistentHashPolicy extends BaselinePolicy {
    protected override selectFrom(eligible: readonly EndpointState[], call: Call): EndpointState {
        const key = call.blocks[Math.max(0, call.sharedBlocks - 1)] ?? call.id;
        return rendezvousOrder(key, eligible, (endpoint) => endpoint.candidate.instance)[0]!;
    }
}

/** Reads the exact state of every cache and queue, and selects the endpoint with the earliest expected first token. */
class OraclePolicy extends BaselinePolicy {
    protected override selectFrom(eligible: readonly EndpointState[], call: Call): EndpointState {
        const running = eligible.filter((endpoint) =>
            this.agentOf(endpoint).engine.incarnation !== undefined
        );
        return minBy(running.length > 0 ? running : eligible, (endpoint) => {
            const agent = this.agentOf(endpoint);
            return agent.exactPendingTokens() + agent.exactMissedTokens(call);
        });
    }

    private agentOf(endpoint: EndpointState): SimulatedAgent {
        return this.options.agents.get(endpoint.candidate.instance)!;
    }
}

function minBy<T>(items: readonly T[], costOf: (item: T) => number): T {
    return items
        .map((item) => ({ item, cost: costOf(item) }))
        .reduce((best, other) => other.cost < best.cost ? other : best)
        .item;
}
