/**
 * Selects the peer from which a process fetches a configuration that it lacks. Peers report only the version that they
 * have, because a configuration can be large: if all of them sent it to a process that is behind, the copies would
 * occupy a slow link for seconds. One peer at a time is asked, and none while the store is likely to deliver it.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** Time that the store needs to deliver a configuration of the largest size over a slow link. */
const storeDeliveryTimeout: Milliseconds = 900;

/** Time limit of a fetch from a peer, or of its first part; a megabyte takes 1.2 s at 7 Mbit/s. */
export const fetchTimeout: Milliseconds = 1_500;

interface Offer<Source> {
    readonly source: Source;
    readonly version: number;
}

/** Decides when to fetch from which peer. `Source` is the type of a peer. */
export class ConfigurationFetch<Source> {
    private offer: Offer<Source> | undefined;
    /** When this process learned that a newer version is in force. */
    private behindSince: Milliseconds | undefined;
    private fetchStartedAt: Milliseconds | undefined;

    /**
     * Records the version that a peer has; `ownVersion` is that of this process. Returns whether it is the first that shows
     * that this process is behind.
     */
    recordOffer(source: Source, version: number, ownVersion: number, now: Milliseconds): boolean {
        if (version <= ownVersion || version < (this.offer?.version ?? 0)) {
            return false;
        }
        const isFirst = this.behindSince === undefined;
        this.offer = { source, version };
        this.behindSince ??= now;
        return isFirst;
    }

    /** Returns the peer to ask now for a version above `ownVersion`; `undefined` for none. */
    selectSource(ownVersion: number, isStoreReachable: boolean, now: Milliseconds): Source | undefined {
        if (this.offer === undefined || this.offer.version <= ownVersion) {
            this.offer = undefined;
            this.behindSince = undefined;
            return undefined;
        }
        const isFetching = this.fetchStartedAt !== undefined && now - this.fetchStartedAt < fetchTimeout;
        const isStoreExpected = isStoreReachable && now - (this.behindSince ?? now) < storeDeliveryTimeout;
        if (isFetching || isStoreExpected) {
            return undefined;
        }
        this.fetchStartedAt = now;
        return this.offer.source;
    }

    /** Records that a part of the configuration has arrived; further parts have the time limit of a fetch each. */
    recordProgress(now: Milliseconds): void {
        this.fetchStartedAt = now;
    }

    /** Records the end of a fetch. If the peer did not deliver, its offer is dropped and the next one is used. */
    recordResult(delivered: boolean): void {
        this.fetchStartedAt = undefined;
        if (!delivered) {
            this.offer = undefined;
        }
    }
}
