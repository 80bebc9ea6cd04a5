/**
 * The task that keeps a process's configuration up to date: it passes messages, store reads and ticks to the replica
 * and performs the replica's effects.
 *
 * @module
 */
import {
    assertNever,
    type CancelTimer,
    type Clock,
    type Logger,
    type Milliseconds,
    type RandomSource,
} from "@redwingpin/common";
import { ManifestIndex, type ManifestShard } from "@redwingpin/manifest";
import type { KeyValueStore } from "@redwingpin/outside";
import { type ConfigurationMessage, isConfigurationMessage } from "@redwingpin/protocol";
import { ConfigurationReplica } from "../decision/configurationReplica.js";
import {
    loadConfiguration,
    loadContent,
    type LoadedConfiguration,
    rootOf,
} from "../decision/loadConfiguration.js";
import {
    type AgentPeer,
    type ReplicaConfiguration,
    type ReplicaEffect,
    ReplicaEffectKind,
    type ReplicaEvent,
    ReplicaEventKind,
    type RouterPeer,
} from "../decision/replicaEvents.js";
import { runStoreDecision } from "../decision/storeDecision.js";
import { rootKey, type RootRecord } from "../records.js";

/** Interval between ticks of the replica. */
const tickInterval: Milliseconds = 100;

/** Interval between reads of the peers, to detect changes that were not notified by a call of `peersChanged`. */
const peerRefreshInterval: Milliseconds = 1_000;

/** A configuration in force, indexed for lookups. */
export interface InstalledConfiguration {
    readonly revision: number;
    readonly index: ManifestIndex;
}

/** The peers with which a process exchanges its configuration. */
export interface ConfigurationPeers {
    /** Live routers except this process; at an agent, the connected routers. */
    routers(): readonly RouterPeer[];
    /** Agents that this router is connected to; none at an agent. */
    agents(): readonly AgentPeer[];
    /** Sends a message on the configuration topic; it may be lost. */
    send(to: string, message: ConfigurationMessage): void;
}

/** Options of {@link createConfiguration}. */
export interface ConfigurationOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly instance: string;
    readonly dataCentre: string;
    readonly peers: ConfigurationPeers;
    /**
     * The store; agents have none.
     * @default undefined
     */
    readonly store?: KeyValueStore;
}

/** Called with each configuration that comes into force, in order of revision. */
export type InstalledListener = (configuration: InstalledConfiguration) => void;

/** The configuration of a process. */
export interface Configuration {
    /** The configuration in force; `undefined` before the first installation. */
    current(): InstalledConfiguration | undefined;
    /** The revision in force; 0 if there is none. */
    revision(): number;
    /** Calls `listener` at each installation; returns a function that removes it. */
    onInstalled(listener: InstalledListener): () => void;
    /** Handles the body of a message on the configuration topic. Returns false if it is malformed. */
    handle(body: unknown, from: string): boolean;
    /** Handles the revision that a message of a peer on another topic carried. */
    observeRevision(from: string, revision: number): void;
    /** Must be called when the peers have changed. */
    peersChanged(): void;
    start(): void;
    stop(): void;
}

/** Creates the configuration of a process; it is inactive until `start`. */
export function createConfiguration(options: ConfigurationOptions): Configuration {
    return new ConfigurationTask(options);
}

class ConfigurationTask implements Configuration {
    private readonly replica: ConfigurationReplica;
    private readonly listeners = new Set<InstalledListener>();
    private readonly events: ReplicaEvent[] = [];
    private installed: InstalledConfiguration | undefined;
    private cancelTick: CancelTimer | undefined;
    private cancelWatch: CancelTimer | undefined;
    private isHandling = false;
    private isRunning = false;
    private lastPeers: string | undefined;
    private peersReadAt: Milliseconds = 0;

    constructor(private readonly options: ConfigurationOptions) {
        this.replica = new ConfigurationReplica({
            self: { instance: options.instance, dataCentre: options.dataCentre },
            random: options.random,
            readsStore: options.store !== undefined,
        });
    }

    current(): InstalledConfiguration | undefined {
        return this.installed;
    }

    revision(): number {
        return this.replica.revision;
    }

    onInstalled(listener: InstalledListener): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    handle(body: unknown, from: string): boolean {
        if (!isConfigurationMessage(body)) {
            this.options.logger.warn("dropped a malformed configuration message", { from });
            return false;
        }
        this.dispatch({ kind: ReplicaEventKind.Message, from, message: body });
        return true;
    }

    observeRevision(from: string, revision: number): void {
        // Every message of every request carries a revision. It usually equals the installed one and needs no event.
        if (revision !== this.replica.revision) {
            this.dispatch({ kind: ReplicaEventKind.RevisionObserved, from, revision });
        }
    }

    peersChanged(): void {
        const routers = this.options.peers.routers();
        const agents = this.options.peers.agents();
        const agentNames = agents.map((agent) => `${agent.instance}${agent.isOwned ? "!" : ""}`);
        const names = [...routers.map((router) => router.instance), "", ...agentNames].join(" ");
        this.peersReadAt = this.options.clock.now();
        if (names !== this.lastPeers) {
            this.lastPeers = names;
            this.dispatch({ kind: ReplicaEventKind.PeersChanged, routers, agents });
        }
    }

    start(): void {
        this.isRunning = true;
        this.lastPeers = undefined;
        this.peersChanged();
        this.tick();
    }

    stop(): void {
        this.isRunning = false;
        this.cancelTick?.();
        this.cancelWatch?.();
        this.cancelWatch = undefined;
    }

    private tick(): void {
        if (this.options.clock.now() - this.peersReadAt >= peerRefreshInterval) {
            this.peersChanged();
        }
        this.dispatch({ kind: ReplicaEventKind.Tick });
        this.cancelTick = this.options.clock.schedule(tickInterval, () => this.tick());
    }

    /** Handles events one after another, including those dispatched while another is being handled. */
    private dispatch(event: ReplicaEvent): void {
        if (!this.isRunning) {
            return;
        }
        this.events.push(event);
        if (this.isHandling) {
            return;
        }
        this.isHandling = true;
        try {
            for (let next = this.events.shift(); next !== undefined; next = this.events.shift()) {
                this.handleEvent(next);
            }
        }
        finally {
            this.isHandling = false;
        }
    }

    private handleEvent(event: ReplicaEvent): void {
        for (const effect of this.replica.receive(event, this.options.clock.now())) {
            this.perform(effect);
        }
    }

    private perform(effect: ReplicaEffect): void {
        switch (effect.kind) {
            case ReplicaEffectKind.Send:
                return this.options.peers.send(effect.to, effect.message);
            case ReplicaEffectKind.ReadRoot:
                void this.readRoot();
                return;
            case ReplicaEffectKind.LoadContent:
                void this.loadContent(effect.root, effect.known);
                return;
            case ReplicaEffectKind.SetWatching:
                return this.setWatching(effect.watching);
            case ReplicaEffectKind.Install:
                return this.install(effect.configuration);
            default:
                return assertNever(effect);
        }
    }

    private async readRoot(): Promise<void> {
        const { store, logger } = this.options;
        const read = await store?.read(rootKey);
        if (read === undefined || read.isErr()) {
            logger.debug("failed to read the configuration root", { error: read?.error.message });
            return;
        }
        rootOf(read.value).match(
            (stored) => this.receiveRoot(stored.root),
            (error) => logger.error("configuration root is malformed", { error: error.message }),
        );
    }

    private receiveRoot(root: RootRecord | undefined): void {
        if (root === undefined) {
            return;
        }
        if (root.revision < this.replica.revision) {
            this.options.logger.error("the store has a lower revision than the one in force", {
                storeRevision: root.revision,
                revision: this.replica.revision,
            });
            return;
        }
        this.dispatch({ kind: ReplicaEventKind.RootRead, root });
    }

    private async loadContent(root: RootRecord, known: ReadonlyMap<string, ManifestShard>): Promise<void> {
        const { store, clock, logger } = this.options;
        if (store === undefined) {
            return;
        }
        const first = await runStoreDecision(loadContent(root, known), store, clock);
        const loaded = first.isErr() && first.error.kind === "replaced"
            ? await runStoreDecision(loadConfiguration(), store, clock)
            : first;
        if (loaded.isErr()) {
            logger.warn("failed to load the configuration", { error: loaded.error.message });
        }
        this.dispatch(loadedEvent(loaded.isOk() ? loaded.value : undefined));
    }

    private setWatching(watching: boolean): void {
        this.cancelWatch?.();
        this.cancelWatch = undefined;
        if (!watching) {
            return;
        }
        this.cancelWatch = this.options.store?.watch(rootKey, (change) => {
            rootOf(change.entry).match(
                (stored) => this.receiveRoot(stored.root),
                (error) =>
                    this.options.logger.error("configuration root is malformed", {
                        error: error.message,
                    }),
            );
        });
    }

    private install(configuration: ReplicaConfiguration): void {
        const { revision, manifest } = configuration;
        const index = new ManifestIndex(manifest.toManifest());
        this.installed = { revision, index };
        this.options.logger.info("installed a configuration", { revision });
        for (const listener of this.listeners) {
            listener(this.installed);
        }
    }
}

function loadedEvent(loaded: LoadedConfiguration | undefined): ReplicaEvent {
    if (loaded === undefined) {
        return { kind: ReplicaEventKind.LoadFailed };
    }
    const { root, manifest } = loaded;
    const configuration = { revision: root.revision, manifest };
    return { kind: ReplicaEventKind.ContentLoaded, configuration };
}
