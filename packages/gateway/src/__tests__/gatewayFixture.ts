import { type BlockBody, BlockPool } from "@redwingpin/common";
import type { DesiredWeights, DirectAccount, DirectEndpoint, ReplicaStatus } from "@redwingpin/fleet";
import {
    type CacheStore,
    type ChoiceInput,
    defaultEndpointModel,
    EndpointState,
    ServiceSpeed,
} from "../index.js";

/** A body in blocks of a pool of its own. */
export function bodyFixture(contents = ""): BlockBody {
    const body = new BlockPool(10_000_000).open(0)!;
    body.append(Buffer.from(contents));
    return body;
}

/** An account with a rate and burst of the given tokens. */
export function accountFixture(more: Partial<DirectAccount> = {}): DirectAccount {
    return {
        name: "makers",
        keyDigests: [],
        tokensPerSecond: 1_000,
        burstTokens: 5_000,
        tokensPerPlainRequest: 200,
        countsRequests: false,
        isolated: false,
        ...more,
    };
}

/** An endpoint that serves version 1 of the model "drafting". */
export function endpointStateFixture(instance: string, more: Partial<DirectEndpoint> = {}): EndpointState {
    return new EndpointState({
        instance,
        service: "drafting",
        host: "127.0.0.1",
        port: 9_000,
        dataCentre: "hobart",
        slots: 64,
        leaving: false,
        weights: [{ model: "drafting", version: 1 }],
        ...more,
    });
}

/** A cache store whose link has 22 Gbit/s. */
export function cacheStoreFixture(address: string, tokens: number): CacheStore {
    return { address, tokens, dataCentre: "hobart", megabitsPerSecond: 22_000 };
}

let statuses = 0;

/** Status from a replica's agent; each one is later than the previous one. */
export function statusFixture(version: number, more: Partial<ReplicaStatus> = {}): ReplicaStatus {
    statuses += 1;
    return {
        start: "agent",
        number: statuses,
        address: "127.0.0.1:9000",
        weights: [{ model: "drafting", version }],
        loading: false,
        running: 0,
        queued: 0,
        cacheUsed: 0,
        cacheTotal: 90_000,
        ...more,
    };
}

/** Desired weights of the model "drafting". */
export function desiredWeightsFixture(version: number, desiredSince: number): DesiredWeights {
    return { model: "drafting", version, revision: version, desiredSince, previous: [] };
}

/** Input to choose an endpoint for a prompt of 1,000 tokens, none of which are cached. */
export function choiceFixture(
    endpointStates: readonly EndpointState[],
    more: Partial<ChoiceInput> = {},
): ChoiceInput {
    return {
        endpointStates,
        now: 10_000,
        dataCentre: "hobart",
        speed: new ServiceSpeed(),
        targetLatency: 800,
        elapsed: 0,
        tried: new Set(),
        isRepeatable: true,
        model: { ...defaultEndpointModel, speed: true },
        prompt: {
            model: "drafting",
            desiredWeights: undefined,
            promptTokens: 1_000,
            outputTokens: 10,
            reusable: () => ({ tokens: 0, likelyCached: 0, repeated: 0, fetchTime: 0 }),
        },
        bounds: { reducedWorthAfter: 1_500, worthReduction: 0.2, forbiddenAfter: 9_500 },
        ...more,
    };
}
