import {
    type DirectAccount,
    type DirectConfiguration,
    type DirectEndpoint,
    FactKind,
    type FleetFact,
} from "../index.js";

/** A configuration without routes. */
export function configurationFixture(version: number): DirectConfiguration {
    return {
        version,
        routes: [],
        services: [],
        accounts: [],
        limits: { headerBytes: 16_384, bodyBytes: 1_000_000, headerTimeout: 3_000, idleTimeout: 15_000 },
    };
}

/** An account without limits. */
export function accountFixture(name: string, keyDigests: readonly string[]): DirectAccount {
    return {
        name,
        keyDigests,
        tokensPerSecond: 0,
        burstTokens: 0,
        tokensPerPlainRequest: 1,
        countsRequests: false,
        isolated: false,
    };
}

/** An endpoint that serves version 1 of one model. */
export function endpointFixture(instance: string, more: Partial<DirectEndpoint> = {}): DirectEndpoint {
    return {
        instance,
        service: "drafting",
        host: "127.0.0.1",
        port: 9_000,
        dataCentre: "hobart",
        slots: 64,
        leaving: false,
        weights: [{ model: "drafting", version: 1 }],
        ...more,
    };
}

/** A fact about an endpoint; without `endpoint`, its registration was removed. */
export function endpointFact(instance: string, revision: number, endpoint?: DirectEndpoint): FleetFact {
    return { kind: FactKind.Endpoint, instance, revision, endpoint };
}

/** A fact about the desired weights of that model. */
export function weightsFact(version: number, revision: number, age?: number): FleetFact {
    return { kind: FactKind.Weights, model: "drafting", version, revision, age };
}
