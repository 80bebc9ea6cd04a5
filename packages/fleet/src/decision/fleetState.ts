/**
 * The state of the fleet as a process knows it: the configuration in force, the weights that each model should run, and
 * the endpoints. Facts come from the store or from peers in any order; an older fact never replaces a newer one.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { DirectConfiguration, DirectEndpoint } from "../directConfiguration.js";
import { eraOf, revisionOf } from "../storePosition.js";
import { type VersionRolloutNews, VersionRollouts } from "./versionRollouts.js";

export enum FactKind {
    Configuration = "configuration",
    Weights = "weights",
    Endpoint = "endpoint",
    Listing = "listing",
    /** An order to move a service to another version of its software, with its phase. */
    VersionRollout = "versionRollout",
}

/** One fact. `revision` is the position in the store's history of the record that states it, see `storePosition.ts`. */
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
        /** Time since the version became the desired one; absent if unknown. */
        readonly age?: Milliseconds;
    }
    | {
        readonly kind: FactKind.Endpoint;
        readonly revision: number;
        readonly instance: string;
        /** Absent if the endpoint's registration was removed or describes no usable endpoint. */
        readonly endpoint: DirectEndpoint | undefined;
    }
    /** At this position, exactly these endpoints were registered. */
    | { readonly kind: FactKind.Listing; readonly revision: number; readonly instances: readonly string[]; }
    | VersionRolloutNews & { readonly kind: FactKind.VersionRollout; };

/** Version of the configuration and revisions of the store up to which a process has the facts. */
export interface FleetWatermark {
    readonly configuration: number;
    readonly weights: number;
    readonly endpoints: number;
    /** What is known of version rollouts, see {@link VersionRollouts.mark}; absent if none is known. */
    readonly rollouts?: string;
}

/** Weights that a model should run. */
export interface DesiredWeights {
    readonly model: string;
    readonly version: number;
    readonly revision: number;
    /** When they became the desired ones, on this process's clock; `-Infinity` if unknown. */
    readonly desiredSince: Milliseconds;
    /** Versions that were desired before, as far as known, oldest first. */
    readonly previous: readonly PreviousWeights[];
}

/** A version that was desired before the newest one. */
export interface PreviousWeights {
    readonly version: number;
    readonly desiredSince: Milliseconds;
}

/** Maximum number of previous versions that are kept for each model. */
const maxPreviousWeights = 16;

/** When the first version newer than `version` became the desired one; `undefined` if `version` is the newest. */
export function supersededAt(desired: DesiredWeights, version: number): Milliseconds | undefined {
    if (version >= desired.version) {
        return undefined;
    }
    return desired.previous.find((previous) => previous.version > version)?.desiredSince
        ?? desired.desiredSince;
}

/** Outcome of {@link FleetState.applyFacts}. */
export interface AppliedFacts {
    /** Those that are newer than what was known. */
    readonly newFacts: readonly FleetFact[];
    /** True if routers pass some of them on immediately. */
    readonly isUrgent: boolean;
}

/** An endpoint with the revision of its registration. */
export interface KnownEndpoint {
    readonly endpoint: DirectEndpoint;
    readonly revision: number;
    /** When the removal of its registration became known; the endpoint stays in use for the grace period. */
    readonly removedAt?: Milliseconds;
}

/**
 * True if `candidate` is the endpoint at an address that `other` also names. The later start is: the registration of an
 * earlier one remains until it expires. The times of the registrations decide only if both lack their start, since anyone
 * may write a registration again.
 */
export function supersedes(candidate: KnownEndpoint, other: KnownEndpoint): boolean {
    const start = candidate.endpoint.startedAt;
    const otherStart = other.endpoint.startedAt;
    if (start === undefined && otherStart === undefined) {
        return candidate.revision > other.revision;
    }
    if (start !== otherStart) {
        return (start ?? -Infinity) > (otherStart ?? -Infinity);
    }
    return candidate.endpoint.instance < other.endpoint.instance;
}

/** Time within which the endpoint of a removed registration may register again after the store was unreachable. */
export const registrationGraceMilliseconds: Milliseconds = 1_800;

/** Maximum number of removed endpoints that are remembered, so that an older fact does not restore them. */
const maxTombstones = 10_000;

/** Maximum number of registrations that are remembered of each endpoint. */
const maxPastRegistrations = 4;

/** A registration that this process has known. */
interface PastRegistration {
    readonly revision: number;
    readonly startedAt: number | undefined;
    readonly leaving: boolean;
}

/** The facts that a process has. */
export class FleetState {
    private configurationFact:
        | { readonly value: DirectConfiguration; readonly revision: number; }
        | undefined;
    private readonly weights = new Map<string, DesiredWeights>();
    private readonly known = new Map<string, KnownEndpoint>();
    /** Positions of the removals. */
    private readonly tombstones = new Map<string, number>();
    /** Of known and removed endpoints, the latest ones last. */
    private readonly pastRegistrations = new Map<string, readonly PastRegistration[]>();
    readonly versionRollouts = new VersionRollouts();
    private endpointsRevision = 0;
    private listing: FleetFact & { readonly kind: FactKind.Listing; } | undefined;

    get configuration(): DirectConfiguration | undefined {
        return this.configurationFact?.value;
    }

    desiredWeightsOf(model: string): DesiredWeights | undefined {
        return this.weights.get(model);
    }

    /** The desired weights of every model. */
    desiredWeights(): readonly DesiredWeights[] {
        return [...this.weights.values()];
    }

    /** Every endpoint that may be used, including removed ones within their grace period. */
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
            rollouts: this.versionRollouts.mark(),
        };
    }

    /**
     * Applies a fact; returns whether it is newer than what is known. `storeFailedAt` is when the store was last
     * unreachable for so long that registrations may have expired: an endpoint whose registration is removed soon after that
     * is kept for {@link registrationGraceMilliseconds}, so that it can register again.
     */
    applyFact(fact: FleetFact, now: Milliseconds, storeFailedAt = -Infinity): boolean {
        switch (fact.kind) {
            case FactKind.Configuration:
                return this.applyConfiguration(fact.configuration, fact.revision);
            case FactKind.Weights:
                return this.applyWeights(fact, now);
            case FactKind.Endpoint:
                return this.applyEndpoint(fact.instance, fact.endpoint, fact.revision, now, storeFailedAt);
            case FactKind.Listing:
                this.listing = fact.revision > (this.listing?.revision ?? -1) ? fact : this.listing;
                return false;
            case FactKind.VersionRollout:
                return this.versionRollouts.apply(fact, now);
        }
    }

    /** Applies facts, see {@link applyFact}, and the removals that follow from listings. */
    applyFacts(
        facts: readonly FleetFact[],
        now: Milliseconds,
        storeFailedAt = -Infinity,
    ): AppliedFacts {
        const newFacts: FleetFact[] = [];
        let isUrgent = false;
        for (const fact of this.withRemovals(facts)) {
            const wouldBeUrgent = this.isUrgent(fact);
            if (this.applyFact(fact, now, storeFailedAt)) {
                newFacts.push(fact);
                isUrgent ||= wouldBeUrgent;
            }
        }
        return { newFacts, isUrgent };
    }

    /**
     * True for a fact that routers pass on immediately, if it is new: any except the registration of an endpoint that stays
     * in use, or that is known to leave.
     */
    private isUrgent(fact: FleetFact): boolean {
        switch (fact.kind) {
            case FactKind.Configuration:
            case FactKind.Weights:
            case FactKind.VersionRollout:
                return true;
            case FactKind.Endpoint: {
                const leaves = fact.endpoint === undefined || fact.endpoint.leaving;
                return leaves && this.known.get(fact.instance)?.endpoint.leaving !== true;
            }
            case FactKind.Listing:
                return false;
        }
    }

    /** Adds the removals that follow from listings: of known endpoints that these do not contain. */
    private withRemovals(facts: readonly FleetFact[]): FleetFact[] {
        return facts.flatMap((fact) =>
            fact.kind === FactKind.Listing
                ? [fact, ...this.findRemovals(new Set(fact.instances), fact.revision)]
                : [fact]
        );
    }

    /**
     * Sets the age of new versions of weights in a batch to `changedWithin`, the longest time for which they can have been
     * the desired ones, if that is known, and that of new orders. Versions that the process knows keep their times.
     */
    dateNewWeights(facts: readonly FleetFact[], changedWithin: Milliseconds | undefined): FleetFact[] {
        return facts.map((fact) =>
            changedWithin !== undefined && fact.kind === FactKind.Weights
                && fact.version > (this.weights.get(fact.model)?.version ?? 0)
                ? { ...fact, age: changedWithin }
                : fact.kind === FactKind.VersionRollout
                ? { ...fact, ...this.versionRollouts.date(fact, changedWithin) }
                : fact
        );
    }

    /** Records that the facts about endpoints are complete up to a revision of the store. */
    recordEndpointsRevision(revision: number): void {
        this.endpointsRevision = Math.max(this.endpointsRevision, revision);
    }

    private findRemovals(listed: ReadonlySet<string>, revision: number): FleetFact[] {
        return [...this.known]
            .filter(([instance, known]) => !listed.has(instance) && known.removedAt === undefined)
            .map(([instance]) => ({ kind: FactKind.Endpoint, revision, instance, endpoint: undefined }));
    }

    /** Deletes removed endpoints whose grace period is over; returns their instances. */
    expire(now: Milliseconds): string[] {
        const expired = [...this.known]
            .filter(([, known]) =>
                known.removedAt !== undefined && now - known.removedAt >= registrationGraceMilliseconds
            )
            .map(([instance]) => instance);
        for (const instance of expired) {
            this.known.delete(instance);
        }
        return expired;
    }

    /** The configuration for a process that has `version`; empty if that is not older. */
    configurationSince(version: number): FleetFact[] {
        const fact = this.configurationFact;
        return fact === undefined || fact.value.version <= version
            ? []
            : [{ kind: FactKind.Configuration, revision: fact.revision, configuration: fact.value }];
    }

    /** Facts that a process at `mark` lacks, except the configuration, which it has to request. */
    factsSince(mark: FleetWatermark, now: Milliseconds): FleetFact[] {
        const facts: FleetFact[] = [];
        // A process that read a snapshot does not know the removals before it.
        if (this.listing !== undefined && this.listing.revision > mark.endpoints) {
            facts.push(this.listing);
        }
        for (const { model, version, revision, desiredSince } of this.weights.values()) {
            // A peer that follows a restored store may never have learned what the store has lost.
            if (revision > mark.weights || eraOf(revision) < eraOf(mark.weights)) {
                const age = Number.isFinite(desiredSince) ? now - desiredSince : undefined;
                facts.push({ kind: FactKind.Weights, revision, model, version, age });
            }
        }
        for (const [instance, { endpoint, revision, removedAt }] of this.known) {
            if (revision > mark.endpoints) {
                const current = removedAt === undefined ? endpoint : undefined;
                facts.push({ kind: FactKind.Endpoint, revision, instance, endpoint: current });
            }
        }
        for (const [instance, revision] of this.tombstones) {
            if (revision > mark.endpoints && !this.known.has(instance)) {
                facts.push({ kind: FactKind.Endpoint, revision, instance, endpoint: undefined });
            }
        }
        if (mark.rollouts !== this.versionRollouts.mark()) {
            facts.push(
                ...this.versionRollouts.news(now).map((news): FleetFact => ({
                    kind: FactKind.VersionRollout,
                    ...news,
                })),
            );
        }
        return facts;
    }

    /** A version that a restored store has lost may be given out again, for another configuration. */
    private applyConfiguration(value: DirectConfiguration, revision: number): boolean {
        const known = this.configurationFact;
        const isWrittenAgain = known !== undefined && value.version === known.value.version
            && eraOf(revision) > eraOf(known.revision)
            && !isEqual(value, known.value);
        if (value.version <= (known?.value.version ?? 0) && !isWrittenAgain) {
            return false;
        }
        this.configurationFact = { value, revision };
        return true;
    }

    private applyWeights(fact: FleetFact & { kind: FactKind.Weights; }, now: Milliseconds): boolean {
        const { model, version, revision, age } = fact;
        const before = this.weights.get(model);
        const desiredSince = age === undefined ? -Infinity : now - age;
        if (before !== undefined && version === before.version) {
            this.weights.set(model, {
                ...before,
                revision: Math.max(revision, before.revision),
                desiredSince: Math.max(desiredSince, before.desiredSince),
            });
            return false;
        }
        if (version <= (before?.version ?? 0)) {
            return false;
        }
        const previous = before === undefined ? [] : [
            ...before.previous.slice(-maxPreviousWeights),
            { version: before.version, desiredSince: before.desiredSince },
        ];
        this.weights.set(model, { model, version, revision, desiredSince, previous });
        return true;
    }

    /** Weights of unknown age are left out, so that a peer sends them again with their age. */
    private weightsRevision(): number {
        const revisions = [...this.weights.values()]
            .map((desired) => Number.isFinite(desired.desiredSince) ? desired.revision : 0);
        return revisions.length === 0 ? 0 : Math.max(...revisions);
    }

    private applyEndpoint(
        instance: string,
        endpoint: DirectEndpoint | undefined,
        revision: number,
        now: Milliseconds,
        storeFailedAt: Milliseconds,
    ): boolean {
        const before = this.known.get(instance);
        const newest = Math.max(before?.revision ?? 0, this.tombstones.get(instance) ?? 0);
        const past = this.pastRegistrations.get(instance) ?? [];
        if (revision <= newest) {
            return false;
        }
        if (endpoint !== undefined && eraOf(revision) > eraOf(newest)) {
            if (
                before !== undefined && before.removedAt === undefined && isEqual(endpoint, before.endpoint)
            ) {
                // Peers that know it as removed in this era need it.
                this.setKnown(instance, endpoint, revision);
                return false;
            }
            if (isOutdatedCopy(endpoint, revision, past)) {
                return false;
            }
        }
        this.endpointsRevision = Math.max(this.endpointsRevision, revision);
        if (endpoint !== undefined) {
            this.tombstones.delete(instance);
            this.setKnown(instance, endpoint, revision);
            return true;
        }
        this.addTombstone(instance, revision);
        const mayReturn = before !== undefined && !before.endpoint.leaving
            && now - storeFailedAt < registrationGraceMilliseconds;
        if (mayReturn) {
            this.known.set(instance, { endpoint: before.endpoint, revision, removedAt: now });
        }
        else {
            this.known.delete(instance);
        }
        return before !== undefined;
    }

    private setKnown(instance: string, endpoint: DirectEndpoint, revision: number): void {
        this.known.set(instance, { endpoint, revision });
        const { leaving, startedAt } = endpoint;
        const past = this.pastRegistrations.get(instance) ?? [];
        this.pastRegistrations.set(
            instance,
            [...past, { revision, startedAt, leaving }].slice(-maxPastRegistrations),
        );
    }

    private addTombstone(instance: string, revision: number): void {
        this.tombstones.set(instance, revision);
        if (this.tombstones.size > maxTombstones) {
            const oldest = this.tombstones.keys().next().value;
            if (oldest !== undefined) {
                this.tombstones.delete(oldest);
                this.pastRegistrations.delete(oldest);
            }
        }
    }
}

/** Compares values that were read in the same way, so that their fields have the same order. */
function isEqual(left: object, right: object): boolean {
    return JSON.stringify(left) === JSON.stringify(right);
}

/**
 * True for a registration in a restored store that is older than what is known of its endpoint: the copy has it as it was
 * before the endpoint left, started again or was removed. An endpoint that leaves serves again only after a new start.
 */
function isOutdatedCopy(
    endpoint: DirectEndpoint,
    revision: number,
    past: readonly PastRegistration[],
): boolean {
    return past.some((known) => {
        const isSameStart = known.startedAt === endpoint.startedAt;
        const isSameRecord = isSameStart && known.leaving === endpoint.leaving
            && revisionOf(known.revision) === revisionOf(revision);
        const isLaterStart = (known.startedAt ?? -Infinity) > (endpoint.startedAt ?? -Infinity);
        return isSameRecord || isLaterStart || (isSameStart && known.leaving && !endpoint.leaving);
    });
}
