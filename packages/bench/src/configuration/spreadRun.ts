/**
 * Measures how accepted changes spread over a fleet: the product's replicas on simulated time.
 *
 * @module
 */
import { type Milliseconds, seededRandom, sha256Hex } from "@redwingpin/common";
import {
    decodeRoot,
    ReplicaNetwork,
    rootKey,
    type SimulatedReplica,
    submission,
} from "@redwingpin/configuration";
import type { ClientAccount, Manifest } from "@redwingpin/manifest";
import { StoreFault } from "@redwingpin/outside";
import { Topic } from "@redwingpin/protocol";
import { quantilesOf } from "../quantiles.js";
import { wireBytes } from "./wireBytes.js";

/** One fleet. */
export interface SpreadOptions {
    readonly routers: number;
    readonly agentsPerRouter: number;
    readonly dataCentres: number;
    /** Time of a message between any two processes. */
    readonly latency: Milliseconds;
    readonly seed: number;
    /** Changes that are accepted while it is measured. */
    readonly changes: number;
    /** Time between two changes. */
    readonly changeInterval: Milliseconds;
}

/** What was measured. */
export interface SpreadMeasures {
    readonly routers: number;
    readonly agents: number;
    /** Milliseconds from acceptance until in force at routers, over routers and changes. */
    readonly routerInForceMedian: number;
    readonly routerInForceP99: number;
    /** The last router of the slowest change. */
    readonly routerInForceLast: number;
    /** The same at agents. */
    readonly agentInForceMedian: number;
    readonly agentInForceLast: number;
    /** Bytes a second, sent and received, at a router that does not watch the store, at one that does, and at an agent. */
    readonly routerBytesPerSecond: number;
    readonly watcherBytesPerSecond: number;
    readonly agentBytesPerSecond: number;
    readonly storeReadsPerSecond: number;
    readonly storeWritesPerChange: number;
    /** Processor time of one process as a share of a core, mean over all. */
    readonly processorShare: number;
    /** Milliseconds until the last router has a configuration after all restart with the store down. */
    readonly herdLast: number;
}

const accountCount = 200;
const settleTime: Milliseconds = 10_000;
const herdTime: Milliseconds = 5_000;
const millisecondsPerSecond = 1_000;
const microsecondsPerMillisecond = 1_000;

/** Runs one fleet. */
export function runSpread(options: SpreadOptions): SpreadMeasures {
    return new SpreadRun(options).run();
}

class SpreadRun {
    private readonly network: ReplicaNetwork;
    private readonly bytes = new Map<string, number>();
    private readonly acceptedAt = new Map<number, Milliseconds>();
    private readonly revisions = new Map<string, number>();
    private readonly inForceAtRouters: Milliseconds[] = [];
    private readonly inForceAtAgents: Milliseconds[] = [];
    private readonly encoded = new WeakMap<object, number>();
    private isMeasuring = false;
    private manifest: Manifest = { models: [], pools: [], accounts: initialAccounts(), routes: [] };
    private submissions = 0;

    constructor(private readonly options: SpreadOptions) {
        this.network = new ReplicaNetwork({
            random: seededRandom(options.seed),
            latency: options.latency,
            onInstall: (node, configuration) => this.installed(node, configuration.revision),
            onSend: (from, to, message) => this.sent(from, to, message),
            onStored: (entry) => {
                const root = entry.key === rootKey ? decodeRoot(entry.value) : undefined;
                if (root !== undefined) {
                    this.acceptedAt.set(root.revision, this.network.now);
                }
            },
            onStoreRead: (by, size) => this.count(by, size),
        });
        for (let index = 0; index < options.routers; index++) {
            const dataCentre = `dc-${index % options.dataCentres}`;
            this.network.add(`router-${index}`, dataCentre);
            for (let agent = 0; agent < options.agentsPerRouter; agent++) {
                const second = (index + options.dataCentres) % options.routers;
                this.network.add(`agent-${index}-${agent}`, dataCentre, [
                    `router-${index}`,
                    `router-${second}`,
                ]);
            }
        }
    }

    run(): SpreadMeasures {
        this.network.tellPeers();
        this.submit();
        this.network.pass(settleTime);
        const { counts } = this.network.store;
        const before = { ...counts };
        const startedAt = this.network.now;
        const processor = process.cpuUsage();
        this.isMeasuring = true;
        for (let change = 0; change < this.options.changes; change++) {
            this.changeOneAccount();
            this.submit();
            this.network.pass(this.options.changeInterval);
        }
        this.isMeasuring = false;
        const seconds = (this.network.now - startedAt) / millisecondsPerSecond;
        const used = process.cpuUsage(processor);
        const usedSeconds = (used.user + used.system) / microsecondsPerMillisecond / millisecondsPerSecond;
        const nodes = [...this.network.nodes.values()];
        const atRouters = quantilesOf(this.inForceAtRouters);
        return {
            routers: this.options.routers,
            agents: nodes.length - this.options.routers,
            routerInForceMedian: atRouters.median,
            routerInForceP99: atRouters.p99,
            routerInForceLast: largestOf(this.inForceAtRouters),
            agentInForceMedian: quantilesOf(this.inForceAtAgents).median,
            agentInForceLast: largestOf(this.inForceAtAgents),
            routerBytesPerSecond: this.meanBytes(nodes, (node) => node.isRouter && !node.isWatching)
                / seconds,
            watcherBytesPerSecond: this.meanBytes(nodes, (node) => node.isWatching) / seconds,
            agentBytesPerSecond: this.meanBytes(nodes, (node) => !node.isRouter) / seconds,
            storeReadsPerSecond: (counts.reads - before.reads) / seconds,
            storeWritesPerChange: (counts.writes - before.writes) / this.options.changes,
            processorShare: usedSeconds / seconds / nodes.length,
            herdLast: this.restartRouters(),
        };
    }

    private restartRouters(): Milliseconds {
        this.network.pass(settleTime);
        this.network.store.fault = StoreFault.Down;
        const routers = [...this.network.nodes.values()].filter((node) => node.isRouter);
        this.network.restartAll(routers.map((node) => node.self.instance));
        const start = this.network.now;
        while (this.network.now - start < herdTime && routers.some((node) => node.replica.revision === 0)) {
            this.network.pass(1);
        }
        return this.network.now - start;
    }

    private submit(): void {
        const request = {
            manifest: this.manifest,
            submission: `submission-${this.submissions++}`,
            submittedAt: this.network.now,
        };
        this.network.run(submission(request), () => true, () => {});
    }

    /** Issues a key, withdraws it or changes a rate, in turn. */
    private changeOneAccount(): void {
        const index = this.submissions % accountCount;
        const accounts = this.manifest.accounts.map((account, position) =>
            position === index ? changed(account, this.submissions) : account
        );
        this.manifest = { ...this.manifest, accounts };
    }

    /** An installation brings every revision since the process's last one into force. */
    private installed(node: SimulatedReplica, revision: number): void {
        const { instance } = node.self;
        const before = this.revisions.get(instance) ?? 0;
        this.revisions.set(instance, revision);
        const times = node.isRouter ? this.inForceAtRouters : this.inForceAtAgents;
        for (let reached = before + 1; this.isMeasuring && reached <= revision; reached++) {
            const accepted = this.acceptedAt.get(reached);
            if (accepted !== undefined) {
                times.push(this.network.now - accepted);
            }
        }
    }

    private sent(from: string, to: string, message: object): void {
        if (!this.isMeasuring) {
            return;
        }
        const size = this.encoded.get(message) ?? wireBytes(Topic.Configuration, message, false);
        this.encoded.set(message, size);
        this.count(from, size);
        this.count(to, size);
    }

    private count(instance: string, size: number): void {
        if (this.isMeasuring) {
            this.bytes.set(instance, (this.bytes.get(instance) ?? 0) + size);
        }
    }

    private meanBytes(
        nodes: readonly SimulatedReplica[],
        isCounted: (node: SimulatedReplica) => boolean,
    ): number {
        const counted = nodes.filter(isCounted);
        const sum = counted.reduce((total, node) => total + (this.bytes.get(node.self.instance) ?? 0), 0);
        return counted.length === 0 ? 0 : sum / counted.length;
    }
}

function largestOf(values: readonly number[]): number {
    return values.reduce((largest, value) => Math.max(largest, value), 0);
}

function initialAccounts(): ClientAccount[] {
    return Array.from({ length: accountCount }, (_, index) => ({
        name: `account-${index}`,
        tokensPerSecond: 1_000,
        burstTokens: 20_000,
        keys: [{ name: "first", digest: `sha256:${sha256Hex(`first ${index}`)}` }],
    }));
}

const kindsOfChanges = 3;

function changed(account: ClientAccount, submissions: number): ClientAccount {
    switch (submissions % kindsOfChanges) {
        case 0: {
            const key = { name: `key-${submissions}`, digest: `sha256:${sha256Hex(`key ${submissions}`)}` };
            return { ...account, keys: [...account.keys, key] };
        }
        case 1:
            return { ...account, keys: account.keys.slice(1) };
        default:
            return { ...account, tokensPerSecond: account.tokensPerSecond + submissions };
    }
}
