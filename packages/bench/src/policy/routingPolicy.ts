/**
 * The policies that the experiment compares, behind one interface. Each instance serves one router.
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
import type { FakeAgent } from "./fakeAgent.js";
import { blockTokens, type Call } from "./workload.js";

/** Names of the compared policies. */
export enum PolicyName {
    Redwingpin = "redwingpin",
    RoundRobin = "round robin",
    LeastLoaded = "least loaded",
    ConsistentHash = "consistent hash",
    AllKnowing = "all-knowing",
}

/** Where a call goes, and what is learnt from how it went. */
export interface RoutingPolicy {
    retain(candidates: readonly CandidateEndpoint[]): void;
    observeStatus(status: EndpointStatus): void;
    /** Instance for the call, or `undefined` where none can serve it. */
    choose(call: Call, exclude: readonly string[]): string | undefined;
    onHead(call: Call, hitBlocks: number): void;
    onOutcome(call: Call, outcome: PlacementOutcome): void;
}

/** Options of {@link createPolicy}. */
export interface PolicyOptions {
    readonly clock: Clock;
    readonly dataCentre: string;
    readonly pool: string;
    /** Every agent by instance; only the all-knowing policy looks into them. */
    readonly agents: ReadonlyMap<string, FakeAgent>;
}

/** Makes a policy for one router. */
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
        case PolicyName.AllKnowing:
            return new AllKnowingPolicy(options);
    }
}

/** The product's own placement. */
class PlacementPolicy implements RoutingPolicy {
    private readonly placement: Placement;
    private readonly placed = new Map<string, PlacedRequest>();

    constructor(private readonly options: PolicyOptions) {
        this.placement = new Placement({ clock: options.clock, dataCentre: options.dataCentre, blockTokens });
    }

    retain(candidates: readonly CandidateEndpoint[]): void {
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
            this.placed.set(call.id, placed);
        }
        return placed?.instance;
    }

    onHead(call: Call, hitBlocks: number): void {
        const placed = this.placed.get(call.id);
        if (placed !== undefined) {
            this.placement.observeHead(placed, hitBlocks);
        }
    }

    onOutcome(call: Call, outcome: PlacementOutcome): void {
        const placed = this.placed.get(call.id);
        if (placed !== undefined) {
            this.placement.observeOutcome(placed, outcome);
            this.placed.delete(call.id);
        }
    }
}

/** What all baselines share: they know who can serve a call, as the product does, and nothing of caches. */
abstract class BaselinePolicy implements RoutingPolicy {
    private readonly table = new EndpointTable();

    constructor(protected readonly options: PolicyOptions) {}

    retain(candidates: readonly CandidateEndpoint[]): void {
        this.table.replaceCandidates(candidates);
    }

    observeStatus(status: EndpointStatus): void {
        this.table.observeStatus(status, this.options.clock.now());
    }

    choose(call: Call, exclude: readonly string[]): string | undefined {
        const able = this.table.ofPool(this.options.pool).filter((endpoint) =>
            canServe(endpoint, call.weights) && !exclude.includes(endpoint.candidate.instance)
        );
        return able.length === 0 ? undefined : this.pickFrom(able, call).candidate.instance;
    }

    onHead(_call: Call, _hitBlocks: number): void {}

    onOutcome(_call: Call, _outcome: PlacementOutcome): void {}

    protected abstract pickFrom(able: readonly EndpointState[], call: Call): EndpointState;
}

class RoundRobinPolicy extends BaselinePolicy {
    private turn = Number.parseInt(sha256Hex(this.options.dataCentre).slice(0, 4), 16);

    protected override pickFrom(able: readonly EndpointState[]): EndpointState {
        return able[this.turn++ % able.length]!;
    }
}

/** Fewest requests known to run or wait: the reported ones, and the router's own that have not ended. */
class LeastLoadedPolicy extends BaselinePolicy {
    private readonly own = new Map<string, number>();
    private readonly placed = new Map<string, string>();

    override choose(call: Call, exclude: readonly string[]): string | undefined {
        const instance = super.choose(call, exclude);
        if (instance !== undefined) {
            this.placed.set(call.id, instance);
            this.own.set(instance, (this.own.get(instance) ?? 0) + 1);
        }
        return instance;
    }

    override onOutcome(call: Call): void {
        const instance = this.placed.get(call.id);
        if (instance !== undefined) {
            this.placed.delete(call.id);
            this.own.set(instance, this.own.get(instance)! - 1);
        }
    }

    protected override pickFrom(able: readonly EndpointState[]): EndpointState {
        return leastBy(able, (endpoint) => this.loadOf(endpoint));
    }

    private loadOf(endpoint: EndpointState): number {
        const own = this.own.get(endpoint.candidate.instance) ?? 0;
        const queuedTokens = endpoint.status?.queuedTokens ?? 0;
        return Math.max(endpoint.status?.running ?? 0, own) + own + queuedTokens / typicalRequestTokens;
    }
}

/** Tokens of work of a typical request, to add waiting tokens to counts of requests. */
const typicalRequestTokens = 4_000;

class ConsistentHashPolicy extends BaselinePolicy {
    protected override pickFrom(able: readonly EndpointState[], call: Call): EndpointState {
        const key = call.blocks[Math.max(0, call.sharedBlocks - 1)] ?? call.id;
        return rendezvousOrder(key, able, (endpoint) => endpoint.candidate.instance)[0]!;
    }
}

/** Sees every cache and queue as they are at this instant, and picks the earliest first token. */
class AllKnowingPolicy extends BaselinePolicy {
    protected override pickFrom(able: readonly EndpointState[], call: Call): EndpointState {
        const up = able.filter((endpoint) => this.agentOf(endpoint).engine.incarnation !== undefined);
        return leastBy(up.length > 0 ? up : able, (endpoint) => {
            const agent = this.agentOf(endpoint);
            return agent.exactPendingTokens() + agent.exactMissedTokens(call);
        });
    }

    private agentOf(endpoint: EndpointState): FakeAgent {
        return this.options.agents.get(endpoint.candidate.instance)!;
    }
}

function leastBy<T>(items: readonly T[], costOf: (item: T) => number): T {
    return items
        .map((item) => ({ item, cost: costOf(item) }))
        .reduce((best, other) => other.cost < best.cost ? other : best)
        .item;
}
