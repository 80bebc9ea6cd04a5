/**
 * One process's copy of the configuration. It installs only higher revisions. Every contact with a peer compares
 * revisions: who is behind fetches from who is ahead, whichever way the message went.
 *
 * @module
 */
import { assertNever, type Milliseconds, type RandomSource } from "@redwingpin/common";
import { diffItems, isManifestChanges, type ManifestChange, ShardedManifest } from "@redwingpin/manifest";
import {
    type ConfigurationAskShards,
    type ConfigurationMessage,
    ConfigurationMessageKind,
    type ConfigurationOutline,
    type ConfigurationUpdate,
} from "@redwingpin/protocol";
import type { RootRecord } from "../records.js";
import { AgentPush } from "./agentPush.js";
import { ChangeHistory } from "./changeHistory.js";
import { ConfigurationFetch, type Request } from "./configurationFetch.js";
import { ConfigurationStart, sample } from "./configurationStart.js";
import {
    type ReplicaConfiguration,
    ReplicaEffectKind,
    type ReplicaEffects,
    type ReplicaEvent,
    ReplicaEventKind,
    type SpreadPeer,
} from "./replicaEvents.js";
import { shardsByDigest } from "./snapshotAssembly.js";
import { SnapshotRateLimiter } from "./snapshotRateLimiter.js";
import { StorePoll } from "./storePoll.js";

/** Options of {@link ConfigurationReplica}. */
export interface ReplicaOptions {
    readonly self: SpreadPeer;
    readonly random: RandomSource;
    /** True where this process reads the store; false at agents. */
    readonly readsStore: boolean;
    /**
     * Time between two announcements to a random router.
     * @default {@link defaultProbeInterval}
     */
    readonly probeInterval?: Milliseconds;
}

/** Time between two announcements of a router to a random other, as anti-entropy. */
export const defaultProbeInterval: Milliseconds = 1_000;

/** Routers to which a newly installed revision is announced at once. */
export const pushFanOut = 2;

/** Time before a peer that is behind is told so again. */
const tellInterval: Milliseconds = 250;

/** The decisions of one process; owns no socket and reads no clock. */
export class ConfigurationReplica {
    private installed: ReplicaConfiguration | undefined;
    private readonly history = new ChangeHistory();
    private readonly fetch: ConfigurationFetch;
    private readonly starting: ConfigurationStart;
    private readonly agentPush = new AgentPush();
    private readonly giving = new SnapshotRateLimiter();
    private readonly store: StorePoll;
    private routers: readonly string[] = [];
    private agents: readonly string[] = [];
    private readonly told = new Map<string, Milliseconds>();
    private nextProbe: Milliseconds = 0;
    private lastContact: Milliseconds = 0;

    constructor(private readonly options: ReplicaOptions) {
        this.fetch = new ConfigurationFetch(options.random);
        this.starting = new ConfigurationStart(options.random);
        this.store = new StorePoll(options.self, options.random, options.readsStore);
    }

    /** The installed configuration; `undefined` before the first. */
    get current(): ReplicaConfiguration | undefined {
        return this.installed;
    }

    /** The installed revision; 0 for none. */
    get revision(): number {
        return this.installed?.revision ?? 0;
    }

    /** Takes in one event. */
    *receive(event: ReplicaEvent, now: Milliseconds): ReplicaEffects {
        switch (event.kind) {
            case ReplicaEventKind.Message:
                this.lastContact = now;
                return yield* this.receiveMessage(event.from, event.message, now);
            case ReplicaEventKind.RevisionObserved:
                this.lastContact = now;
                return yield* this.observe(event.from, event.revision, now);
            case ReplicaEventKind.PeersChanged:
                this.routers = event.routers.map((router) => router.instance);
                this.agents = event.agents.map((agent) => agent.instance);
                this.agentPush.setAgents(event.agents);
                yield* this.store.peersChanged(event.routers);
                return yield* this.askAtStart(now);
            case ReplicaEventKind.RootRead:
                return yield* this.receiveRoot(event.root, now);
            case ReplicaEventKind.ContentLoaded:
                this.store.loadEnded();
                return yield* this.install(event.configuration, undefined, undefined, now);
            case ReplicaEventKind.LoadFailed:
                this.store.loadEnded();
                return;
            case ReplicaEventKind.Tick:
                return yield* this.tick(now);
            default:
                return assertNever(event);
        }
    }

    private *tick(now: Milliseconds): ReplicaEffects {
        yield* this.askAtStart(now);
        yield* this.takeOffer(now);
        yield* this.request(this.fetch.tick(this.revision, now));
        yield* this.store.tick(now, this.installed === undefined, now - this.lastContact);
        if (this.options.readsStore && now >= this.nextProbe) {
            this.nextProbe = now + (this.options.probeInterval ?? defaultProbeInterval);
            yield* this.announce(sample(this.options.random, this.routers, 1));
        }
        const target = this.agentPush.due(this.revision, now);
        if (target !== undefined) {
            yield* this.sendNews(target.agent, target.revision);
        }
    }

    private *receiveMessage(from: string, message: ConfigurationMessage, now: Milliseconds): ReplicaEffects {
        switch (message.kind) {
            case ConfigurationMessageKind.Announce:
                this.starting.answered(from, undefined, now);
                yield* this.observe(from, message.revision, now);
                return yield* this.takeOffer(now);
            case ConfigurationMessageKind.Busy:
                return yield* this.receiveBusy(from, now);
            case ConfigurationMessageKind.Ask:
                return yield* this.receiveAsk(from, message.revision, now);
            case ConfigurationMessageKind.Update:
                return yield* this.receiveUpdate(from, message, now);
            case ConfigurationMessageKind.Outline:
                return yield* this.receiveOutline(from, message, now);
            case ConfigurationMessageKind.AskShards:
                return yield* this.giveShards(from, message, now);
            case ConfigurationMessageKind.Shards:
                return yield* this.continueWith(this.fetch.add(from, message, now), from, now);
            default:
                return assertNever(message);
        }
    }

    private *receiveBusy(from: string, now: Milliseconds): ReplicaEffects {
        this.starting.answered(from, undefined, now);
        if (this.fetch.waitsFor(from)) {
            yield* this.request(this.fetch.giveUp(this.revision, now));
        }
        yield* this.takeOffer(now);
    }

    private *receiveAsk(from: string, revision: number, now: Milliseconds): ReplicaEffects {
        if (revision > this.revision) {
            return yield* this.observe(from, revision, now);
        }
        yield* this.answer(from, revision, now);
    }

    /** Compares revisions after any contact. */
    private *observe(from: string, revision: number, now: Milliseconds): ReplicaEffects {
        this.agentPush.observe(from, Math.min(revision, this.revision));
        if (revision < this.revision) {
            return yield* this.tell(from, revision, now);
        }
        if (this.installed !== undefined) {
            yield* this.request(this.fetch.observe(from, revision, this.revision, now));
        }
        else if (revision > 0) {
            yield* this.send(from, { kind: ConfigurationMessageKind.Ask, revision: 0 });
        }
    }

    /** Lets a peer that is behind know, with the changes themselves where they are small. */
    private *tell(to: string, revision: number, now: Milliseconds): ReplicaEffects {
        const last = this.told.get(to);
        if (last !== undefined && now - last < tellInterval) {
            return;
        }
        this.told.set(to, now);
        this.forgetTold(now);
        yield* this.sendNews(to, revision);
    }

    private forgetTold(now: Milliseconds): void {
        for (const [peer, at] of this.told) {
            if (now - at >= tellInterval) {
                this.told.delete(peer);
            }
        }
    }

    private *sendNews(to: string, revision: number): ReplicaEffects {
        const update = this.updateSince(revision);
        yield* this.send(to, update ?? { kind: ConfigurationMessageKind.Announce, revision: this.revision });
    }

    private updateSince(revision: number): ConfigurationUpdate | undefined {
        const changes = this.history.since(revision);
        if (this.installed === undefined || changes === undefined) {
            return undefined;
        }
        const { manifest } = this.installed;
        return {
            kind: ConfigurationMessageKind.Update,
            from: revision,
            revision: this.revision,
            changes,
            shardCount: manifest.shards.length,
            digest: manifest.digest,
        };
    }

    private *answer(to: string, revision: number, now: Milliseconds): ReplicaEffects {
        if (this.installed === undefined || this.revision === revision) {
            return yield* this.announce([to]);
        }
        const update = this.updateSince(revision);
        if (update !== undefined) {
            return yield* this.send(to, update);
        }
        if (!this.giving.allows(now)) {
            return yield* this.send(to, { kind: ConfigurationMessageKind.Busy, revision: this.revision });
        }
        yield* this.send(to, this.outline(this.installed));
    }

    private outline(installed: ReplicaConfiguration): ConfigurationOutline {
        const { revision, manifest } = installed;
        return {
            kind: ConfigurationMessageKind.Outline,
            revision,
            shardDigests: manifest.digests,
        };
    }

    /** Shards are found by digest, so those that have not changed since the asked revision still serve. */
    private *giveShards(to: string, message: ConfigurationAskShards, now: Milliseconds): ReplicaEffects {
        if (this.installed === undefined) {
            return yield* this.announce([to]);
        }
        if (!this.giving.allows(now)) {
            return yield* this.send(to, { kind: ConfigurationMessageKind.Busy, revision: this.revision });
        }
        const wanted = new Set(message.digests);
        const shards = this.installed.manifest.shards.filter((shard) => wanted.has(shard.digest));
        if (shards.length < wanted.size) {
            yield* this.send(to, this.outline(this.installed));
        }
        if (shards.length > 0) {
            this.giving.take(shards.reduce((sum, shard) => sum + shard.size, 0));
            const items = shards.map((shard) => shard.items);
            const { revision } = this;
            yield* this.send(to, { kind: ConfigurationMessageKind.Shards, revision, shards: items });
        }
    }

    private *receiveUpdate(from: string, update: ConfigurationUpdate, now: Milliseconds): ReplicaEffects {
        if (update.revision <= this.revision) {
            return yield* this.observe(from, update.revision, now);
        }
        const next = this.applyUpdate(update);
        if (next !== undefined) {
            return yield* this.install(next, update.changes, from, now);
        }
        if (this.installed !== undefined && update.from === this.revision) {
            // The digest differs: the peer's changes do not lead from this copy to its own, so all is compared.
            return yield* this.send(from, { kind: ConfigurationMessageKind.Ask, revision: 0 });
        }
        yield* this.observe(from, update.revision, now);
    }

    private applyUpdate(
        update: Pick<
            ConfigurationUpdate,
            "from" | "revision" | "changes" | "shardCount" | "digest"
        >,
    ): ReplicaConfiguration | undefined {
        if (
            this.installed === undefined || update.from !== this.revision
            || !isManifestChanges(update.changes)
        ) {
            return undefined;
        }
        const changed = this.installed.manifest.apply(update.changes);
        const manifest = changed.shards.length === update.shardCount
            ? changed
            : ShardedManifest.from(changed.toManifest(), update.shardCount);
        return manifest.digest === update.digest ? { revision: update.revision, manifest } : undefined;
    }

    private *receiveOutline(from: string, outline: ConfigurationOutline, now: Milliseconds): ReplicaEffects {
        if (this.installed === undefined) {
            this.starting.answered(from, outline, now);
            return yield* this.takeOffer(now);
        }
        if (outline.revision <= this.revision) {
            return yield* this.observe(from, outline.revision, now);
        }
        yield* this.fetchOutline(from, outline, now);
    }

    private *takeOffer(now: Milliseconds): ReplicaEffects {
        const offer = this.installed === undefined ? this.starting.take(now) : undefined;
        if (offer !== undefined) {
            yield* this.fetchOutline(offer.from, offer.outline, now);
        }
    }

    private *fetchOutline(from: string, outline: ConfigurationOutline, now: Milliseconds): ReplicaEffects {
        const known = shardsByDigest(this.installed?.manifest);
        yield* this.continueWith(this.fetch.begin(from, outline, known, now), from, now);
    }

    private *continueWith(
        next: Request | ReplicaConfiguration | undefined,
        from: string,
        now: Milliseconds,
    ): ReplicaEffects {
        if (next !== undefined && "manifest" in next) {
            return yield* this.install(next, undefined, from, now);
        }
        yield* this.request(next);
    }

    private *receiveRoot(root: RootRecord, now: Milliseconds): ReplicaEffects {
        if (root.revision <= this.revision) {
            return;
        }
        const changes = recentSince(root, this.revision);
        const next = changes === undefined
            ? undefined
            : this.applyUpdate({ ...root, from: this.revision, changes });
        if (next !== undefined) {
            return yield* this.install(next, changes, undefined, now);
        }
        yield* this.store.load(root, shardsByDigest(this.installed?.manifest), now);
    }

    private *install(
        next: ReplicaConfiguration,
        changes: readonly ManifestChange[] | undefined,
        source: string | undefined,
        now: Milliseconds,
    ): ReplicaEffects {
        const before = this.installed;
        if (next.revision <= this.revision) {
            return;
        }
        if (before !== undefined) {
            this.history.add(before.revision, next.revision, changes ?? changesBetween(before, next));
        }
        this.installed = next;
        this.fetch.installed(next.revision);
        yield { kind: ReplicaEffectKind.Install, configuration: next };
        if (this.options.readsStore) {
            const others = this.routers.filter((router) => router !== source);
            yield* this.announce(sample(this.options.random, others, pushFanOut));
        }
        yield* this.request(this.fetch.tick(next.revision, now));
    }

    private *askAtStart(now: Milliseconds): ReplicaEffects {
        if (this.installed !== undefined || this.fetch.isActive(now)) {
            return;
        }
        for (const peer of this.starting.due(this.routers, this.agents, now)) {
            yield* this.send(peer, { kind: ConfigurationMessageKind.Ask, revision: 0 });
        }
    }

    private *announce(peers: readonly string[]): ReplicaEffects {
        for (const to of peers) {
            yield* this.send(to, { kind: ConfigurationMessageKind.Announce, revision: this.revision });
        }
    }

    private *request(request: Request | undefined): ReplicaEffects {
        if (request !== undefined) {
            yield* this.send(request.to, request.message);
        }
    }

    private *send(to: string, message: ConfigurationMessage): ReplicaEffects {
        yield { kind: ReplicaEffectKind.Send, to, message };
    }
}

/** Changes that a root holds from a revision on; `undefined` where it holds not all of them. */
function recentSince(root: RootRecord, revision: number): readonly ManifestChange[] | undefined {
    const later = root.recent.filter((change) => change.revision > revision);
    const isWhole = later[0]?.revision === revision + 1 && later.length === root.revision - revision;
    return isWhole ? later.flatMap((change) => change.changes) : undefined;
}

function changesBetween(before: ReplicaConfiguration, after: ReplicaConfiguration): ManifestChange[] {
    const kept = shardsByDigest(before.manifest);
    const fresh = shardsByDigest(after.manifest);
    const old = before.manifest.shards.filter((shard) => !fresh.has(shard.digest));
    const current = after.manifest.shards.filter((shard) => !kept.has(shard.digest));
    return diffItems(old.flatMap((shard) => shard.items), current.flatMap((shard) => shard.items));
}
