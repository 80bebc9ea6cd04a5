/**
 * Measures the propagation of accepted changes in a fleet: the product's replicas in simulated time.
 *
 * @module
 */
import { type Milliseconds, seededRandom, sha256Hex } from "@redwingpin/common";
import {
    decodeRoot,
    ReplicaNetwork,
    rootKey,
    type SimulatedReplica,
    submitRevision,
} from "@redwingpin/configuration";
import type { ClientAccount, Manifest } from "@redwingpin/manifest";
import { StoreFault } from "@redwingpin/outside";
import { Topic } from "@redwingpin/protocol";
import { quantilesOf } from "../quantiles.js";
import { wireBytes } from "./wireBytes.js";

/** Options of {@link runPropagation}. */
export interface PropagationOptions {
    readonly routers: number;
    readonly agentsPerRouter: number;
    readonly dataCentres: number;
    /** One-way latency of a message between any two processes. */
    readonly latency: Milliseconds;
    readonly seed: number;
    /** Number of changes accepted during the measurement. */
    readonly changes: number;
    /** Time between two changes. */
    readonly changeInterval: Milliseconds;
}

/** Results for one fleet. They are printed as JSON under these names. */
export interface PropagationMeasures {
    readonly routers: number;
    readonly agents: number;
    /** Milliseconds from the acceptance of a change until it is in force at a router, over routers and changes. */
    readonly routerInForceMedian: number;
    readonly routerInForceP99: number;
    /** The same at the last router, for the slowest change. */
    readonly routerInForceLast: number;
    /** The same times at agents. */
    readonly agentInForceMedian: number;
    readonly agentInForceLast: number;
    /** Bytes sent and received per second at a router that does not watch the store; mean over these routers. */
    readonly routerBytesPerSecond: number;
    /** The same at a router that watches the store. */
    readonly watcherBytesPerSecond: number;
    /** The same at an agent. */
    readonly agentBytesPerSecond: number;
    readonly storeReadsPerSecond: number;
    readonly storeWritesPerChange: number;
    /** Processor time of one process as a share of a core; mean over all processes. */
    readonly processorShare: number;
    /** Milliseconds from a mass restart of the routers, with the store down, until the last one has a configuration. */
    readonly herdLast: number;
}

const accountCount = 200;
const settleTime: Milliseconds = 10_000;
const massRestartTimeout: Milliseconds = 5_000;
const millisecondsPerSecond = 1_000;
const microsecondsPerMillisecond = 1_000;

/** Simulates one fleet. */
export function runPropagation(options: PropagationOptions): PropagationMeasures {
    return new PropagationRun(options).run();
}

class PropagationRun {
    private readonly network: ReplicaNetwork;
    private readonly bytes = new Map<string, number>();
    private readonly acceptedAt = new Map<number, Milliseconds>();
    private readonly revisions = new Map<string, number>();
    private readonly inForceAtRouters: Milliseconds[] = [];
    private readonly inForceAtAgents: Milliseconds[] = [];
    private readonly messageSizes = new WeakMap<object, number>();
    private isMeasuring = false;
    private manifest: Manifest = { models: [], pools: [], accounts: createAccounts(), routes: [] };
    private submissions = 0;

    constructor(private readonly options: PropagationOptions) {
        this.network = new ReplicaNetwork({
            random: seededRandom(options.seed),
            latency: options.latency,
            onInstall: (node, configuration) => this.recordInstallation(node, configuration.revision),
            onSend: (from, to, message) => this.recordMessage(from, to, message),
            onStored: (entry) => {
                const root = entry.key === rootKey ? decodeRoot(entry.value) : undefined;
                if (root !== undefined) {
                    this.acceptedAt.set(root.revision, this.network.now);
                }
            },
            onStoreRead: (by, size) => this.countBytes(by, size),
        });
        for (let index = 0; index < options.routers; index++) {
            const dataCentre = `dc-${index % options.dataCentres}`;
            this.network.add(`router-${index}`, dataCentre);
            for (let agent = 0; agent < options.agentsPerRouter; agent++) {
                const secondRouter = (index + options.dataCentres) % options.routers;
                this.network.add(`agent-${index}-${agent}`, dataCentre, [
                    `router-${index}`,
                    `router-${secondRouter}`,
                ]);
            }
        }
    }

    run(): PropagationMeasures {
        this.network.updatePeers();
        this.submit();
        this.network.advance(settleTime);
        const { counts } = this.network.store;
        const before = { ...counts };
        const startedAt = this.network.now;
        const processor = process.cpuUsage();
        this.isMeasuring = true;
        for (let change = 0; change < this.options.changes; change++) {
            this.changeOneAccount();
            this.submit();
            this.network.advance(this.options.changeInterval);
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
            routerInForceLast: maxOf(this.inForceAtRouters),
            agentInForceMedian: quantilesOf(this.inForceAtAgents).median,
            agentInForceLast: maxOf(this.inForceAtAgents),
            routerBytesPerSecond: this.meanBytes(nodes, (node) => node.isRouter && !node.isWatching)
                / seconds,
            watcherBytesPerSecond: this.meanBytes(nodes, (node) => node.isWatching) / seconds,
            agentBytesPerSecond: this.meanBytes(nodes, (node) => !node.isRouter) / seconds,
            storeReadsPerSecond: (counts.reads - before.reads) / seconds,
            storeWritesPerChange: (counts.writes - before.writes) / this.options.changes,
            processorShare: usedSeconds / seconds / nodes.length,
            herdLast: this.measureMassRestart(),
        };
    }

    private measureMassRestart(): Milliseconds {
        this.network.advance(settleTime);
        this.network.store.fault = StoreFault.Down;
        const routers = [...this.network.nodes.values()].filter((node) => node.isRouter);
        this.network.restartAll(routers.map((node) => node.self.instance));
        const start = this.network.now;
        while (
            this.network.now - start < massRestartTimeout
            && routers.some((node) => node.replica.revision === 0)
        ) {
            this.network.advance(1);
        }
        return this.network.now - start;
    }

    private submit(): void {
        const request = {
            manifest: this.manifest,
            submission: `submission-${this.submissions++}`,
            submittedAt: this.network.now,
        };
        this.network.run(submitRevision(request), () => true, () => {});
    }

    /** Adds a key to an account, removes one or changes the account's rate, in turn. */
    private changeOneAccount(): void {
        const index = this.submissions % accountCount;
        const accounts = this.manifest.accounts.map((account, position) =>
            position === index ? changeAccount(account, this.submissions) : account
        );
        this.manifest = { ...this.manifest, accounts };
    }

    /** Records the propagation time of each installed revision. An installation may apply several revisions. */
    private recordInstallation(node: SimulatedReplica, revision: number): void {
        const { instance } = node.self;
        const previous = this.revisions.get(instance) ?? 0;
        this.revisions.set(instance, revision);
        const times = node.isRouter ? this.inForceAtRouters : this.inForceAtAgents;
        for (let installed = previous + 1; this.isMeasuring && installed <= revision; installed++) {
            const accepted = this.acceptedAt.get(installed);
            if (accepted !== undefined) {
                times.push(this.network.now - accepted);
            }
        }
    }

    private recordMessage(from: string, to: string, message: object): void {
        if (!this.isMeasuring) {
            return;
        }
        const size = this.messageSizes.get(message) ?? wireBytes(Topic.Configuration, message, false);
        this.messageSizes.set(message, size);
        this.countBytes(from, size);
        this.countBytes(to, size);
    }

    private countBytes(instance: string, size: number): void {
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

function maxOf(values: readonly number[]): number {
    return values.reduce((maximum, value) => Math.max(maximum, value), 0);
}

function createAccounts(): ClientAccount[] {
    return Array.from({ length: accountCount }, (_, index) => ({
        name: `account-${index}`,
        tokensPerSecond: 1_000,
        burstTokens: 20_000,
        keys: [{ name: "first", digest: `sha256:${sha256Hex(`first ${index}`)}` }],
    }));
}

const changeKindCount = 3;

function changeAccount(account: ClientAccount, submissions: number): ClientAccount {
    switch (submissions % changeKindCount) {
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
