/**
 * Selects the endpoint for each request: the one with the lowest cost. The cost of an endpoint is its pending work
 * plus the weighted prompt tokens that its cache is expected to miss.
 *
 * @module
 */
import type { Clock, Milliseconds } from "@redwingpin/common";
import type { EndpointStatus, WeightsReference } from "@redwingpin/protocol";
import { ejectIfUnhealthy, isEjected } from "./ejection.js";
import {
    type CandidateEndpoint,
    canServe,
    type EndpointState,
    EndpointTable,
    pendingTokens,
} from "./endpointTable.js";
import { nestedOwners, type PrefixLevel, type PrefixOwner } from "./prefixOwners.js";
import { PrefixTable } from "./prefixTable.js";
import { seedOf } from "./rendezvous.js";

/** Additional cost of an endpoint in another data centre, in pending tokens. */
export const otherDataCentreTokens = 50;

/** Cost of a missed token, relative to a pending one: computing it also evicts cached blocks of other prompts. */
export const missedTokenWeight = 3;

/** Cost of a missed token while an endpoint refills its cache after a restart, when a miss evicts nothing. */
export const refillingMissWeight = 1;

/** Cost of a cached token, relative to a pending one, at an endpoint that doesn't own the prompt's innermost level. */
export const nonOwnerHitWeight = 0.1;

/** Popularity from which a level counts as shared, so that all routers are assumed to send it to its owners. */
export const sharedLevelPopularity = 3;

/** A level ends at a block if the popularity of the next block is below this share of the block's own. */
export const levelEndRatio = 0.75;

/** If the local data centre has at least this many usable endpoints, remote endpoints are not considered. */
export const sufficientLocalEndpoints = 32;

/** Maximum number of owners whose cost is computed for one request; the same limit applies to other holders. */
export const maximumCandidates = 16;

/** Number of endpoints with the least pending work that are considered in addition to owners and holders. */
export const leastLoadedCandidates = 4;

/** Time after which a holder that was not confirmed again is ignored. */
export const holderLifetime: Milliseconds = 20_000;

/** Time after a restart in which an endpoint refills its cache: it evicts nothing, and may not hold blocks that it owns. */
export const refillTime: Milliseconds = 30_000;

/** Weight of the newest sample in an endpoint's smoothed slowness. */
const slownessSmoothing = 0.2;

/** Options of {@link Placement}. */
export interface PlacementOptions {
    readonly clock: Clock;
    /** The router's data centre. */
    readonly dataCentre: string;
    /** Tokens in one cached block of the engines. */
    readonly blockTokens: number;
    /**
     * Maximum number of prefixes in the {@link PrefixTable}.
     * @default defaultMaximumPrefixes
     */
    readonly maximumPrefixes?: number;
}

/** Properties of a request that placement depends on. */
export interface PlacementRequest {
    readonly pool: string;
    /** Weights that must serve the request; absent for services. */
    readonly weights?: WeightsReference;
    /** Names of the prompt's full blocks, outermost first; empty for services. */
    readonly prefixBlocks: readonly string[];
    /** Number of leading blocks that other prompts are likely to share. */
    readonly sharedBlocks: number;
    /** Tokens of the whole prompt, or the charge for one call of a service. */
    readonly promptTokens: number;
}

/** A request placed on an endpoint; passed back to report the head of its answer and its outcome. */
export interface PlacedRequest {
    readonly instance: string;
    readonly request: PlacementRequest;
    /** Number of leading blocks that the endpoint was expected to hold. */
    readonly expectedHitBlocks: number;
    /** Tokens that the endpoint was expected to compute before the first token. */
    readonly expectedTokens: number;
    readonly placedAt: Milliseconds;
    /** Incarnation of the endpoint when it was chosen, if known. */
    readonly incarnation: string | undefined;
}

/** How an attempt ended. */
export enum PlacementOutcome {
    /** The whole answer was received. */
    Completed = "completed",
    /** The agent declined the request; it did not run. */
    Declined = "declined",
    /** The endpoint or the connection to it failed. */
    Failed = "failed",
    /** The caller disconnected. */
    Cancelled = "cancelled",
}

interface Attempt {
    isAnswered: boolean;
}

/** Selects endpoints for the requests of one router. */
export class Placement {
    private readonly endpoints = new EndpointTable();
    private readonly prefixes: PrefixTable;
    private readonly attempts = new Map<PlacedRequest, Attempt>();

    constructor(private readonly options: PlacementOptions) {
        this.prefixes = new PrefixTable(options.maximumPrefixes);
    }

    /** Replaces the candidates and removes the state of endpoints that are not in the list. */
    replaceCandidates(candidates: readonly CandidateEndpoint[]): void {
        this.endpoints.replaceCandidates(candidates);
    }

    /** Records the status that an agent sent of its endpoint. */
    observeStatus(status: EndpointStatus): void {
        this.endpoints.observeStatus(status, this.options.clock.now());
    }

    /** Selects an endpoint and counts the request as placed there; `undefined` if none can serve it. */
    choose(request: PlacementRequest, exclude: readonly string[] = []): PlacedRequest | undefined {
        const now = this.options.clock.now();
        const usable = this.usableEndpoints(request, exclude, now);
        if (usable.length === 0) {
            return undefined;
        }
        const levels = this.levelsOf(request, now);
        const innermostDepth = levels.at(-1)?.depth ?? 0;
        const candidates = this.selectCandidates(levels, usable);
        let best:
            | { readonly endpoint: EndpointState; readonly cost: number; readonly hit: number; }
            | undefined;
        for (const { member, depth } of candidates) {
            const hit = this.expectedHitBlocks(request, member, depth, now);
            const cost = this.costOf(request, member, hit, depth === innermostDepth, now);
            if (best === undefined || cost < best.cost) {
                best = { endpoint: member, cost, hit };
            }
        }
        return best && this.recordPlacement(request, best.endpoint, best.hit, now);
    }

    /** Records the head of an answer: the endpoint had `hitBlocks` leading blocks cached, and now holds all blocks. */
    observeHead(placed: PlacedRequest, hitBlocks: number): void {
        const attempt = this.attempts.get(placed);
        const endpoint = this.endpoints.get(placed.instance);
        if (attempt === undefined || attempt.isAnswered) {
            return;
        }
        attempt.isAnswered = true;
        if (endpoint === undefined) {
            return;
        }
        this.subtractUnanswered(endpoint, placed);
        const now = this.options.clock.now();
        this.measureSlowness(endpoint, placed, hitBlocks, now);
        const incarnation = endpoint.status?.incarnation;
        if (incarnation !== undefined && incarnation === (placed.incarnation ?? incarnation)) {
            const holder = { instance: placed.instance, incarnation, confirmedAt: now };
            this.prefixes.addHolder(placed.request.prefixBlocks, holder);
        }
        ejectIfUnhealthy(endpoint, this.endpoints.endpointsInPool(endpoint.candidate.pool), now);
    }

    /** Records the end of an attempt. Call it once for each placed request. */
    observeOutcome(placed: PlacedRequest, outcome: PlacementOutcome): void {
        const attempt = this.attempts.get(placed);
        const endpoint = this.endpoints.get(placed.instance);
        this.attempts.delete(placed);
        if (attempt === undefined || endpoint === undefined) {
            return;
        }
        if (!attempt.isAnswered) {
            this.subtractUnanswered(endpoint, placed);
        }
        if (outcome === PlacementOutcome.Completed) {
            endpoint.consecutiveFailures = 0;
        }
        if (outcome === PlacementOutcome.Failed) {
            endpoint.consecutiveFailures += 1;
            ejectIfUnhealthy(
                endpoint,
                this.endpoints.endpointsInPool(endpoint.candidate.pool),
                this.options.clock.now(),
            );
        }
    }

    /** Endpoints that can serve the request; only those of the local data centre if there are sufficiently many. */
    private usableEndpoints(
        request: PlacementRequest,
        exclude: readonly string[],
        now: Milliseconds,
    ): readonly EndpointState[] {
        const local = this.filterUsable(
            this.endpoints.endpointsInDataCentre(request.pool, this.options.dataCentre),
            request,
            exclude,
            now,
        );
        return local.length >= sufficientLocalEndpoints
            ? local
            : this.filterUsable(this.endpoints.endpointsInPool(request.pool), request, exclude, now);
    }

    private filterUsable(
        endpoints: readonly EndpointState[],
        request: PlacementRequest,
        exclude: readonly string[],
        now: Milliseconds,
    ): readonly EndpointState[] {
        const capable = endpoints.filter((endpoint) =>
            canServe(endpoint, request.weights) && !exclude.includes(endpoint.candidate.instance)
        );
        const withStatus = capable.filter((endpoint) => endpoint.status !== undefined);
        const preferred = withStatus.length > 0 ? withStatus : capable;
        const notEjected = preferred.filter((endpoint) => !isEjected(endpoint, now));
        return notEjected.length > 0 ? notEjected : preferred;
    }

    /** Levels that other prompts are assumed to share, outermost first. A level ends at a drop in popularity. */
    private levelsOf(request: PlacementRequest, now: Milliseconds): PrefixLevel[] {
        const total = this.prefixes.popularityOf(trafficKey(request), now);
        const depth = this.sharedDepth(request, now);
        const blocks = request.prefixBlocks.slice(0, depth);
        const popularities = blocks.map((block) => this.prefixes.popularityOf(block, now));
        return blocks.flatMap((name, index) => {
            const inner = popularities[index + 1];
            const isLevelEnd = inner === undefined
                || (popularities[index]! >= sharedLevelPopularity
                    && inner < levelEndRatio * popularities[index]!);
            return isLevelEnd
                ? [{ depth: index + 1, name, share: shareOf(popularities[index]!, total) }]
                : [];
        });
    }

    /**
     * Endpoints whose cost is computed: all endpoints of a small pool; of a large one the first owners, the endpoints
     * whose last status lists the innermost level, and the endpoints with the least pending work.
     */
    private selectCandidates(
        levels: readonly PrefixLevel[],
        usable: readonly EndpointState[],
    ): PrefixOwner<EndpointState>[] {
        const ordered = nestedOwners(levels, usable, (endpoint) => endpoint.seed);
        if (ordered.length <= maximumCandidates) {
            return ordered;
        }
        const owners = ordered.slice(0, maximumCandidates);
        const others = ordered.slice(maximumCandidates);
        const innermost = levels.at(-1);
        const holders = innermost === undefined
            ? []
            : others.filter(({ member }) => member.heldPrefixes?.has(seedOf(innermost.name))).slice(
                0,
                maximumCandidates,
            );
        return [...owners, ...holders, ...leastPending(others, leastLoadedCandidates)];
    }

    /** Blocks to the end of the innermost shared level: `sharedBlocks`, or more if deeper blocks are popular. */
    private sharedDepth(request: PlacementRequest, now: Milliseconds): number {
        const blocks = request.prefixBlocks;
        for (let depth = blocks.length; depth > request.sharedBlocks; depth--) {
            if (this.prefixes.popularityOf(blocks[depth - 1]!, now) >= sharedLevelPopularity) {
                return depth;
            }
        }
        return Math.min(request.sharedBlocks, blocks.length);
    }

    /** Leading blocks that the endpoint is expected to hold: by its last status, by recent answers, or as an owner. */
    private expectedHitBlocks(
        request: PlacementRequest,
        endpoint: EndpointState,
        ownedDepth: number,
        now: Milliseconds,
    ): number {
        const presumesOwnedBlocks = endpoint.heldPrefixes === undefined
            && now - endpoint.restartedAt >= refillTime;
        const presumedDepth = presumesOwnedBlocks ? ownedDepth : 0;
        for (let depth = request.prefixBlocks.length; depth > presumedDepth; depth--) {
            const name = request.prefixBlocks[depth - 1]!;
            if (endpoint.heldPrefixes?.has(seedOf(name)) || this.isRecentHolder(name, endpoint, now)) {
                return depth;
            }
        }
        return presumedDepth;
    }

    private isRecentHolder(name: string, endpoint: EndpointState, now: Milliseconds): boolean {
        const holder = this.prefixes.holdersOf(name)
            .find((candidate) => candidate.instance === endpoint.candidate.instance);
        return holder !== undefined && holder.incarnation === endpoint.status?.incarnation
            && now - holder.confirmedAt < holderLifetime;
    }

    private missedTokens(request: PlacementRequest, hitBlocks: number): number {
        return Math.max(0, request.promptTokens - hitBlocks * this.options.blockTokens);
    }

    private costOf(
        request: PlacementRequest,
        endpoint: EndpointState,
        hit: number,
        isOwner: boolean,
        now: Milliseconds,
    ): number {
        const weight = now - endpoint.restartedAt < refillTime ? refillingMissWeight : missedTokenWeight;
        const missCost = weight * this.missedTokens(request, hit);
        const nonOwnerCost = isOwner ? 0 : nonOwnerHitWeight * hit * this.options.blockTokens;
        const remoteCost = endpoint.candidate.dataCentre === this.options.dataCentre
            ? 0
            : otherDataCentreTokens;
        return pendingTokens(endpoint) + missCost + nonOwnerCost + remoteCost;
    }

    private recordPlacement(
        request: PlacementRequest,
        endpoint: EndpointState,
        hit: number,
        now: Milliseconds,
    ): PlacedRequest {
        const placed: PlacedRequest = {
            instance: endpoint.candidate.instance,
            request,
            expectedHitBlocks: hit,
            expectedTokens: this.missedTokens(request, hit),
            placedAt: now,
            incarnation: endpoint.status?.incarnation,
        };
        endpoint.unansweredTokens += placed.expectedTokens;
        endpoint.uncountedTokens += placed.expectedTokens;
        this.prefixes.recordRequest([trafficKey(request), ...request.prefixBlocks], now);
        this.attempts.set(placed, { isAnswered: false });
        return placed;
    }

    private subtractUnanswered(endpoint: EndpointState, placed: PlacedRequest): void {
        endpoint.unansweredTokens = Math.max(0, endpoint.unansweredTokens - placed.expectedTokens);
    }

    private measureSlowness(
        endpoint: EndpointState,
        placed: PlacedRequest,
        hitBlocks: number,
        now: Milliseconds,
    ): void {
        const thousands = Math.max(1, this.missedTokens(placed.request, hitBlocks) / 1_000);
        const sample = (now - placed.placedAt) / thousands;
        endpoint.slowness = endpoint.answerCount === 0
            ? sample
            : endpoint.slowness + slownessSmoothing * (sample - endpoint.slowness);
        endpoint.answerCount += 1;
    }
}

/** Key under which the popularity of all traffic for the same weights is counted. */
function trafficKey(request: PlacementRequest): string {
    const { model = "", version = "", adapter = "" } = request.weights ?? {};
    return [request.pool, model, version, adapter].join("/");
}

function shareOf(popularity: number, total: number): number {
    return total === 0 ? 0 : Math.min(1, popularity / total);
}

/** The `count` members with the least pending work. */
function leastPending(
    others: readonly PrefixOwner<EndpointState>[],
    count: number,
): PrefixOwner<EndpointState>[] {
    return others
        .map((candidate) => ({ candidate, pending: pendingTokens(candidate.member) }))
        .sort((left, right) => left.pending - right.pending)
        .slice(0, count)
        .map(({ candidate }) => candidate);
}
