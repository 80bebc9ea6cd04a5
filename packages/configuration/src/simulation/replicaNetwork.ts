/**
 * Configuration replicas of routers and agents on simulated time, with a network that can be cut or lossy and a store
 * with faults. For fuzzing and experiments; it holds no decision of its own.
 *
 * @module
 */
import { assertNever, type Milliseconds, type RandomSource } from "@redwingpin/common";
import { type StoreEntry, StoreFault } from "@redwingpin/outside";
import type { ConfigurationMessage } from "@redwingpin/protocol";
import { ConfigurationReplica } from "../decision/configurationReplica.js";
import { loadConfiguration, loadContent, rootOf } from "../decision/loadConfiguration.js";
import {
    type ReplicaConfiguration,
    type ReplicaEffect,
    ReplicaEffectKind,
    type ReplicaEvent,
    ReplicaEventKind,
    type SpreadAgent,
    type SpreadPeer,
} from "../decision/replicaEvents.js";
import { type StoreDecision, StoreEffectKind } from "../decision/storeDecision.js";
import { rootKey } from "../records.js";
import { SimulatedStore } from "./simulatedStore.js";

const tickInterval: Milliseconds = 100;
const delayedEffectTime: Milliseconds = 700;
const slowStoreFactor = 100;
const lostShare = 0.3;
const doubledShare = 0.2;
const maximumExtraDelay = 400;

/** One process of the network. */
export interface SimulatedReplica {
    readonly self: SpreadPeer;
    readonly isRouter: boolean;
    /** At agents, the routers that are in touch with it; the first keeps it up to date. */
    readonly keepers: readonly string[];
    replica: ConfigurationReplica;
    /** Differs at each start. */
    start: number;
    isFrozen: boolean;
    isWatching: boolean;
}

/** Hooks and delays of {@link ReplicaNetwork}. */
export interface ReplicaNetworkOptions {
    readonly random: RandomSource;
    /** Time of a message or of half a store call. */
    readonly latency: Milliseconds;
    readonly onInstall: (
        node: SimulatedReplica,
        configuration: ReplicaConfiguration,
        now: Milliseconds,
    ) => void;
    /** Called for each message that is sent. */
    readonly onSend: (from: string, to: string, message: ConfigurationMessage) => void;
    /** Called when a record of the store takes effect. */
    readonly onStored: (entry: StoreEntry) => void;
    /** Called when a process reads from the store. */
    readonly onStoreRead?: (by: string, bytes: number) => void;
}

/** The network. */
export class ReplicaNetwork {
    now: Milliseconds = 0;
    isLossy = false;
    readonly store: SimulatedStore;
    readonly nodes = new Map<string, SimulatedReplica>();
    private readonly cuts = new Set<string>();
    private readonly storeCuts = new Set<string>();
    private readonly due = new Map<Milliseconds, (() => void)[]>();

    constructor(private readonly options: ReplicaNetworkOptions) {
        this.store = new SimulatedStore((entry) => this.stored(entry));
    }

    /** Adds a process; it starts with {@link ReplicaNetwork.tellPeers}. An agent has keepers, a router has none. */
    add(instance: string, dataCentre: string, keepers: readonly string[] = []): void {
        const self = { instance, dataCentre };
        const isRouter = keepers.length === 0;
        this.nodes.set(instance, {
            self,
            isRouter,
            keepers,
            replica: this.createReplica(self, isRouter),
            start: 0,
            isFrozen: false,
            isWatching: false,
        });
        const offset = this.options.random.integerBelow(tickInterval);
        this.at(this.now + offset, () => this.tick(instance));
    }

    /** Tells every process its peers. */
    tellPeers(): void {
        const routers = [...this.nodes.values()].filter((node) => node.isRouter).map((node) => node.self);
        const agents = new Map<string, SpreadAgent[]>();
        for (const { self, keepers } of this.nodes.values()) {
            keepers.forEach((keeper, index) => {
                const agent = { instance: self.instance, isHome: index === 0 };
                agents.set(keeper, [...agents.get(keeper) ?? [], agent]);
            });
        }
        for (const node of this.nodes.values()) {
            this.tell(node, routers, agents.get(node.self.instance) ?? []);
        }
    }

    /** Ends a process and starts it anew, without memory. */
    restart(instance: string): void {
        this.restartAll([instance]);
    }

    /** Ends processes at once and starts them anew, without memory. */
    restartAll(instances: readonly string[]): void {
        for (const instance of instances) {
            const node = this.nodes.get(instance)!;
            node.replica = this.createReplica(node.self, node.isRouter);
            node.start++;
            node.isFrozen = false;
            node.isWatching = false;
        }
        this.tellPeers();
    }

    freeze(instance: string): void {
        this.nodes.get(instance)!.isFrozen = true;
    }

    cut(one: string, other: string): void {
        this.cuts.add(`${one} ${other}`).add(`${other} ${one}`);
    }

    cutFromStore(instance: string): void {
        this.storeCuts.add(instance);
    }

    /** Ends every cut, loss and pause of the network; the store stays as it is. */
    heal(): void {
        this.cuts.clear();
        this.storeCuts.clear();
        this.isLossy = false;
        for (const node of this.nodes.values()) {
            node.isFrozen = false;
        }
    }

    /** Lets time pass. */
    pass(duration: Milliseconds): void {
        const end = this.now + duration;
        while (this.now < end) {
            for (let next = this.due.get(this.now)?.shift(); next; next = this.due.get(this.now)?.shift()) {
                next();
            }
            this.due.delete(this.now);
            this.now++;
        }
    }

    /** Runs a decision of a process, or of an operator, against the store; `isAlive` ends it early. */
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
            const pause = effect.kind === StoreEffectKind.Pause ? effect.milliseconds : 0;
            this.after(latency + pause, () => {
                const event = this.store.perform(effect, (apply) => this.after(delayedEffectTime, apply));
                if ("entries" in event) {
                    const bytes = event.entries.reduce((sum, entry) => sum + entry.value.length, 0);
                    this.options.onStoreRead?.(by, bytes);
                }
                this.after(latency, () => isAlive() && step(decision.next(event)));
            });
        };
        step(decision.next());
    }

    /** Runs `callback` after a time. */
    after(delay: Milliseconds, callback: () => void): void {
        this.at(this.now + Math.max(1, Math.round(delay)), callback);
    }

    private at(time: Milliseconds, callback: () => void): void {
        const list = this.due.get(time);
        if (list === undefined) {
            this.due.set(time, [callback]);
        }
        else {
            list.push(callback);
        }
    }

    private createReplica(self: SpreadPeer, readsStore: boolean): ConfigurationReplica {
        return new ConfigurationReplica({ self, random: this.options.random, readsStore });
    }

    private tell(
        node: SimulatedReplica,
        routers: readonly SpreadPeer[],
        agents: readonly SpreadAgent[],
    ): void {
        const known = node.isRouter
            ? routers
            : routers.filter((router) => node.keepers.includes(router.instance));
        const others = known.filter((router) => router.instance !== node.self.instance);
        this.dispatch(node, { kind: ReplicaEventKind.PeersChanged, routers: others, agents });
    }

    private tick(instance: string): void {
        this.at(this.now + tickInterval, () => this.tick(instance));
        const node = this.nodes.get(instance)!;
        if (!node.isFrozen) {
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
        const copies = this.isLossy && random.unit() < doubledShare ? 2 : 1;
        for (let copy = 0; copy < copies; copy++) {
            if (this.cuts.has(`${from} ${to}`) || (this.isLossy && random.unit() < lostShare)) {
                continue;
            }
            const extra = this.isLossy ? random.integerBelow(maximumExtraDelay) : 0;
            this.after(latency + extra, () => this.deliver(from, to, message));
        }
    }

    /** What arrives at a frozen process waits in its socket. */
    private deliver(from: string, to: string, message: ConfigurationMessage): void {
        const node = this.nodes.get(to);
        if (node === undefined) {
            return;
        }
        if (node.isFrozen) {
            this.after(tickInterval, () => this.deliver(from, to, message));
            return;
        }
        this.dispatch(node, { kind: ReplicaEventKind.Message, from, message });
    }

    private readRoot(node: SimulatedReplica): void {
        this.options.onStoreRead?.(node.self.instance, this.store.peek(rootKey)?.value.length ?? 0);
        this.store.counts.reads++;
        this.after(this.options.latency, () => this.deliverRoot(node, node.start));
    }

    private deliverRoot(node: SimulatedReplica, start: number): void {
        const isCut = this.storeCuts.has(node.self.instance) || this.store.fault === StoreFault.Down;
        const root = rootOf(this.store.peek(rootKey)).unwrapOr(undefined)?.root;
        if (root !== undefined && !isCut && !node.isFrozen && node.start === start) {
            this.dispatch(node, { kind: ReplicaEventKind.RootRead, root });
        }
    }

    private load(
        node: SimulatedReplica,
        effect: Extract<ReplicaEffect, { kind: ReplicaEffectKind.LoadContent; }>,
    ): void {
        const { start, self } = node;
        const isAlive = () => node.start === start && !this.storeCuts.has(self.instance);
        this.run(loadContent(effect.root, effect.known), isAlive, (loaded) => {
            if (loaded.isErr() && loaded.error.kind === "replaced") {
                this.run(
                    loadConfiguration(),
                    isAlive,
                    (again) => this.loaded(node, again.unwrapOr(undefined)),
                    self.instance,
                );
                return;
            }
            this.loaded(node, loaded.unwrapOr(undefined));
        }, self.instance);
    }

    private loaded(
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

    private stored(entry: StoreEntry): void {
        this.options.onStored(entry);
        if (entry.key !== rootKey || this.store.fault === StoreFault.Down) {
            return;
        }
        for (const node of this.nodes.values()) {
            if (node.isWatching) {
                this.options.onStoreRead?.(node.self.instance, entry.value.length);
                this.after(this.options.latency, () => this.deliverRoot(node, node.start));
            }
        }
    }
}
