/**
 * What a process knows of the orders to move a service to another version of its software, and of their phases. Facts come
 * from the store and from peers in any order; a phase is only replaced by a later one of the same order, and an order only
 * by a newer one. This is unrelated to versions of weights.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import { eraOf, revisionOf } from "../storePosition.js";

/** Phase of a version rollout; they follow each other in this order, and phases may be left out. */
export enum VersionPhase {
    /** The order is known, but not whether it was decided: the new version gets no requests. */
    Unknown = "unknown",
    /** The new version gets a small share. */
    Canary = "canary",
    /** The new version gets half of the requests. */
    Half = "half",
    /** The new version gets all requests as far as the exposure limit allows. */
    Full = "full",
    /** The new version gets all requests while the old replicas finish what they run. */
    Committed = "committed",
    /** The new version was rejected. */
    RolledBack = "rolledBack",
    /** The store has accepted that the rollout is complete. */
    Completed = "completed",
}

const phaseOrder = Object.values(VersionPhase);

/** Position of a phase in the order of phases. */
export function phaseRank(phase: VersionPhase): number {
    return phaseOrder.indexOf(phase);
}

/** True for a phase after which nothing is decided any more. */
export function isDecided(phase: VersionPhase): boolean {
    return phase === VersionPhase.RolledBack || phase === VersionPhase.Completed;
}

/** An order with the phase that it has reached. */
export interface VersionRolloutContent {
    /** Position of the order in the store. */
    readonly revision: number;
    readonly service: string;
    /** Version that the service is to run. */
    readonly to: string;
    /** Time limit, from the order on. */
    readonly duration: Milliseconds;
    readonly phase: VersionPhase;
    /** Process that decided on the phase, and its reasons. */
    readonly decidedBy?: string;
    readonly reason?: string;
    /** True once the store has accepted a decision. */
    readonly isStored: boolean;
}

/** {@link VersionRolloutContent} with times as ages, so that it can be sent to other processes. */
export interface VersionRolloutNews extends VersionRolloutContent {
    /** Time since the order; absent if unknown. */
    readonly age?: Milliseconds;
    /** Time since the decision on the phase; absent if unknown. */
    readonly phaseAge?: Milliseconds;
}

/** {@link VersionRolloutContent} with times on this process's clock. */
export interface VersionRollout extends VersionRolloutContent {
    /** Absent if unknown. */
    readonly startedAt?: Milliseconds;
    /** When this process entered the phase. */
    readonly phaseAt: Milliseconds;
}

/** Maximum number of services whose orders are kept. */
const maxServices = 64;

/** Maximum number of replaced orders that are remembered of a service, to recognize them in a restored store. */
const maxPastOrders = 8;

/** An order that the store reports after an outage counts as at most this old, unless a peer knows it for longer. */
const maxAssumedAge: Milliseconds = 1_500;

/** The orders of all services. */
export class VersionRollouts {
    private readonly rollouts = new Map<string, VersionRollout>();
    private readonly pastOrders = new Map<string, readonly VersionRollout[]>();

    of(service: string): VersionRollout | undefined {
        return this.rollouts.get(service);
    }

    all(): readonly VersionRollout[] {
        return [...this.rollouts.values()];
    }

    /** Names what is known; equal texts of two processes mean that neither lacks anything. */
    mark(): string | undefined {
        return this.rollouts.size === 0 ? undefined : this.all()
            .map(({ service, revision, phase, isStored }) =>
                [service, revision, phaseRank(phase), isStored ? 1 : 0].join(":")
            )
            .sort()
            .join(" ");
    }

    /** Everything that is known, for a process with another {@link mark}. */
    news(now: Milliseconds): VersionRolloutNews[] {
        return this.all().map(({ startedAt, phaseAt, ...content }) => ({
            ...content,
            age: startedAt === undefined ? undefined : now - startedAt,
            phaseAge: now - phaseAt,
        }));
    }

    /**
     * Applies an order or a phase; returns whether it is new. An order of known age that was not known counts as running,
     * one of unknown age as {@link VersionPhase.Unknown} until its state is read.
     */
    apply(news: VersionRolloutNews, now: Milliseconds): boolean {
        if (phaseRank(news.phase) < 0) {
            return false;
        }
        const known = this.rollouts.get(news.service);
        if (known !== undefined && isSameOrder(known, news)) {
            return this.merge(known, news, now);
        }
        const isPast = this.pastOrders.get(news.service)?.some((past) => isSameOrder(past, news)) ?? false;
        if (
            isPast || news.revision < (known?.revision ?? 0)
            || (known === undefined && this.rollouts.size >= maxServices)
        ) {
            return false;
        }
        if (known !== undefined) {
            const past = this.pastOrders.get(news.service) ?? [];
            this.pastOrders.set(news.service, [...past, known].slice(-maxPastOrders));
        }
        this.rollouts.set(news.service, toRollout(news, now));
        return true;
    }

    /** Sets the age of new orders in a batch from the store to the longest time for which they can have been there. */
    date(news: VersionRolloutNews, changedWithin: Milliseconds | undefined): VersionRolloutNews {
        const known = this.rollouts.get(news.service);
        if (changedWithin === undefined || (known !== undefined && isSameOrder(known, news))) {
            return news;
        }
        return { ...news, age: Math.min(changedWithin, maxAssumedAge), phase: VersionPhase.Canary };
    }

    private merge(known: VersionRollout, news: VersionRolloutNews, now: Milliseconds): boolean {
        const other = toRollout(news, now);
        const isLater = phaseRank(other.phase) > phaseRank(known.phase);
        const isLaterEra = eraOf(news.revision) > eraOf(known.revision);
        const startedAt = known.startedAt === undefined || other.startedAt === undefined
            ? known.startedAt ?? other.startedAt
            : Math.min(known.startedAt, other.startedAt);
        // A restored store may have lost the decision, which then has to be written again, whatever peers of the earlier era know.
        const isOfThisEra = eraOf(news.revision) >= eraOf(known.revision);
        const isStored = isLater || isLaterEra
            ? other.isStored && isOfThisEra
            : known.isStored || (other.isStored && isOfThisEra && other.phase === known.phase);
        this.rollouts.set(known.service, {
            ...isLater ? other : known,
            startedAt,
            isStored,
            revision: Math.max(known.revision, other.revision),
        });
        return isLater || (isStored && !known.isStored);
    }
}

/** A restored store states the position of an order in another era. */
function isSameOrder(left: VersionRolloutContent, right: VersionRolloutContent): boolean {
    return left.to === right.to && left.duration === right.duration
        && revisionOf(left.revision) === revisionOf(right.revision);
}

function toRollout(news: VersionRolloutNews, now: Milliseconds): VersionRollout {
    const { service, to, duration, phase, decidedBy, reason, isStored, revision } = news;
    const startedAt = news.age === undefined ? undefined : now - news.age;
    const phaseAt = now - (news.phaseAge ?? 0);
    return { service, to, duration, phase, decidedBy, reason, isStored, revision, startedAt, phaseAt };
}
