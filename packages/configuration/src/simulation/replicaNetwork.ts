/**
 * Configuration replicas of routers and agents on simulated time, with a network that can be partitioned or lossy and a
 * store with faults. For fuzzing and experiments; it makes no decisions itself.
 *
 * @module
 */
import { assertNever, type Milliseconds, type RandomSource } from "@redwingpin/common";
import { type StoreEntry, StoreFault } from "@redwingpin/outside";
import type { ConfigurationMessage } from "@redwingpin/protocol";
import { ConfigurationReplica } from "../decision/configurationReplica.js";
import { loadConfiguration, loadContent, rootOf } from "../decision/loadConfiguration.js";
import {
    type AgentPeer,
    type ReplicaConfiguration,
    type ReplicaEffect,
    ReplicaEffectKind,
    type ReplicaEvent,
    ReplicaEventKind,
    type RouterPeer,
} from "../decision/replicaEvents.js";
import { type StoreDecision, StoreEffectKind } from "../decision/storeDecision.js";
import { rootKey } from "../records.js";
import { SimulatedStore } from "./simulatedStore.js";

const tickInterval: Milliseconds = 100;
const effectDelay: Milliseconds = 700;
const slowStoreFactor = 100;
const lossProbability = 0.3;
const duplicationProbability = 0.2;
const maximumExtraDelay = 400;

/** A process in the network. */
export interface SimulatedReplica {
    readonly self: RouterPeer;
    readonly isRouter: boolean;
    /** For an agent, the routers that are connected to it; the first one owns it. */
    readonly routers: readonly string[];
    replica: ConfigurationReplica;
    /** Number of restarts of the process. */
    startCount: number;
    isPaused: boolean;
    isWatching: boolean;
}

/** Hooks and delays of {@link ReplicaNetwork}. */
export interface ReplicaNetworkOptions {
    readonly random: RandomSource;
    /** Latency of a message; a store call takes twice as long. */
    readonly latency: Milliseconds;
    readonly onInstall: (
        node: SimulatedReplica,
        configuration: ReplicaConfiguration,
        now: Milliseconds,
    ) => void;
    /** Called for each message that is sent. */
    readonly onSend: (from: string, to: string, message: ConfigurationMessage) => void;
    /** Called when a write to the store takes effect. */
    readonly onStored: (entry: StoreEntry) => void;
    /** Called when a process reads from the store. */
    readonly onStoreRead?: (by: string, bytes: number) => void;
}

/** A simulated network of replicas. */
export class ReplicaNetwork {
    now: Milliseconds = 0;
    isLossy = false;
    readonly store: SimulatedStore;
    readonly nodes = new Map<string, SimulatedReplica>();
    private readonly partitions = new Set<string>();
    private readonly storePartitions = new Set<string>();
    private readonly scheduled = new Map<Milliseconds, (() => void)[]>();

    constructor(private readonly options: ReplicaNetworkOptions) {
        this.store = new SimulatedStore((entry) => this.recordStored(entry));
    }

    /** Adds a process; it starts with {@link ReplicaNetwork.updatePeers}. Only an agent has `routers`. */
    add(instance: string, dataCentre: string, routers: readonly string[] = []): void {
        const self = { instance, dataCentre };
        const isRouter = routers.length === 0;
        this.nodes.set(instance, {
            self,
            isRouter,
            routers,
            replica: this.createReplica(self, isRouter),
            startCount: 0,
            isPaused: false,
            isWatching: false,
        });
        const offset = this.options.random.integerBelow(tickInterval);
        this.scheduleAt(this.now + offset, () => this.tick(instance));
    }

    /** Notifies every process of its peers. */
    updatePeers(): void {
        const routers = [...this.nodes.values()].filter((node) => node.isRouter).map((node) => node.self);
        const agents = new Map<string, AgentPeer[]>();
        for (const { self, routers: agentRouters } of this.nodes.values()) {
            agentRouters.forEach((router, index) => {
                const agent = { instance: self.instance, isOwned: index === 0 };
                agents.set(router, [...agents.get(router) ?? [], agent]);
            });
        }
        for (const node of this.nodes.values()) {
            this.dispatchPeers(node, routers, agents.get(node.self.instance) ?? []);
        }
    }

    /** Restarts a process; it loses its state. */
    restart(instance: string): void {
        this.restartAll([instance]);
    }

    /** Restarts processes at the same time; they lose their state. */
    restartAll(instances: readonly string[]): void {
        for (const instance of instances) {
            const node = this.nodes.get(instance)!;
            node.replica = this.createReplica(node.self, node.isRouter);
            node.startCount++;
            node.isPaused = false;
            node.isWatching = false;
        }
        this.updatePeers();
    }

    pause(instance: string): void {
        this.nodes.get(instance)!.isPaused = true;
    }

    partition(one: string, other: string): void {
        this.partitions.add(`${one} ${other}`).add(`${other} ${one}`);
    }

    partitionFromStore(instance: string): void {
        this.storePartitions.add(instance);
    }

    /** Ends every partition, message loss and pause; a fault of the store stays. */
    heal(): void {
        this.partitions.clear();
        this.storePartitions.clear();
        this.isLossy = false;
        for (const node of this.nodes.values()) {
            node.isPaused = false;
        }
    }

    /** Advances the simulated time. */
    advance(duration: Milliseconds): void {
        const end = this.now + duration;
        while (this.now < end) {
            for (
                let next = this.scheduled.get(this.now)?.shift();
                next;
                next = this.scheduled.get(this.now)?.shift()
            ) {
                next();
            }
            this.scheduled.delete(this.now);
            this.now++;
        }
    }

    /** Runs a decision of a process or an operator against the store; it stops once `isAlive` returns false. */
    run<Outcome>(
        decision: StoreDecision<Outcome>,
        isAlive: () => boolean,
        onDone: (outcome: Outcome) => void,
        by = "",
    ): void {
        const isSlow = this.store.fault === StoreFault.Slow;
        const latency = this.options.latency * (isSlow ? slowStoreFactor : 1);
        const step = (result: ReturnType<typeof decision.next>): void => {
            if (result.done) {
                return onDone(result.value);
            }
            const effect = result.value;
            const delay = effect.kind === StoreEffectKind.Pause ? effect.milliseconds : 0;
            this.scheduleAfter(latency + delay, () => {
                const event = this.store.perform(effect, (apply) => this.scheduleAfter(effectDelay, apply));
                if ("entries" in event) {
                    const bytes = event.entries.reduce((sum, entry) => sum + entry.value.length, 0);
                    this.options.onStoreRead?.(by, bytes);
                }
                this.scheduleAfter(latency, () => isAlive() && step(decision.next(event)));
            });
        };
        step(decision.next());
    }

    /** Schedules `callback` after a delay. */
    scheduleAfter(delay: Milliseconds, callback: () => void): void {
        this.scheduleAt(this.now + Math.max(1, Math.round(delay)), callback);
    }

    private scheduleAt(time: Milliseconds, callback: () => void): void {
        const list = this.scheduled.get(time);
        if (list === undefined) {
            this.scheduled.set(time, [callback]);
        }
        else {
            list.push(callback);
        }
    }

    private createReplica(self: RouterPeer, readsStore: boolean): ConfigurationReplica {
        return new ConfigurationReplica({ self, random: this.options.random, readsStore });
    }

    private dispatchPeers(
        node: SimulatedReplica,
        routers: readonly RouterPeer[],
        agents: readonly AgentPeer[],
    ): void {
        const known = node.isRouter
            ? routers
            : routers.filter((router) => node.routers.includes(router.instance));
        const others = known.filter((router) => router.instance !== node.self.instance);
        this.dispatch(node, { kind: ReplicaEventKind.PeersChanged, routers: others, agents });
    }

    private tick(instance: string): void {
        this.scheduleAt(this.now + tickInterval, () => this.tick(instance));
        const node = this.nodes.get(instance)!;
        if (!node.isPaused) {
            this.dispatch(node, { kind: ReplicaEventKind.Tick });
        }
    }

    private dispatch(node: SimulatedReplica, event: ReplicaEvent): void {
        for (const effect of node.replica.receive(event, this.now)) {
            this.perform(node, effect);
        }
    }

    private perform(node: SimulatedReplica, effect: ReplicaEffect): void {
        switch (effect.kind) {
            case ReplicaEffectKind.Send:
                return this.send(node.self.instance, effect.to, effect.message);
            case ReplicaEffectKind.ReadRoot:
                return this.readRoot(node);
            case ReplicaEffectKind.LoadContent:
                return this.load(node, effect);
            case ReplicaEffectKind.SetWatching:
                node.isWatching = effect.watching;
                return;
            case ReplicaEffectKind.Install:
                return this.options.onInstall(node, effect.configuration, this.now);
            default:
                return assertNever(effect);
        }
    }

    private send(from: string, to: string, message: ConfigurationMessage): void {
        const { random, latency } = this.options;
        this.options.onSend(from, to, message);
        const copies = this.isLossy && random.unit() < duplicationProbability ? 2 : 1;
        for (let copy = 0; copy < copies; copy++) {
            if (this.partitions.has(`${from} ${to}`) || (this.isLossy && random.unit() < lossProbability)) {
                continue;
            }
            const extraDelay = this.isLossy ? random.integerBelow(maximumExtraDelay) : 0;
            this.scheduleAfter(latency + extraDelay, () => this.deliver(from, to, message));
        }
    }

    /** Delivers a message; one to a paused process is delayed until the process runs again, as in a socket's buffer. */
    private deliver(from: string, to: string, message: ConfigurationMessage): void {
        const node = this.nodes.get(to);
        if (node === undefined) {
            return;
        }
        if (node.isPaused) {
            this.scheduleAfter(tickInterval, () => this.deliver(from, to, message));
            return;
        }
        this.dispatch(node, { kind: ReplicaEventKind.Message, from, message });
    }

    private readRoot(node: SimulatedReplica): void {
        this.options.onStoreRead?.(node.self.instance, this.store.peek(rootKey)?.value.length ?? 0);
        this.store.counts.reads++;
        this.scheduleAfter(this.options.latency, () => this.deliverRoot(node, node.startCount));
    }

    private deliverRoot(node: SimulatedReplica, startCount: number): void {
        const isUnreachable = this.storePartitions.has(node.self.instance)
            || this.store.fault === StoreFault.Down;
        const root = rootOf(this.store.peek(rootKey)).unwrapOr(undefined)?.root;
        if (root !== undefined && !isUnreachable && !node.isPaused && node.startCount === startCount) {
            this.dispatch(node, { kind: ReplicaEventKind.RootRead, root });
        }
    }

    private load(
        node: SimulatedReplica,
        effect: Extract<ReplicaEffect, { kind: ReplicaEffectKind.LoadContent; }>,
    ): void {
        const { startCount, self } = node;
        const isAlive = () => node.startCount === startCount && !this.storePartitions.has(self.instance);
        this.run(loadContent(effect.root, effect.known), isAlive, (loaded) => {
            if (loaded.isErr() && loaded.error.kind === "replaced") {
                this.run(
                    loadConfiguration(),
                    isAlive,
                    (again) => this.finishLoad(node, again.unwrapOr(undefined)),
                    self.instance,
                );
                return;
            }
            this.finishLoad(node, loaded.unwrapOr(undefined));
        }, self.instance);
    }

    private finishLoad(
        node: SimulatedReplica,
        loaded: {
            root: { revision: number; };
            manifest: ReplicaConfiguration["manifest"];
        } | undefined,
    ): void {
        if (loaded === undefined) {
            return this.dispatch(node, { kind: ReplicaEventKind.LoadFailed });
        }
        const configuration = { revision: loaded.root.revision, manifest: loaded.manifest };
        this.dispatch(node, { kind: ReplicaEventKind.ContentLoaded, configuration });
    }

    private recordStored(entry: StoreEntry): void {
        this.options.onStored(entry);
        if (entry.key !== rootKey || this.store.fault === StoreFault.Down) {
            return;
        }
        for (const node of this.nodes.values()) {
            if (node.isWatching) {
                this.options.onStoreRead?.(node.self.instance, entry.value.length);
                this.scheduleAfter(this.options.latency, () => this.deliverRoot(node, node.startCount));
            }
        }
    }
}
