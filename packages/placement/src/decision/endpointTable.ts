/**
 * State that a router keeps for each endpoint: its entry in the VM list, its last status, the router's own
 * unanswered work and how fast answers begin. Its size grows with the number of endpoints only.
 *
 * @module
 */
import { type Milliseconds, sha256Hex } from "@redwingpin/common";
import type { EndpointStatus, WeightsReference } from "@redwingpin/protocol";
import { seedOf } from "./rendezvous.js";

/** A status arrives late: it is assumed not to include this share of the work that was placed before it arrived. */
const uncountedWorkShare = 0.8;

/** An endpoint that requests may be placed on, from the VM list. */
export interface CandidateEndpoint {
    readonly instance: string;
    readonly pool: string;
    readonly dataCentre: string;
    /** True if the VM list marks the endpoint as leaving. */
    readonly leaving: boolean;
}

/** State that a router keeps for one endpoint. */
export interface EndpointState {
    candidate: CandidateEndpoint;
    readonly seed: number;
    status: EndpointStatus | undefined;
    /** Time at which the last status was received. */
    statusAt: Milliseconds;
    /** Time at which a restart of the endpoint, which empties its cache, was last noticed. */
    restartedAt: Milliseconds;
    /** Seeds of the prefix names in the last status; absent if the status had no cache summary. */
    heldPrefixes: ReadonlySet<number> | undefined;
    /** Expected tokens of requests that this router placed and whose answers have not begun. */
    unansweredTokens: number;
    /** Expected tokens of work that the last status is assumed not to include. */
    uncountedTokens: number;
    /** Smoothed milliseconds to the first token for each thousand uncached prompt tokens; 0 before the first answer. */
    slowness: number;
    /** Number of answers that `slowness` is measured from. */
    answerCount: number;
    consecutiveFailures: number;
    ejectedUntil: Milliseconds;
    /** Ejections of this incarnation; each lasts twice as long as the previous one. */
    ejections: number;
}

/** Endpoint states by instance, pool and data centre. */
export class EndpointTable {
    private readonly byInstance = new Map<string, EndpointState>();
    private readonly byPool = new Map<string, EndpointState[]>();
    private readonly byPoolAndDataCentre = new Map<string, EndpointState[]>();

    /** Replaces the candidate list and removes the state of endpoints that are not in it. */
    replaceCandidates(candidates: readonly CandidateEndpoint[]): void {
        const listedInstances = new Set(candidates.map((candidate) => candidate.instance));
        for (const instance of this.byInstance.keys()) {
            if (!listedInstances.has(instance)) {
                this.byInstance.delete(instance);
            }
        }
        for (const candidate of candidates) {
            const existing = this.byInstance.get(candidate.instance);
            if (existing === undefined) {
                this.byInstance.set(candidate.instance, newEndpoint(candidate));
            }
            else {
                existing.candidate = candidate;
            }
        }
        this.groupByPool();
    }

    get(instance: string): EndpointState | undefined {
        return this.byInstance.get(instance);
    }

    endpointsInPool(pool: string): readonly EndpointState[] {
        return this.byPool.get(pool) ?? [];
    }

    /** Endpoints of a pool in one data centre. */
    endpointsInDataCentre(pool: string, dataCentre: string): readonly EndpointState[] {
        return this.byPoolAndDataCentre.get(poolInDataCentreKey(pool, dataCentre)) ?? [];
    }

    /** Records a status. A new incarnation resets what was measured from the previous one. */
    observeStatus(status: EndpointStatus, now: Milliseconds): void {
        const endpoint = this.byInstance.get(status.instance);
        if (endpoint === undefined) {
            return;
        }
        if (endpoint.status !== undefined && endpoint.status.incarnation !== status.incarnation) {
            endpoint.slowness = 0;
            endpoint.answerCount = 0;
            endpoint.consecutiveFailures = 0;
            endpoint.ejectedUntil = 0;
            endpoint.ejections = 0;
            endpoint.restartedAt = now;
        }
        endpoint.status = status;
        endpoint.statusAt = now;
        endpoint.heldPrefixes = status.heldPrefixes && new Set(status.heldPrefixes);
        endpoint.uncountedTokens *= uncountedWorkShare;
    }

    private groupByPool(): void {
        this.byPool.clear();
        this.byPoolAndDataCentre.clear();
        for (const endpoint of this.byInstance.values()) {
            const { pool, dataCentre } = endpoint.candidate;
            addToGroup(this.byPool, pool, endpoint);
            addToGroup(this.byPoolAndDataCentre, poolInDataCentreKey(pool, dataCentre), endpoint);
        }
    }

    /** Number of endpoints in the candidate list. */
    get size(): number {
        return this.byInstance.size;
    }
}

function poolInDataCentreKey(pool: string, dataCentre: string): string {
    return `${dataCentre}/${pool}`;
}

function addToGroup(
    groups: Map<string, EndpointState[]>,
    key: string,
    endpoint: EndpointState,
): void {
    const group = groups.get(key) ?? [];
    group.push(endpoint);
    groups.set(key, group);
}

function newEndpoint(candidate: CandidateEndpoint): EndpointState {
    return {
        candidate,
        seed: seedOf(sha256Hex(candidate.instance)),
        status: undefined,
        statusAt: 0,
        restartedAt: Number.NEGATIVE_INFINITY,
        heldPrefixes: undefined,
        unansweredTokens: 0,
        uncountedTokens: 0,
        slowness: 0,
        answerCount: 0,
        consecutiveFailures: 0,
        ejectedUntil: 0,
        ejections: 0,
    };
}

/** Estimated tokens of work that the endpoint has to do before a new request. */
export function pendingTokens(endpoint: EndpointState): number {
    const reported = endpoint.status?.queuedTokens ?? 0;
    return Math.max(reported + endpoint.uncountedTokens, endpoint.unansweredTokens);
}

/** False if the endpoint is known to be unable to serve the weights: it is down, draining or leaving, or serves others. */
export function canServe(endpoint: EndpointState, weights: WeightsReference | undefined): boolean {
    const { candidate, status } = endpoint;
    if (candidate.leaving) {
        return false;
    }
    if (status === undefined) {
        return true;
    }
    if (status.draining || status.incarnation === undefined) {
        return false;
    }
    return weights === undefined || status.weights.some((served) => sameWeights(served, weights));
}

/** True if two references name the same model, version and adapter. */
export function sameWeights(left: WeightsReference, right: WeightsReference): boolean {
    return left.model === right.model && left.version === right.version && left.adapter === right.adapter;
}
