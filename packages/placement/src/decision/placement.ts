/**
 * Placement: which endpoint a request goes to. The cost of an endpoint is the work that stands before the
 * request plus the prompt tokens that its cache is expected to miss; the lowest cost wins.
 *
 * @module
 */
import type { Clock, Milliseconds } from "@redwingpin/common";
import type { EndpointStatus, WeightsReference } from "@redwingpin/protocol";
import { ejectIfBad, isEjected } from "./ejection.js";
import {
    type CandidateEndpoint,
    canServe,
    type EndpointKnowledge,
    EndpointTable,
    pendingTokens,
} from "./endpointTable.js";
import { nestedOwners, type PrefixLevel, type PrefixOwner } from "./prefixOwners.js";
import { PrefixTable } from "./prefixTable.js";
import { seedOf } from "./rendezvous.js";

/** Tokens that a placement in another data centre must save to be worth the way. */
export const otherDataCentreTokens = 50;

/** A missed token costs more than a waiting one: it also evicts what others share. */
export const missedTokenWeight = 3;

/** The same while an endpoint fills its cache after a restart, when a miss evicts nothing. */
export const refillingMissWeight = 1;

/** Part of the missed tokens' cost charged to a known holder that is not the prefix's home. */
export const strayHolderWeight = 0.1;

/** Heat from which all routers are taken to have sent a level to its home. */
export const sharedLevelHeat = 3;

/** A level ends where the heat of the next block falls below this part of its own. */
export const levelEndRatio = 0.75;

/** Usable endpoints in the own data centre from which on no other one is considered. */
export const enoughNearEndpoints = 32;

/** Homes whose cost is worked out for one request, and as many other holders at most. */
export const maximumCandidates = 16;

/** Endpoints with little work before them that are considered beside a prompt's homes and holders. */
export const spareCandidates = 4;

/** Age after which a holder that was not confirmed counts for nothing. */
export const holderLifetime: Milliseconds = 20_000;

/** Time after a restart in which an endpoint fills its cache: nothing is evicted, and no home's contents presumed. */
export const refillTime: Milliseconds = 30_000;

/** Part of the newest answer in an endpoint's smoothed slowness. */
const slownessSmoothing = 0.2;

/** Options of {@link Placement}. */
export interface PlacementOptions {
    readonly clock: Clock;
    /** Data centre of this router. */
    readonly dataCentre: string;
    /** Tokens in one block of the engines. */
    readonly blockTokens: number;
    /**
     * Prefixes remembered.
     * @default defaultMaximumPrefixes
     */
    readonly maximumPrefixes?: number;
}

/** What placement needs to know of a request. */
export interface PlacementRequest {
    readonly pool: string;
    /** Weights that must serve the request; absent for plain services. */
    readonly weights?: WeightsReference;
    /** Names of the prompt's full blocks, outermost first; empty for plain services. */
    readonly prefixBlocks: readonly string[];
    /** Blocks at the head that other prompts are likely to share. */
    readonly sharedBlocks: number;
    /** Tokens of the whole prompt, or what one call of a service is charged. */
    readonly promptTokens: number;
}

/** A request placed on an endpoint; report its head and its outcome with it. */
export interface Placed {
    readonly instance: string;
    readonly request: PlacementRequest;
    /** Blocks that the endpoint was expected to hold. */
    readonly expectedHitBlocks: number;
    /** Tokens that the endpoint was expected to compute before the first token. */
    readonly expectedTokens: number;
    readonly placedAt: Milliseconds;
    /** Incarnation of the endpoint when it was chosen, where known. */
    readonly incarnation: string | undefined;
}

/** How an attempt ended. */
export enum PlacementOutcome {
    /** The whole answer came. */
    Completed = "completed",
    /** The agent declined; nothing ran. */
    Declined = "declined",
    /** The endpoint or the connection to it failed. */
    Failed = "failed",
    /** The caller left. */
    Cancelled = "cancelled",
}

interface Attempt {
    answered: boolean;
}

/** Chooses endpoints for the requests of one router. */
export class Placement {
    private readonly endpoints = new EndpointTable();
    private readonly prefixes: PrefixTable;
    private readonly attempts = new Map<Placed, Attempt>();

    constructor(private readonly options: PlacementOptions) {
        this.prefixes = new PrefixTable(options.maximumPrefixes);
    }

    /** Replaces the candidates; what was known of endpoints not in the list is forgotten. */
    retain(candidates: readonly CandidateEndpoint[]): void {
        this.endpoints.replaceCandidates(candidates);
    }

    /** Records what an agent says of its endpoint. */
    observeStatus(status: EndpointStatus): void {
        this.endpoints.observeStatus(status, this.options.clock.now());
    }

    /** Chooses an endpoint and counts the request as placed there; `undefined` where none can serve it. */
    choose(request: PlacementRequest, exclude: readonly string[] = []): Placed | undefined {
        const now = this.options.clock.now();
        const usable = this.usableEndpoints(request, exclude, now);
        if (usable.length === 0) {
            return undefined;
        }
        const levels = this.levelsOf(request, now);
        const homeDepth = levels.at(-1)?.depth ?? 0;
        const homes = this.candidatesFor(levels, usable);
        let best:
            | { readonly endpoint: EndpointKnowledge; readonly cost: number; readonly hit: number; }
            | undefined;
        for (const { member, depth } of homes) {
            const hit = this.expectedHitBlocks(request, member, depth, now);
            const cost = this.costOf(request, member, hit, depth === homeDepth, now);
            if (best === undefined || cost < best.cost) {
                best = { endpoint: member, cost, hit };
            }
        }
        return best && this.place(request, best.endpoint, best.hit, now);
    }

    /** Records the head of an answer: the blocks that the endpoint held, and that it now holds all of them. */
    observeHead(placed: Placed, hitBlocks: number): void {
        const attempt = this.attempts.get(placed);
        const endpoint = this.endpoints.get(placed.instance);
        if (attempt === undefined || attempt.answered) {
            return;
        }
        attempt.answered = true;
        if (endpoint === undefined) {
            return;
        }
        this.settle(endpoint, placed);
        const now = this.options.clock.now();
        this.measureSlowness(endpoint, placed, hitBlocks, now);
        const incarnation = endpoint.status?.incarnation;
        if (incarnation !== undefined && incarnation === (placed.incarnation ?? incarnation)) {
            const holder = { instance: placed.instance, incarnation, confirmed: now };
            this.prefixes.addHolder(placed.request.prefixBlocks, holder);
        }
        ejectIfBad(endpoint, this.endpoints.ofPool(endpoint.candidate.pool), now);
    }

    /** Records the end of an attempt. Call it once for each placed request. */
    observeOutcome(placed: Placed, outcome: PlacementOutcome): void {
        const attempt = this.attempts.get(placed);
        const endpoint = this.endpoints.get(placed.instance);
        this.attempts.delete(placed);
        if (attempt === undefined || endpoint === undefined) {
            return;
        }
        if (!attempt.answered) {
            this.settle(endpoint, placed);
        }
        if (outcome === PlacementOutcome.Completed) {
            endpoint.consecutiveFailures = 0;
        }
        if (outcome === PlacementOutcome.Failed) {
            endpoint.consecutiveFailures += 1;
            ejectIfBad(endpoint, this.endpoints.ofPool(endpoint.candidate.pool), this.options.clock.now());
        }
    }

    /** Endpoints that can serve the request; those of the own data centre alone where they are many. */
    private usableEndpoints(
        request: PlacementRequest,
        exclude: readonly string[],
        now: Milliseconds,
    ): readonly EndpointKnowledge[] {
        const near = this.usableOf(
            this.endpoints.near(request.pool, this.options.dataCentre),
            request,
            exclude,
            now,
        );
        return near.length >= enoughNearEndpoints
            ? near
            : this.usableOf(this.endpoints.ofPool(request.pool), request, exclude, now);
    }

    private usableOf(
        endpoints: readonly EndpointKnowledge[],
        request: PlacementRequest,
        exclude: readonly string[],
        now: Milliseconds,
    ): readonly EndpointKnowledge[] {
        const able = endpoints.filter((endpoint) =>
            canServe(endpoint, request.weights) && !exclude.includes(endpoint.candidate.instance)
        );
        const reported = able.filter((endpoint) => endpoint.status !== undefined);
        const known = reported.length > 0 ? reported : able;
        const kept = known.filter((endpoint) => !isEjected(endpoint, now));
        return kept.length > 0 ? kept : known;
    }

    /** Levels that other prompts are taken to share, outermost first; their ends are where the heat falls. */
    private levelsOf(request: PlacementRequest, now: Milliseconds): PrefixLevel[] {
        const total = this.prefixes.heatOf(trafficKey(request), now);
        const depth = this.homeDepth(request, now);
        const blocks = request.prefixBlocks.slice(0, depth);
        const heats = blocks.map((block) => this.prefixes.heatOf(block, now));
        return blocks.flatMap((name, index) => {
            const inner = heats[index + 1];
            const ends = inner === undefined
                || (heats[index]! >= sharedLevelHeat && inner < levelEndRatio * heats[index]!);
            return ends ? [{ depth: index + 1, name, share: shareOf(heats[index]!, total) }] : [];
        });
    }

    /**
     * Endpoints whose cost is worked out: all of a small pool; of a large one the first homes, those whose summary
     * holds the innermost level, and those with the least work before them.
     */
    private candidatesFor(
        levels: readonly PrefixLevel[],
        usable: readonly EndpointKnowledge[],
    ): PrefixOwner<EndpointKnowledge>[] {
        const ordered = nestedOwners(levels, usable, (endpoint) => endpoint.seed);
        if (ordered.length <= maximumCandidates) {
            return ordered;
        }
        const homes = ordered.slice(0, maximumCandidates);
        const others = ordered.slice(maximumCandidates);
        const innermost = levels.at(-1);
        const holders = innermost === undefined
            ? []
            : others.filter(({ member }) => member.held?.has(seedOf(innermost.name))).slice(
                0,
                maximumCandidates,
            );
        return [...homes, ...holders, ...leastPending(others, spareCandidates)];
    }

    /** Depth of the innermost level that is shared: deeper than the prompt's form says where heat proves it. */
    private homeDepth(request: PlacementRequest, now: Milliseconds): number {
        const blocks = request.prefixBlocks;
        for (let depth = blocks.length; depth > request.sharedBlocks; depth--) {
            if (this.prefixes.heatOf(blocks[depth - 1]!, now) >= sharedLevelHeat) {
                return depth;
            }
        }
        return Math.min(request.sharedBlocks, blocks.length);
    }

    /** Blocks that the endpoint is expected to hold: from its summary, from own experience, or as a home. */
    private expectedHitBlocks(
        request: PlacementRequest,
        endpoint: EndpointKnowledge,
        homeDepth: number,
        now: Milliseconds,
    ): number {
        const isPresumed = endpoint.held === undefined && now - endpoint.emptyAt >= refillTime;
        const presumed = isPresumed ? homeDepth : 0;
        for (let depth = request.prefixBlocks.length; depth > presumed; depth--) {
            const name = request.prefixBlocks[depth - 1]!;
            if (endpoint.held?.has(seedOf(name)) || this.isRecentHolder(name, endpoint, now)) {
                return depth;
            }
        }
        return presumed;
    }

    private isRecentHolder(name: string, endpoint: EndpointKnowledge, now: Milliseconds): boolean {
        const holder = this.prefixes.holdersOf(name)
            .find((candidate) => candidate.instance === endpoint.candidate.instance);
        return holder !== undefined && holder.incarnation === endpoint.status?.incarnation
            && now - holder.confirmed < holderLifetime;
    }

    private missedTokens(request: PlacementRequest, hitBlocks: number): number {
        return Math.max(0, request.promptTokens - hitBlocks * this.options.blockTokens);
    }

    private costOf(
        request: PlacementRequest,
        endpoint: EndpointKnowledge,
        hit: number,
        isHome: boolean,
        now: Milliseconds,
    ): number {
        const weight = now - endpoint.emptyAt < refillTime ? refillingMissWeight : missedTokenWeight;
        const missed = weight * this.missedTokens(request, hit);
        const stray = isHome ? 0 : strayHolderWeight * hit * this.options.blockTokens;
        const away = endpoint.candidate.dataCentre === this.options.dataCentre ? 0 : otherDataCentreTokens;
        return pendingTokens(endpoint) + missed + stray + away;
    }

    private place(
        request: PlacementRequest,
        endpoint: EndpointKnowledge,
        hit: number,
        now: Milliseconds,
    ): Placed {
        const placed: Placed = {
            instance: endpoint.candidate.instance,
            request,
            expectedHitBlocks: hit,
            expectedTokens: this.missedTokens(request, hit),
            placedAt: now,
            incarnation: endpoint.status?.incarnation,
        };
        endpoint.unanswered += placed.expectedTokens;
        endpoint.placedSinceStatus += placed.expectedTokens;
        this.prefixes.heatUp([trafficKey(request), ...request.prefixBlocks], now);
        this.attempts.set(placed, { answered: false });
        return placed;
    }

    private settle(endpoint: EndpointKnowledge, placed: Placed): void {
        endpoint.unanswered = Math.max(0, endpoint.unanswered - placed.expectedTokens);
    }

    private measureSlowness(
        endpoint: EndpointKnowledge,
        placed: Placed,
        hitBlocks: number,
        now: Milliseconds,
    ): void {
        const thousands = Math.max(1, this.missedTokens(placed.request, hitBlocks) / 1_000);
        const sample = (now - placed.placedAt) / thousands;
        endpoint.slowness = endpoint.answers === 0
            ? sample
            : endpoint.slowness + slownessSmoothing * (sample - endpoint.slowness);
        endpoint.answers += 1;
    }
}

/** Name under which all traffic for the same weights is counted. */
function trafficKey(request: PlacementRequest): string {
    const { model = "", version = "", adapter = "" } = request.weights ?? {};
    return [request.pool, model, version, adapter].join("/");
}

function shareOf(heat: number, total: number): number {
    return total === 0 ? 0 : Math.min(1, heat / total);
}

/** The `count` members with the least work before them. */
function leastPending(
    others: readonly PrefixOwner<EndpointKnowledge>[],
    count: number,
): PrefixOwner<EndpointKnowledge>[] {
    return others
        .map((home) => ({ home, pending: pendingTokens(home.member) }))
        .sort((left, right) => left.pending - right.pending)
        .slice(0, count)
        .map(({ home }) => home);
}
