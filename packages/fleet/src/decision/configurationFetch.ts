/**
 * From whom a process takes a configuration that it lacks. Peers only tell which version they have, for a configuration
 * can be large: where all of them sent it to a process that is behind, a slow link would be busy for seconds with copies
 * of it. It is asked of one peer at a time, and of none while the store is likely to deliver it.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** Time in which the store delivers a configuration of the largest size over a slow link. */
const storePatience: Milliseconds = 900;

/** A peer that has not delivered after this time is not waited for; a megabyte takes 1.2 s at 7 Mbit/s. */
export const fetchTimeout: Milliseconds = 1_500;

interface Offer<Source> {
    readonly source: Source;
    readonly version: number;
}

/** Decides when to ask whom. `Source` stands for a peer. */
export class ConfigurationFetch<Source> {
    private offer: Offer<Source> | undefined;
    /** Since when a newer version is known to be in force. */
    private behindSince: Milliseconds | undefined;
    private askedAt: Milliseconds | undefined;

    /** Notes the version that a peer has. */
    offered(source: Source, version: number, own: number, now: Milliseconds): void {
        if (version > own && version >= (this.offer?.version ?? 0)) {
            this.offer = { source, version };
            this.behindSince ??= now;
        }
    }

    /** The peer to ask now for a version above `own`; `undefined` for none. */
    next(own: number, storeAnswers: boolean, now: Milliseconds): Source | undefined {
        if (this.offer === undefined || this.offer.version <= own) {
            this.offer = undefined;
            this.behindSince = undefined;
            return undefined;
        }
        const isAsking = this.askedAt !== undefined && now - this.askedAt < fetchTimeout;
        const isPatient = storeAnswers && now - (this.behindSince ?? now) < storePatience;
        if (isAsking || isPatient) {
            return undefined;
        }
        this.askedAt = now;
        return this.offer.source;
    }

    /** The peer that was asked has answered or is out of reach; where it did not deliver, the next offer counts. */
    ended(delivered: boolean): void {
        this.askedAt = undefined;
        if (!delivered) {
            this.offer = undefined;
        }
    }
}
