/**
 * Fetches the highest revision that is known at any peer. Only one peer is asked at a time.
 *
 * @module
 */
import { type Milliseconds, pick, type RandomSource } from "@redwingpin/common";
import type { ManifestShard } from "@redwingpin/manifest";
import {
    type ConfigurationMessage,
    ConfigurationMessageKind,
    type ConfigurationOutline,
    type ConfigurationShards,
} from "@redwingpin/protocol";
import type { ReplicaConfiguration } from "./replicaEvents.js";
import { SnapshotAssembly } from "./snapshotAssembly.js";

/** Time after which a peer that has not answered is replaced by another. */
export const fetchTimeout: Milliseconds = 500;

/** A message to send to a peer. */
export interface PeerRequest {
    readonly to: string;
    readonly message: ConfigurationMessage;
}

/** The peers that are ahead and the fetch in progress. */
export class ConfigurationFetch {
    private readonly peersAhead = new Map<string, number>();
    private source: string | undefined;
    private requestedAt: Milliseconds = 0;
    private assembly: SnapshotAssembly | undefined;

    constructor(private readonly random: RandomSource) {}

    /** Records a peer's revision and starts a fetch if none is in progress. */
    observe(from: string, revision: number, ownRevision: number, now: Milliseconds): PeerRequest | undefined {
        if (revision <= ownRevision) {
            this.peersAhead.delete(from);
            return undefined;
        }
        this.peersAhead.set(from, revision);
        return this.source === undefined ? this.requestNext(ownRevision, now) : undefined;
    }

    /** Switches to another peer if the current one has not answered in time. */
    tick(ownRevision: number, now: Milliseconds): PeerRequest | undefined {
        return this.isActive(now) ? undefined : this.switchSource(ownRevision, now);
    }

    /** True if a request has been sent and may still be answered in time. */
    isActive(now: Milliseconds): boolean {
        return this.source !== undefined && now - this.requestedAt < fetchTimeout;
    }

    /** Drops the current source and requests from another peer, if one is known to be ahead. */
    switchSource(ownRevision: number, now: Milliseconds): PeerRequest | undefined {
        if (this.source !== undefined) {
            this.peersAhead.delete(this.source);
            this.source = undefined;
        }
        return this.requestNext(ownRevision, now);
    }

    /** True if the fetch is waiting for this peer's answer. */
    isWaitingFor(peer: string): boolean {
        return this.source === peer;
    }

    /** Starts to fetch the configuration of an outline from its sender, unless a fetch from another peer is active. */
    begin(
        from: string,
        outline: ConfigurationOutline,
        known: ReadonlyMap<string, ManifestShard>,
        now: Milliseconds,
    ): PeerRequest | ReplicaConfiguration | undefined {
        if (this.assembly !== undefined && this.isActive(now) && !this.isWaitingFor(from)) {
            return undefined;
        }
        const partial = this.assembly?.known ?? new Map<string, ManifestShard>();
        this.assembly = new SnapshotAssembly(outline, new Map([...known, ...partial]));
        return this.requestMissing(from, now);
    }

    /** Adds received shards; returns the complete configuration, or the request for missing shards. */
    add(
        from: string,
        message: ConfigurationShards,
        now: Milliseconds,
    ): PeerRequest | ReplicaConfiguration | undefined {
        if (this.assembly === undefined) {
            return undefined;
        }
        const before = this.assembly.nextMissing().length;
        this.assembly.add(message.shards);
        return before > 0 && this.source === from ? this.requestMissing(from, now) : undefined;
    }

    /** Drops the peers that are not ahead of the installed revision, and a fetch of a revision that is not higher. */
    recordInstalled(ownRevision: number): void {
        for (const [peer, revision] of this.peersAhead) {
            if (revision <= ownRevision) {
                this.peersAhead.delete(peer);
            }
        }
        if (this.assembly === undefined || this.assembly.outline.revision <= ownRevision) {
            this.assembly = undefined;
            this.source = undefined;
        }
    }

    private requestMissing(from: string, now: Milliseconds): PeerRequest | ReplicaConfiguration {
        const assembly = this.assembly!;
        const digests = assembly.nextMissing();
        if (digests.length === 0) {
            return assembly.assemble();
        }
        this.source = from;
        this.requestedAt = now;
        const { revision } = assembly.outline;
        return { to: from, message: { kind: ConfigurationMessageKind.AskShards, revision, digests } };
    }

    private requestNext(ownRevision: number, now: Milliseconds): PeerRequest | undefined {
        const highest = Math.max(...this.peersAhead.values());
        const candidates = [...this.peersAhead].filter(([, revision]) => revision === highest).map(([peer]) =>
            peer
        );
        const source = pick(this.random, candidates);
        if (source === undefined) {
            return undefined;
        }
        this.source = source;
        this.requestedAt = now;
        return { to: source, message: { kind: ConfigurationMessageKind.Ask, revision: ownRevision } };
    }
}
