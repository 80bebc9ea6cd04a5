/**
 * What a process believes of the fleet: the configuration in force, the weights that each model should run, and the
 * endpoints. Facts come from the store or from peers, in any order; none ever goes back to an older one.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { DirectConfiguration, DirectEndpoint } from "../directConfiguration.js";

/** Kinds of facts. */
export enum FactKind {
    Configuration = "configuration",
    Weights = "weights",
    Endpoint = "endpoint",
}

/** One fact. `revision` is the store's revision of the record that states it. */
export type FleetFact =
    | {
        readonly kind: FactKind.Configuration;
        readonly revision: number;
        readonly configuration: DirectConfiguration;
    }
    | {
        readonly kind: FactKind.Weights;
        readonly revision: number;
        readonly model: string;
        readonly version: number;
        /** Time since the version was named; absent where it is not known. */
        readonly age?: Milliseconds;
    }
    | {
        readonly kind: FactKind.Endpoint;
        readonly revision: number;
        readonly instance: string;
        /** Absent where the endpoint's registration is gone or names no endpoint that can be used. */
        readonly endpoint: DirectEndpoint | undefined;
    };

/** How far a process's knowledge reaches. */
export interface FleetWatermark {
    readonly configuration: number;
    readonly weights: number;
    readonly endpoints: number;
}

/** Weights that a model should run. */
export interface DesiredWeights {
    readonly model: string;
    readonly version: number;
    readonly revision: number;
    /** When they were named, on this process's clock; `-Infinity` where that is not known. */
    readonly desiredSince: Milliseconds;
    /** Versions named before, as far as known, oldest first. */
    readonly previous: readonly PreviousWeights[];
}

/** A version that was named before the newest one. */
export interface PreviousWeights {
    readonly version: number;
    readonly desiredSince: Milliseconds;
}

/** Earlier versions that are remembered for each model. */
const maxEarlierWeights = 16;

/** When the first version newer than `version` was named; `undefined` where `version` is the newest. */
export function supersededAt(named: DesiredWeights, version: number): Milliseconds | undefined {
    if (version >= named.version) {
        return undefined;
    }
    return named.previous.find((earlier) => earlier.version > version)?.desiredSince ?? named.desiredSince;
}

/** An endpoint with the revision of its registration. */
export interface KnownEndpoint {
    readonly endpoint: DirectEndpoint;
    readonly revision: number;
    /** When its registration was seen to be gone; it may serve a little longer. */
    readonly removedAt?: Milliseconds;
}

/** Time that a removed registration may take to come back after the store was out of reach. */
export const registrationGraceMilliseconds: Milliseconds = 1_800;

/** Removed endpoints that are remembered, so that an older fact does not bring them back. */
const maxTombstones = 10_000;

/** The facts that a process holds. */
export class FleetState {
    private configurationFact:
        | { readonly value: DirectConfiguration; readonly revision: number; }
        | undefined;
    private readonly weights = new Map<string, DesiredWeights>();
    private readonly known = new Map<string, KnownEndpoint>();
    private readonly tombstones = new Map<string, number>();
    private endpointsRevision = 0;

    /** The configuration in force. */
    get configuration(): DirectConfiguration | undefined {
        return this.configurationFact?.value;
    }

    /** Weights that the model should run. */
    desiredWeightsOf(model: string): DesiredWeights | undefined {
        return this.weights.get(model);
    }

    /** Every model's named weights. */
    desiredWeights(): readonly DesiredWeights[] {
        return [...this.weights.values()];
    }

    /** Every endpoint that may be used, removed ones within their time included. */
    endpoints(): IterableIterator<KnownEndpoint> {
        return this.known.values();
    }

    endpoint(instance: string): KnownEndpoint | undefined {
        return this.known.get(instance);
    }

    watermark(): FleetWatermark {
        return {
            configuration: this.configurationFact?.value.version ?? 0,
            weights: this.weightsRevision(),
            endpoints: this.endpointsRevision,
        };
    }

    /**
     * Takes in a fact; returns whether it is news. `storeTroubledAt` is when the store last was out of reach: a
     * registration that lapses about then is kept until it had the time to come back.
     */
    learn(fact: FleetFact, now: Milliseconds, storeTroubledAt = -Infinity): boolean {
        switch (fact.kind) {
            case FactKind.Configuration:
                return this.learnConfiguration(fact.configuration, fact.revision);
            case FactKind.Weights:
                return this.learnWeights(fact, now);
            case FactKind.Endpoint:
                return this.learnEndpoint(fact.instance, fact.endpoint, fact.revision, now, storeTroubledAt);
        }
    }

    /**
     * Dates the versions of weights in a reading by when they were named at the earliest, `changedWithin` ago. Versions
     * that the process knows keep their dates.
     */
    dateNewWeights(facts: readonly FleetFact[], changedWithin: Milliseconds): FleetFact[] {
        return facts.map((fact) =>
            fact.kind === FactKind.Weights && fact.version > (this.weights.get(fact.model)?.version ?? 0)
                ? { ...fact, age: changedWithin }
                : fact
        );
    }

    /** Marks the endpoints' facts as complete up to a revision of the store. */
    endpointsCompleteTo(revision: number): void {
        this.endpointsRevision = Math.max(this.endpointsRevision, revision);
    }

    /** Instances with a registration that was not removed and that a complete reading no longer shows. */
    missingFrom(listed: ReadonlySet<string>, revision: number): FleetFact[] {
        return [...this.known]
            .filter(([instance, known]) => !listed.has(instance) && known.removedAt === undefined)
            .map(([instance]) => ({ kind: FactKind.Endpoint, revision, instance, endpoint: undefined }));
    }

    /** Forgets removed endpoints whose time to come back is over; returns them. */
    expire(now: Milliseconds): string[] {
        const gone = [...this.known]
            .filter(([, known]) =>
                known.removedAt !== undefined && now - known.removedAt >= registrationGraceMilliseconds
            )
            .map(([instance]) => instance);
        for (const instance of gone) {
            this.known.delete(instance);
        }
        return gone;
    }

    /** The configuration, for a process that has `version`; empty where that is not older. */
    configurationSince(version: number): FleetFact[] {
        const fact = this.configurationFact;
        return fact === undefined || fact.value.version <= version
            ? []
            : [{ kind: FactKind.Configuration, revision: fact.revision, configuration: fact.value }];
    }

    /** Facts that a process at `mark` lacks, but for the configuration, which it has to ask for. */
    factsSince(mark: FleetWatermark, now: Milliseconds): FleetFact[] {
        const news: FleetFact[] = [];
        for (const { model, version, revision, desiredSince: namedAt } of this.weights.values()) {
            if (revision > mark.weights) {
                const age = Number.isFinite(namedAt) ? now - namedAt : undefined;
                news.push({ kind: FactKind.Weights, revision, model, version, age });
            }
        }
        for (const [instance, { endpoint, revision, removedAt }] of this.known) {
            if (revision > mark.endpoints) {
                const shown = removedAt === undefined ? endpoint : undefined;
                news.push({ kind: FactKind.Endpoint, revision, instance, endpoint: shown });
            }
        }
        for (const [instance, revision] of this.tombstones) {
            if (revision > mark.endpoints && !this.known.has(instance)) {
                news.push({ kind: FactKind.Endpoint, revision, instance, endpoint: undefined });
            }
        }
        return news;
    }

    private learnConfiguration(value: DirectConfiguration, revision: number): boolean {
        if (value.version <= (this.configurationFact?.value.version ?? 0)) {
            return false;
        }
        this.configurationFact = { value, revision };
        return true;
    }

    private learnWeights(fact: FleetFact & { kind: FactKind.Weights; }, now: Milliseconds): boolean {
        const { model, version, revision, age } = fact;
        const before = this.weights.get(model);
        const namedAt = age === undefined ? -Infinity : now - age;
        if (before !== undefined && version === before.version && namedAt > before.desiredSince) {
            this.weights.set(model, { ...before, desiredSince: namedAt });
            return false;
        }
        if (version <= (before?.version ?? 0)) {
            return false;
        }
        const earlier = before === undefined ? [] : [
            ...before.previous.slice(-maxEarlierWeights),
            { version: before.version, desiredSince: before.desiredSince },
        ];
        this.weights.set(model, { model, version, revision, desiredSince: namedAt, previous: earlier });
        return true;
    }

    /** Versions whose age is not known count as not heard of, so that a peer tells of them again. */
    private weightsRevision(): number {
        const revisions = [...this.weights.values()]
            .map((named) => Number.isFinite(named.desiredSince) ? named.revision : 0);
        return revisions.length === 0 ? 0 : Math.max(...revisions);
    }

    private learnEndpoint(
        instance: string,
        endpoint: DirectEndpoint | undefined,
        revision: number,
        now: Milliseconds,
        storeTroubledAt: Milliseconds,
    ): boolean {
        const before = this.known.get(instance);
        const newest = Math.max(before?.revision ?? 0, this.tombstones.get(instance) ?? 0);
        if (revision <= newest) {
            return false;
        }
        this.endpointsRevision = Math.max(this.endpointsRevision, revision);
        if (endpoint !== undefined) {
            this.tombstones.delete(instance);
            this.known.set(instance, { endpoint, revision });
            return true;
        }
        this.bury(instance, revision);
        const lapsed = before !== undefined && !before.endpoint.leaving
            && now - storeTroubledAt < registrationGraceMilliseconds;
        if (lapsed) {
            this.known.set(instance, { endpoint: before.endpoint, revision, removedAt: now });
        }
        else {
            this.known.delete(instance);
        }
        return before !== undefined;
    }

    private bury(instance: string, revision: number): void {
        this.tombstones.set(instance, revision);
        if (this.tombstones.size > maxTombstones) {
            const oldest = this.tombstones.keys().next().value;
            if (oldest !== undefined) {
                this.tombstones.delete(oldest);
            }
        }
    }
}
