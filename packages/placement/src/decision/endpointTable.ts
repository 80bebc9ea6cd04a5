/**
 * What a router knows of each endpoint: the candidate list, the last status, its own unanswered work and how
 * fast answers begin. State grows with endpoints only.
 *
 * @module
 */
import { type Milliseconds, sha256Hex } from "@redwingpin/common";
import type { EndpointStatus, WeightsReference } from "@redwingpin/protocol";
import { seedOf } from "./rendezvous.js";

/** An endpoint that requests may be placed on, from the VM list. */
export interface CandidateEndpoint {
    readonly instance: string;
    readonly pool: string;
    readonly dataCentre: string;
    /** True once the VM list marks the endpoint as leaving. */
    readonly leaving: boolean;
}

/** A router's knowledge of one endpoint. */
export interface EndpointKnowledge {
    candidate: CandidateEndpoint;
    readonly seed: number;
    status: EndpointStatus | undefined;
    /** When the status came. */
    statusAt: Milliseconds;
    /** When the endpoint was last seen to have restarted, and so to be empty. */
    emptyAt: Milliseconds;
    /** Names in the last status's summary; absent where it had none. */
    held: ReadonlySet<number> | undefined;
    /** Tokens of work that this router placed and that have not begun to answer. */
    unanswered: number;
    /** Part of `unanswered` that was placed after the last status. */
    placedSinceStatus: number;
    /** Time to first token for each thousand tokens of expected work, smoothed; 0 before the first answer. */
    slowness: number;
    /** Answers that `slowness` is drawn from. */
    answers: number;
    /** Failures since the last success. */
    consecutiveFailures: number;
    ejectedUntil: Milliseconds;
    /** Ejections since the last period of good service; each lasts twice as long as the one before. */
    ejections: number;
}

/** Knowledge by instance. */
export class EndpointTable {
    private readonly byInstance = new Map<string, EndpointKnowledge>();
    private readonly byPool = new Map<string, EndpointKnowledge[]>();
    private readonly byPoolAndDataCentre = new Map<string, EndpointKnowledge[]>();

    /** Replaces the candidate list; what was known of endpoints not in it is forgotten. */
    replaceCandidates(candidates: readonly CandidateEndpoint[]): void {
        const kept = new Set(candidates.map((candidate) => candidate.instance));
        for (const instance of this.byInstance.keys()) {
            if (!kept.has(instance)) {
                this.byInstance.delete(instance);
            }
        }
        for (const candidate of candidates) {
            const known = this.byInstance.get(candidate.instance);
            if (known === undefined) {
                this.byInstance.set(candidate.instance, unknownEndpoint(candidate));
            }
            else {
                known.candidate = candidate;
            }
        }
        this.groupByPool();
    }

    get(instance: string): EndpointKnowledge | undefined {
        return this.byInstance.get(instance);
    }

    ofPool(pool: string): readonly EndpointKnowledge[] {
        return this.byPool.get(pool) ?? [];
    }

    /** Endpoints of a pool that stand in a data centre. */
    near(pool: string, dataCentre: string): readonly EndpointKnowledge[] {
        return this.byPoolAndDataCentre.get(nearKey(pool, dataCentre)) ?? [];
    }

    /** Records a status. A new incarnation clears what was learnt from the old one. */
    observeStatus(status: EndpointStatus, now: Milliseconds): void {
        const known = this.byInstance.get(status.instance);
        if (known === undefined) {
            return;
        }
        if (known.status !== undefined && known.status.incarnation !== status.incarnation) {
            known.slowness = 0;
            known.answers = 0;
            known.consecutiveFailures = 0;
            known.ejectedUntil = 0;
            known.ejections = 0;
            known.emptyAt = now;
        }
        known.status = status;
        known.statusAt = now;
        known.held = status.heldPrefixes && new Set(status.heldPrefixes);
        known.placedSinceStatus = 0;
    }

    private groupByPool(): void {
        this.byPool.clear();
        this.byPoolAndDataCentre.clear();
        for (const endpoint of this.byInstance.values()) {
            const { pool, dataCentre } = endpoint.candidate;
            addToGroup(this.byPool, pool, endpoint);
            addToGroup(this.byPoolAndDataCentre, nearKey(pool, dataCentre), endpoint);
        }
    }

    /** Endpoints in the candidate list. */
    get size(): number {
        return this.byInstance.size;
    }
}

function nearKey(pool: string, dataCentre: string): string {
    return `${dataCentre}/${pool}`;
}

function addToGroup(
    groups: Map<string, EndpointKnowledge[]>,
    key: string,
    endpoint: EndpointKnowledge,
): void {
    const group = groups.get(key) ?? [];
    group.push(endpoint);
    groups.set(key, group);
}

function unknownEndpoint(candidate: CandidateEndpoint): EndpointKnowledge {
    return {
        candidate,
        seed: seedOf(sha256Hex(candidate.instance)),
        status: undefined,
        statusAt: 0,
        emptyAt: Number.NEGATIVE_INFINITY,
        held: undefined,
        unanswered: 0,
        placedSinceStatus: 0,
        slowness: 0,
        answers: 0,
        consecutiveFailures: 0,
        ejectedUntil: 0,
        ejections: 0,
    };
}

/** Tokens of work believed to stand before a new request. */
export function pendingTokens(endpoint: EndpointKnowledge): number {
    const reported = endpoint.status?.queuedTokens ?? 0;
    return Math.max(reported + endpoint.placedSinceStatus, endpoint.unanswered);
}

/** False where the endpoint is known to be unable to serve the weights: down, draining, leaving or other weights. */
export function canServe(endpoint: EndpointKnowledge, weights: WeightsReference | undefined): boolean {
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

/** True where two references name the same model, version and adapter. */
export function sameWeights(left: WeightsReference, right: WeightsReference): boolean {
    return left.model === right.model && left.version === right.version && left.adapter === right.adapter;
}
