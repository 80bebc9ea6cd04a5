/**
 * The configuration replica of one process. It only installs higher revisions. Every message from a peer leads to a
 * comparison of revisions: the process that is behind fetches from the one that is ahead, whichever sent the message.
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
import { AgentPushScheduler } from "./agentPushScheduler.js";
import { ChangeHistory } from "./changeHistory.js";
import { ConfigurationFetch, type PeerRequest } from "./configurationFetch.js";
import { ConfigurationStartup, pickDistinct } from "./configurationStartup.js";
import {
    type ReplicaConfiguration,
    ReplicaEffectKind,
    type ReplicaEffects,
    type ReplicaEvent,
    ReplicaEventKind,
    type RouterPeer,
} from "./replicaEvents.js";
import { shardsByDigest } from "./snapshotAssembly.js";
import { SnapshotRateLimiter } from "./snapshotRateLimiter.js";
import { StorePoll } from "./storePoll.js";

/** Options of {@link ConfigurationReplica}. */
export interface ReplicaOptions {
    readonly self: RouterPeer;
    readonly random: RandomSource;
    /** True if this process reads the store; false at agents. */
    readonly readsStore: boolean;
    /**
     * Interval between announcements to a random router.
     * @default {@link defaultAntiEntropyInterval}
     */
    readonly antiEntropyInterval?: Milliseconds;
}

/** Interval between announcements of a router to a random other one, as anti-entropy. */
export const defaultAntiEntropyInterval: Milliseconds = 1_000;

/** Number of routers to which a newly installed revision is announced immediately. */
export const announcementFanOut = 2;

/** Minimum time between two notifications of the same peer that is behind. */
const notifyInterval: Milliseconds = 250;

/** Makes the decisions of one process; it owns no sockets and reads no clock. */
export class ConfigurationReplica {
    private installed: ReplicaConfiguration | undefined;
    private readonly history = new ChangeHistory();
    private readonly fetch: ConfigurationFetch;
    private readonly startup: ConfigurationStartup;
    private readonly agentPush = new AgentPushScheduler();
    private readonly snapshotLimiter = new SnapshotRateLimiter();
    private readonly store: StorePoll;
    private routers: readonly string[] = [];
    private agents: readonly string[] = [];
    private readonly lastNotified = new Map<string, Milliseconds>();
    private nextAntiEntropy: Milliseconds = 0;
    private lastContact: Milliseconds = 0;

    constructor(private readonly options: ReplicaOptions) {
        this.fetch = new ConfigurationFetch(options.random);
        this.startup = new ConfigurationStartup(options.random);
        this.store = new StorePoll(options.self, options.random, options.readsStore);
    }

    /** The installed configuration; `undefined` before the first installation. */
    get current(): ReplicaConfiguration | undefined {
        return this.installed;
    }

    /** The installed revision; 0 if there is none. */
    get revision(): number {
        return this.installed?.revision ?? 0;
    }

    /** Processes one event. */
    *receive(event: ReplicaEvent, now: Milliseconds): ReplicaEffects {
        switch (event.kind) {
            case ReplicaEventKind.Message:
                this.lastContact = now;
                return yield* this.receiveMessage(event.from, event.message, now);
            case ReplicaEventKind.RevisionObserved:
                this.lastContact = now;
                return yield* this.compareRevisions(event.from, event.revision, now);
            case ReplicaEventKind.PeersChanged:
                this.routers = event.routers.map((router) => router.instance);
                this.agents = event.agents.map((agent) => agent.instance);
                this.agentPush.setAgents(event.agents);
                yield* this.store.peersChanged(event.routers);
                return yield* this.requestAtStartup(now);
            case ReplicaEventKind.RootRead:
                return yield* this.receiveRoot(event.root, now);
            case ReplicaEventKind.ContentLoaded:
                this.store.recordLoadEnd();
                return yield* this.install(event.configuration, undefined, undefined, now);
            case ReplicaEventKind.LoadFailed:
                this.store.recordLoadEnd();
                return;
            case ReplicaEventKind.Tick:
                return yield* this.tick(now);
            default:
                return assertNever(event);
        }
    }

    private *tick(now: Milliseconds): ReplicaEffects {
        yield* this.requestAtStartup(now);
        yield* this.fetchBestOutline(now);
        yield* this.request(this.fetch.tick(this.revision, now));
        yield* this.store.tick(now, this.installed === undefined, now - this.lastContact);
        if (this.options.readsStore && now >= this.nextAntiEntropy) {
            this.nextAntiEntropy = now + (this.options.antiEntropyInterval ?? defaultAntiEntropyInterval);
            yield* this.announce(pickDistinct(this.options.random, this.routers, 1));
        }
        const target = this.agentPush.selectDue(this.revision, now);
        if (target !== undefined) {
            yield* this.sendUpdate(target.agent, target.revision);
        }
    }

    private *receiveMessage(from: string, message: ConfigurationMessage, now: Milliseconds): ReplicaEffects {
        switch (message.kind) {
            case ConfigurationMessageKind.Announce:
                this.startup.recordAnswer(from, undefined, now);
                yield* this.compareRevisions(from, message.revision, now);
                return yield* this.fetchBestOutline(now);
            case ConfigurationMessageKind.Busy:
                return yield* this.receiveBusy(from, now);
            case ConfigurationMessageKind.Ask:
                return yield* this.receiveRequest(from, message.revision, now);
            case ConfigurationMessageKind.Update:
                return yield* this.receiveUpdate(from, message, now);
            case ConfigurationMessageKind.Outline:
                return yield* this.receiveOutline(from, message, now);
            case ConfigurationMessageKind.AskShards:
                return yield* this.sendShards(from, message, now);
            case ConfigurationMessageKind.Shards:
                return yield* this.installOrRequest(this.fetch.add(from, message, now), from, now);
            default:
                return assertNever(message);
        }
    }

    private *receiveBusy(from: string, now: Milliseconds): ReplicaEffects {
        this.startup.recordAnswer(from, undefined, now);
        if (this.fetch.isWaitingFor(from)) {
            yield* this.request(this.fetch.switchSource(this.revision, now));
        }
        yield* this.fetchBestOutline(now);
    }

    private *receiveRequest(from: string, revision: number, now: Milliseconds): ReplicaEffects {
        if (revision > this.revision) {
            return yield* this.compareRevisions(from, revision, now);
        }
        yield* this.answer(from, revision, now);
    }

    /** Compares revisions with a peer and brings the one that is behind up to date. */
    private *compareRevisions(from: string, revision: number, now: Milliseconds): ReplicaEffects {
        this.agentPush.observe(from, Math.min(revision, this.revision));
        if (revision < this.revision) {
            return yield* this.notify(from, revision, now);
        }
        if (this.installed !== undefined) {
            yield* this.request(this.fetch.observe(from, revision, this.revision, now));
        }
        else if (revision > 0) {
            yield* this.send(from, { kind: ConfigurationMessageKind.Ask, revision: 0 });
        }
    }

    /** Notifies a peer that is behind, and includes the changes if they are small. */
    private *notify(to: string, revision: number, now: Milliseconds): ReplicaEffects {
        const last = this.lastNotified.get(to);
        if (last !== undefined && now - last < notifyInterval) {
            return;
        }
        this.lastNotified.set(to, now);
        this.pruneNotified(now);
        yield* this.sendUpdate(to, revision);
    }

    private pruneNotified(now: Milliseconds): void {
        for (const [peer, at] of this.lastNotified) {
            if (now - at >= notifyInterval) {
                this.lastNotified.delete(peer);
            }
        }
    }

    private *sendUpdate(to: string, revision: number): ReplicaEffects {
        const update = this.updateSince(revision);
        yield* this.send(to, update ?? { kind: ConfigurationMessageKind.Announce, revision: this.revision });
    }

    private updateSince(revision: number): ConfigurationUpdate | undefined {
        const changes = this.history.changesSince(revision);
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
        if (!this.snapshotLimiter.allows(now)) {
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

    /** Shards are found by digest, so those that have not changed since the requested revision can still be sent. */
    private *sendShards(to: string, message: ConfigurationAskShards, now: Milliseconds): ReplicaEffects {
        if (this.installed === undefined) {
            return yield* this.announce([to]);
        }
        if (!this.snapshotLimiter.allows(now)) {
            return yield* this.send(to, { kind: ConfigurationMessageKind.Busy, revision: this.revision });
        }
        const wanted = new Set(message.digests);
        const shards = this.installed.manifest.shards.filter((shard) => wanted.has(shard.digest));
        if (shards.length < wanted.size) {
            yield* this.send(to, this.outline(this.installed));
        }
        if (shards.length > 0) {
            this.snapshotLimiter.consume(shards.reduce((sum, shard) => sum + shard.size, 0));
            const items = shards.map((shard) => shard.items);
            const { revision } = this;
            yield* this.send(to, { kind: ConfigurationMessageKind.Shards, revision, shards: items });
        }
    }

    private *receiveUpdate(from: string, update: ConfigurationUpdate, now: Milliseconds): ReplicaEffects {
        if (update.revision <= this.revision) {
            return yield* this.compareRevisions(from, update.revision, now);
        }
        const next = this.applyUpdate(update);
        if (next !== undefined) {
            return yield* this.install(next, update.changes, from, now);
        }
        if (this.installed !== undefined && update.from === this.revision) {
            // The digest differs: the peer's changes do not turn this copy into its own, so all shards are compared.
            return yield* this.send(from, { kind: ConfigurationMessageKind.Ask, revision: 0 });
        }
        yield* this.compareRevisions(from, update.revision, now);
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
            this.startup.recordAnswer(from, outline, now);
            return yield* this.fetchBestOutline(now);
        }
        if (outline.revision <= this.revision) {
            return yield* this.compareRevisions(from, outline.revision, now);
        }
        yield* this.fetchOutline(from, outline, now);
    }

    private *fetchBestOutline(now: Milliseconds): ReplicaEffects {
        const best = this.installed === undefined ? this.startup.takeBest(now) : undefined;
        if (best !== undefined) {
            yield* this.fetchOutline(best.from, best.outline, now);
        }
    }

    private *fetchOutline(from: string, outline: ConfigurationOutline, now: Milliseconds): ReplicaEffects {
        const known = shardsByDigest(this.installed?.manifest);
        yield* this.installOrRequest(this.fetch.begin(from, outline, known, now), from, now);
    }

    private *installOrRequest(
        next: PeerRequest | ReplicaConfiguration | undefined,
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
        const changes = recentChangesSince(root, this.revision);
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
        this.fetch.recordInstalled(next.revision);
        yield { kind: ReplicaEffectKind.Install, configuration: next };
        if (this.options.readsStore) {
            const others = this.routers.filter((router) => router !== source);
            yield* this.announce(pickDistinct(this.options.random, others, announcementFanOut));
        }
        yield* this.request(this.fetch.tick(next.revision, now));
    }

    private *requestAtStartup(now: Milliseconds): ReplicaEffects {
        if (this.installed !== undefined || this.fetch.isActive(now)) {
            return;
        }
        for (const peer of this.startup.selectDuePeers(this.routers, this.agents, now)) {
            yield* this.send(peer, { kind: ConfigurationMessageKind.Ask, revision: 0 });
        }
    }

    private *announce(peers: readonly string[]): ReplicaEffects {
        for (const to of peers) {
            yield* this.send(to, { kind: ConfigurationMessageKind.Announce, revision: this.revision });
        }
    }

    private *request(request: PeerRequest | undefined): ReplicaEffects {
        if (request !== undefined) {
            yield* this.send(request.to, request.message);
        }
    }

    private *send(to: string, message: ConfigurationMessage): ReplicaEffects {
        yield { kind: ReplicaEffectKind.Send, to, message };
    }
}

/** Changes that a root contains after a revision; `undefined` if it does not contain all of them. */
function recentChangesSince(root: RootRecord, revision: number): readonly ManifestChange[] | undefined {
    const later = root.recent.filter((change) => change.revision > revision);
    const isComplete = later[0]?.revision === revision + 1 && later.length === root.revision - revision;
    return isComplete ? later.flatMap((change) => change.changes) : undefined;
}

function changesBetween(before: ReplicaConfiguration, after: ReplicaConfiguration): ManifestChange[] {
    const shardsBefore = shardsByDigest(before.manifest);
    const shardsAfter = shardsByDigest(after.manifest);
    const removed = before.manifest.shards.filter((shard) => !shardsAfter.has(shard.digest));
    const added = after.manifest.shards.filter((shard) => !shardsBefore.has(shard.digest));
    return diffItems(removed.flatMap((shard) => shard.items), added.flatMap((shard) => shard.items));
}
