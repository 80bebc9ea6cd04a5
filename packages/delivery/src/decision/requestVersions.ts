/**
 * Selects the endpoints of the version that a request may go to.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import { type DirectEndpoint, isDecided, VersionPhase, type VersionRollout } from "@redwingpin/fleet";
import type { OutcomeCounts, VersionOutcome } from "./outcomeCounts.js";
import { type ExposureInput, isWithinLimit, prefersNewVersion } from "./rolloutPlan.js";

/** After completion the old replicas stop; requests avoid them until their registrations are gone. */
const avoidanceAfterCompletion: Milliseconds = 5_000;

/** An endpoint as the choice knows it. */
export interface VersionedEndpoint {
    readonly endpoint: DirectEndpoint;
}

/** What a request needs of its service's rollout. */
export interface RolloutAccess {
    /** The rollout as it is now. */
    readonly rollout: () => VersionRollout;
    readonly counts: OutcomeCounts;
    readonly exposure: (requestDraw: number) => ExposureInput;
    /** True while a verdict may have been missed: the new version may have been rejected. */
    readonly mayHaveMissedVerdict: () => boolean;
}

/** True if an endpoint runs the version that an order names. */
export function runsVersion({ endpoint }: VersionedEndpoint, to: string): boolean {
    return endpoint.version === to;
}

/** The versions for one request. */
export class RequestVersions {
    private prefersNew: boolean | undefined;
    private hasFailedOnNew = false;

    constructor(private readonly access: RolloutAccess, private readonly requestDraw: number) {
        access.counts.requests += 1;
    }

    /**
     * Groups of endpoints to choose from, the preferred one first. An endpoint of the new version for which `isFull` is true
     * is left out until the rollout is committed.
     */
    groups<T extends VersionedEndpoint>(
        endpoints: readonly T[],
        now: Milliseconds,
        isFull: (endpoint: T) => boolean,
    ): readonly (readonly T[])[] {
        const { phase, phaseAt, to } = this.access.rollout();
        const ofNew = endpoints.filter((endpoint) => runsVersion(endpoint, to));
        const ofOld = endpoints.filter((endpoint) => !runsVersion(endpoint, to));
        switch (phase) {
            case VersionPhase.Unknown:
                // Without old replicas the order was completed: after a rejection, the new ones drain and the old ones stay.
                return [ofOld.length === 0 ? ofNew : ofOld];
            case VersionPhase.RolledBack:
                return [ofOld];
            case VersionPhase.Completed:
                return now - phaseAt < avoidanceAfterCompletion ? [ofNew, endpoints] : [endpoints];
            case VersionPhase.Committed:
                return [ofNew, ofOld];
            case VersionPhase.Canary:
            case VersionPhase.Half:
            case VersionPhase.Full:
                return ofOld.length === 0 ? [ofNew] : this.byShare(
                    ofNew.filter((endpoint) => !isFull(endpoint)),
                    ofOld,
                );
        }
    }

    private byShare<T>(ofNew: readonly T[], ofOld: readonly T[]): readonly (readonly T[])[] {
        const exposure = this.access.exposure(this.requestDraw);
        this.prefersNew ??= prefersNewVersion(exposure);
        if (this.hasFailedOnNew || this.access.mayHaveMissedVerdict() || !isWithinLimit(exposure)) {
            return [ofOld];
        }
        return this.prefersNew ? [ofNew, ofOld] : [ofOld, ofNew];
    }

    /** Records an attempt; the result records its end. */
    start(
        route: string,
        endpoint: VersionedEndpoint,
        now: Milliseconds,
    ): (outcome: VersionOutcome, now: Milliseconds) => void {
        const { counts, rollout } = this.access;
        const { phase, to } = rollout();
        if (isDecided(phase)) {
            return () => {};
        }
        const isNew = runsVersion(endpoint, to);
        const end = counts.start(route, isNew, now);
        return (outcome, endedAt) => {
            this.hasFailedOnNew ||= isNew && outcome.kind === "failed";
            end(outcome, endedAt);
        };
    }
}
