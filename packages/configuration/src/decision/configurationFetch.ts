/**
 * Fetches the highest revision that any peer is known to have, from one peer at a time.
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

/** Time after which a peer that does not answer is given up for another. */
export const fetchTimeout: Milliseconds = 500;

/** A message to send to a peer. */
export interface Request {
    readonly to: string;
    readonly message: ConfigurationMessage;
}

/** Which peers are ahead, and the fetch that is under way. */
export class ConfigurationFetch {
    private readonly ahead = new Map<string, number>();
    private source: string | undefined;
    private askedAt: Milliseconds = 0;
    private assembly: SnapshotAssembly | undefined;

    constructor(private readonly random: RandomSource) {}

    /** Notes a peer's revision and starts a fetch where none is under way. */
    observe(from: string, revision: number, own: number, now: Milliseconds): Request | undefined {
        if (revision <= own) {
            this.ahead.delete(from);
            return undefined;
        }
        this.ahead.set(from, revision);
        return this.source === undefined ? this.next(own, now) : undefined;
    }

    /** Turns to another peer where the present one has not answered in time. */
    tick(own: number, now: Milliseconds): Request | undefined {
        return this.isActive(now) ? undefined : this.giveUp(own, now);
    }

    /** Whether a peer was asked and may still answer in time. */
    isActive(now: Milliseconds): boolean {
        return this.source !== undefined && now - this.askedAt < fetchTimeout;
    }

    /** Forgets the present source and asks another peer, if one is known to be ahead. */
    giveUp(own: number, now: Milliseconds): Request | undefined {
        if (this.source !== undefined) {
            this.ahead.delete(this.source);
            this.source = undefined;
        }
        return this.next(own, now);
    }

    /** Whether a fetch waits for this peer's answer. */
    waitsFor(peer: string): boolean {
        return this.source === peer;
    }

    /** Takes an outline as what to fetch from its sender, unless another peer's is being fetched. */
    begin(
        from: string,
        outline: ConfigurationOutline,
        known: ReadonlyMap<string, ManifestShard>,
        now: Milliseconds,
    ): Request | ReplicaConfiguration | undefined {
        if (this.assembly !== undefined && this.isActive(now) && !this.waitsFor(from)) {
            return undefined;
        }
        const partial = this.assembly?.known ?? new Map<string, ManifestShard>();
        this.assembly = new SnapshotAssembly(outline, new Map([...known, ...partial]));
        return this.continueFrom(from, now);
    }

    /** Takes in shards; returns the whole configuration, or the request for what is missing. */
    add(
        from: string,
        message: ConfigurationShards,
        now: Milliseconds,
    ): Request | ReplicaConfiguration | undefined {
        if (this.assembly === undefined) {
            return undefined;
        }
        const before = this.assembly.missing().length;
        this.assembly.add(message.shards);
        return before > 0 && this.source === from ? this.continueFrom(from, now) : undefined;
    }

    /** Forgets what an installed revision has made needless. */
    installed(own: number): void {
        for (const [peer, revision] of this.ahead) {
            if (revision <= own) {
                this.ahead.delete(peer);
            }
        }
        if (this.assembly === undefined || this.assembly.outline.revision <= own) {
            this.assembly = undefined;
            this.source = undefined;
        }
    }

    private continueFrom(from: string, now: Milliseconds): Request | ReplicaConfiguration {
        const assembly = this.assembly!;
        const digests = assembly.missing();
        if (digests.length === 0) {
            return assembly.assemble();
        }
        this.source = from;
        this.askedAt = now;
        const { revision } = assembly.outline;
        return { to: from, message: { kind: ConfigurationMessageKind.AskShards, revision, digests } };
    }

    private next(own: number, now: Milliseconds): Request | undefined {
        const highest = Math.max(...this.ahead.values());
        const candidates = [...this.ahead].filter(([, revision]) => revision === highest).map(([peer]) =>
            peer
        );
        const source = pick(this.random, candidates);
        if (source === undefined) {
            return undefined;
        }
        this.source = source;
        this.askedAt = now;
        return { to: source, message: { kind: ConfigurationMessageKind.Ask, revision: own } };
    }
}
