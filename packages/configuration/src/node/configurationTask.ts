/**
 * The task that keeps a process's configuration up to date: it feeds the replica with messages, store reads and time,
 * and carries out what the replica decides.
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
    type ReplicaConfiguration,
    type ReplicaEffect,
    ReplicaEffectKind,
    type ReplicaEvent,
    ReplicaEventKind,
    type SpreadAgent,
    type SpreadPeer,
} from "../decision/replicaEvents.js";
import { runStoreDecision } from "../decision/storeDecision.js";
import { rootKey, type RootRecord } from "../records.js";

/** Time between two ticks of the replica. */
const tickInterval: Milliseconds = 100;

/** Time between two looks at the peers, for those that come and go without notice. */
const peersInterval: Milliseconds = 1_000;

/** A configuration in force, indexed for look-up. */
export interface InstalledConfiguration {
    readonly revision: number;
    readonly index: ManifestIndex;
}

/** The peers of a process, as far as its configuration is concerned. */
export interface ConfigurationPeers {
    /** Live routers without this process; at an agent, those that are connected. */
    routers(): readonly SpreadPeer[];
    /** Agents that this router is in touch with; none at an agent. */
    agents(): readonly SpreadAgent[];
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
     * The platform's store; agents have none.
     * @default undefined
     */
    readonly store?: KeyValueStore;
}

/** Called with each configuration that comes into force, in order of revision. */
export type InstalledListener = (configuration: InstalledConfiguration) => void;

/** A process's configuration. */
export interface Configuration {
    /** The configuration in force; `undefined` before the first. */
    current(): InstalledConfiguration | undefined;
    /** The revision in force; 0 for none. */
    revision(): number;
    /** Calls back at each installation; returns how to stop that. */
    onInstalled(listener: InstalledListener): () => void;
    /** Takes in the body of a message on the configuration topic. False where it is malformed. */
    handle(body: unknown, from: string): boolean;
    /** Takes in the revision that any other message of a peer carried. */
    observeRevision(from: string, revision: number): void;
    /** To be called when the peers have changed. */
    peersChanged(): void;
    start(): void;
    stop(): void;
}

/** Makes a process's configuration; it does nothing before `start`. */
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
    private knownPeers: string | undefined;
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
            this.options.logger.warn("a malformed configuration message was dropped", { from });
            return false;
        }
        this.dispatch({ kind: ReplicaEventKind.Message, from, message: body });
        return true;
    }

    observeRevision(from: string, revision: number): void {
        // Equal revisions are the usual case on every message of every request.
        if (revision !== this.replica.revision) {
            this.dispatch({ kind: ReplicaEventKind.RevisionObserved, from, revision });
        }
    }

    peersChanged(): void {
        const routers = this.options.peers.routers();
        const agents = this.options.peers.agents();
        const agentNames = agents.map((agent) => `${agent.instance}${agent.isHome ? "!" : ""}`);
        const names = [...routers.map((router) => router.instance), "", ...agentNames].join(" ");
        this.peersReadAt = this.options.clock.now();
        if (names !== this.knownPeers) {
            this.knownPeers = names;
            this.dispatch({ kind: ReplicaEventKind.PeersChanged, routers, agents });
        }
    }

    start(): void {
        this.isRunning = true;
        this.knownPeers = undefined;
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
        if (this.options.clock.now() - this.peersReadAt >= peersInterval) {
            this.peersChanged();
        }
        this.dispatch({ kind: ReplicaEventKind.Tick });
        this.cancelTick = this.options.clock.schedule(tickInterval, () => this.tick());
    }

    /** Handles events one after another, also those that arise while one is handled. */
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
            logger.debug("the configuration's root could not be read", { error: read?.error.message });
            return;
        }
        rootOf(read.value).match(
            (stored) => this.receiveRoot(stored.root),
            (error) => logger.error("the configuration's root is malformed", { error: error.message }),
        );
    }

    private receiveRoot(root: RootRecord | undefined): void {
        if (root === undefined) {
            return;
        }
        if (root.revision < this.replica.revision) {
            this.options.logger.error("the store holds a lower revision than the one in force", {
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
            logger.warn("the configuration could not be loaded", { error: loaded.error.message });
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
                    this.options.logger.error("the configuration's root is malformed", {
                        error: error.message,
                    }),
            );
        });
    }

    private install(configuration: ReplicaConfiguration): void {
        const { revision, manifest } = configuration;
        const index = new ManifestIndex(manifest.toManifest());
        this.installed = { revision, index };
        this.options.logger.info("a configuration is in force", { revision });
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
