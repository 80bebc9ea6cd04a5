/**
 * A simulated site for the configuration fuzz target: routers, agents, operators and the store. Its oracle records
 * every submission that the store accepts.
 *
 * @module
 */
import { type RandomSource, seededRandom, sha256Hex } from "@redwingpin/common";
import {
    decodeRoot,
    type ReplicaConfiguration,
    ReplicaNetwork,
    rootKey,
    type SimulatedReplica,
    type StoreDecision,
    type StoreEffect,
    StoreEffectKind,
    type SubmissionError,
    type SubmissionOutcome,
    submitRevision,
} from "@redwingpin/configuration";
import { type Manifest, ManifestIndex } from "@redwingpin/manifest";
import { type StoreEntry, StoreFault } from "@redwingpin/outside";
import type { Result } from "neverthrow";

export const routerNames = ["r0", "r1", "r2", "r3", "r4", "r5"] as const;
export const agentNames = ["a0", "a1", "a2", "a3", "a4", "a5"] as const;

/** Time within which every reachable process must install the highest revision (target of the project). */
export const convergenceBoundMilliseconds = 3_000;

/** Time within which a restarted process must serve while the store is down. */
export const startBoundMilliseconds = 1_000;

const networkLatencyMilliseconds = 2;
const submissionMilliseconds = 100;
const operatorTimeoutMilliseconds = 15_000;

/** A submission that the store accepted. */
interface AcceptedSubmission {
    readonly revision: number;
    readonly submission: string;
    readonly digest: string;
}

/** Result that one attempt to submit reported to its operator. */
interface AttemptResult {
    readonly submission: string;
    readonly result: Result<SubmissionOutcome, SubmissionError>;
}

export interface SubmissionOptions {
    readonly hasKey: boolean;
    /** True for a manifest of several shards. */
    readonly isLarge: boolean;
    /** Milliseconds for which the submission is paused before the write that accepts it. */
    readonly pause: number;
}

/** The simulated site with its oracle. */
export class ConfigurationSite {
    readonly network: ReplicaNetwork;
    private readonly random: RandomSource;
    private readonly accepted: AcceptedSubmission[] = [];
    private readonly attemptResults: AttemptResult[] = [];
    private readonly violations: string[] = [];
    private readonly highestRevisions = new Map<string, number>();
    private readonly hasKeyBySubmission = new Map<string, boolean>();
    private pendingSubmissions = 0;

    constructor(seed: number) {
        this.random = seededRandom(seed);
        this.network = new ReplicaNetwork({
            random: this.random,
            latency: networkLatencyMilliseconds,
            onInstall: (node, configuration) => this.checkInstalled(node, configuration),
            onSend: () => {},
            onStored: (entry) => this.recordAccepted(entry),
        });
        routerNames.forEach((name, index) => this.network.add(name, index % 2 === 0 ? "hobart" : "burnie"));
        agentNames.forEach((name, index) => {
            const connectedRouters = [routerNames[index], routerNames[(index + 1) % routerNames.length]];
            this.network.add(name, "hobart", connectedRouters);
        });
        this.network.updatePeers();
    }

    /** Submits a manifest; the submission is paused before the one write that accepts it. */
    submit(identifier: string, options: SubmissionOptions): void {
        const { hasKey, isLarge, pause } = options;
        const manifest = manifestOf(identifier, hasKey, isLarge);
        const request = { manifest, submission: identifier, submittedAt: 0 };
        this.hasKeyBySubmission.set(identifier, hasKey);
        this.pendingSubmissions++;
        this.network.run(pausedBeforeRoot(submitRevision(request), pause), () => true, (result) => {
            this.pendingSubmissions--;
            this.attemptResults.push({ submission: identifier, result });
        });
    }

    /** Heals the network, but not the store, and checks that every process installs the highest revision in time. */
    checkConvergence(): void {
        const target = Math.max(...[...this.network.nodes.values()].map((node) => node.replica.revision));
        this.network.heal();
        this.network.advance(convergenceBoundMilliseconds);
        for (const node of this.network.nodes.values()) {
            if (node.replica.revision < target) {
                this.addViolation(
                    `${node.self.instance} is at revision ${node.replica.revision}, expected ${target}`,
                );
            }
        }
    }

    /**
     * Partitions one router from the store and from every other router, but not from agents, and checks that it still
     * installs a new submission in time.
     */
    checkPartitionedRouter(instance: string, identifier: string, options: SubmissionOptions): void {
        this.network.heal();
        this.network.store.fault = StoreFault.None;
        this.network.advance(convergenceBoundMilliseconds);
        this.network.partitionFromStore(instance);
        routerNames.filter((name) => name !== instance).forEach((name) =>
            this.network.partition(instance, name)
        );
        this.submit(identifier, { ...options, pause: 0 });
        this.network.advance(submissionMilliseconds);
        const target = this.accepted.at(-1)?.revision ?? 0;
        this.network.advance(convergenceBoundMilliseconds);
        const { revision } = this.network.nodes.get(instance)!.replica;
        if (revision < target) {
            this.addViolation(
                `${instance}, connected to agents only, is at revision ${revision}, expected ${target}`,
            );
        }
    }

    /** Restarts a router while the store is down; it must serve in time if another router has a configuration. */
    checkStart(instance: string): void {
        this.network.heal();
        this.network.store.fault = StoreFault.Down;
        const others = [...this.network.nodes.values()].filter((node) => node.self.instance !== instance);
        const canServe = others.some((node) => node.isRouter && node.replica.revision > 0);
        this.network.restart(instance);
        this.network.advance(startBoundMilliseconds);
        if (canServe && this.network.nodes.get(instance)!.replica.revision === 0) {
            this.addViolation(
                `${instance} has no configuration ${startBoundMilliseconds} ms after its start`,
            );
        }
    }

    /** Repairs every fault, waits until all submissions have ended, and returns every disagreement with the oracle. */
    finish(): readonly string[] {
        this.network.heal();
        this.network.store.fault = StoreFault.None;
        for (
            let waitedMilliseconds = 0;
            this.pendingSubmissions > 0 && waitedMilliseconds < operatorTimeoutMilliseconds;
            waitedMilliseconds += convergenceBoundMilliseconds
        ) {
            this.network.advance(convergenceBoundMilliseconds);
        }
        this.network.advance(convergenceBoundMilliseconds);
        this.checkOrder();
        this.checkReportedResults();
        this.checkFinalState();
        return this.violations;
    }

    private addViolation(text: string): void {
        this.violations.push(`${this.network.now} ms: ${text}`);
    }

    private recordAccepted(entry: StoreEntry): void {
        const root = entry.key === rootKey ? decodeRoot(entry.value) : undefined;
        if (root !== undefined) {
            this.accepted.push({
                revision: root.revision,
                submission: root.submission,
                digest: root.digest,
            });
        }
    }

    private checkInstalled(node: SimulatedReplica, configuration: ReplicaConfiguration): void {
        const { instance } = node.self;
        const processStart = `${instance} ${node.startCount}`;
        const before = this.highestRevisions.get(processStart) ?? 0;
        this.highestRevisions.set(processStart, configuration.revision);
        if (configuration.revision <= before) {
            this.addViolation(
                `${instance} replaced revision ${before} by ${configuration.revision}, which is not newer`,
            );
        }
        const accepted = this.accepted.find((other) => other.revision === configuration.revision);
        if (accepted?.digest !== configuration.manifest.digest) {
            this.addViolation(
                `${instance} installed a manifest that was not accepted as revision ${configuration.revision}`,
            );
        }
    }

    private checkOrder(): void {
        const identifiers = new Set(this.accepted.map((accepted) => accepted.submission));
        if (identifiers.size !== this.accepted.length) {
            this.addViolation("a submission was accepted twice");
        }
        this.accepted.forEach((accepted, index) => {
            if (accepted.revision !== index + 1) {
                this.addViolation(
                    `revision ${accepted.revision} was accepted where revision ${index + 1} was expected`,
                );
            }
        });
    }

    private checkReportedResults(): void {
        if (this.pendingSubmissions > 0) {
            this.addViolation(`${this.pendingSubmissions} submissions did not finish`);
        }
        for (const { submission: identifier, result } of this.attemptResults) {
            const accepted = this.accepted.find((other) => other.submission === identifier);
            const isReportedAccepted = result.isOk() && result.value.changed;
            if (isReportedAccepted && accepted?.revision !== result.value.revision) {
                this.addViolation(
                    `"${identifier}" was reported accepted as revision ${result.value.revision}, but was not`,
                );
            }
            if (result.isErr() && result.error.kind === "malformed") {
                this.addViolation(`"${identifier}" was reported malformed: ${result.error.message}`);
            }
            const isReportedNotApplied = result.isErr()
                && ["lostRace", "unavailable"].includes(result.error.kind);
            const attempts = this.attemptResults.filter((attempt) => attempt.submission === identifier);
            if (isReportedNotApplied && attempts.length === 1 && accepted !== undefined) {
                this.addViolation(`"${identifier}" was reported as not applied, but was accepted`);
            }
        }
    }

    private checkFinalState(): void {
        const last = this.accepted.at(-1);
        for (const node of this.network.nodes.values()) {
            const { current, revision } = node.replica;
            if (revision !== (last?.revision ?? 0)) {
                this.addViolation(
                    `${node.self.instance} ends at revision ${revision}, expected ${last?.revision}`,
                );
            }
            if (last !== undefined && current !== undefined) {
                const index = new ManifestIndex(current.manifest.toManifest());
                const isKnown = index.accountOfKey(sha256Hex(callerKey)) !== undefined;
                if (isKnown !== this.hasKeyBySubmission.get(last.submission)) {
                    this.addViolation(
                        `${node.self.instance} ${isKnown ? "accepts a withdrawn" : "refuses a valid"} key`,
                    );
                }
            }
        }
    }
}

const callerKey = "key of the maker";

const smallFillerAccounts = 10;
const largeFillerAccounts = 1_000;

/** A manifest that differs for each submission, with the key present or withdrawn; a large one has several shards. */
function manifestOf(identifier: string, hasKey: boolean, isLarge: boolean): Manifest {
    const keys = hasKey ? [{ name: "first", digest: `sha256:${sha256Hex(callerKey)}` }] : [];
    const account = { name: "maker", tokensPerSecond: 1000, burstTokens: 10_000, keys };
    const marker = { name: `marker-${identifier}`, tokensPerSecond: 1, burstTokens: 16, keys: [] };
    const filler = Array.from(
        { length: isLarge ? largeFillerAccounts : smallFillerAccounts },
        (_, index) => ({
            name: `filler-${index}`,
            tokensPerSecond: 10,
            burstTokens: 100,
            keys: [],
        }),
    );
    return { models: [], pools: [], accounts: [account, marker, ...filler], routes: [] };
}

/** Runs a decision and pauses it before its first write of the root, the write that accepts the submission. */
function* pausedBeforeRoot<Outcome>(decision: StoreDecision<Outcome>, pause: number): StoreDecision<Outcome> {
    let step = decision.next();
    let hasPaused = false;
    while (!step.done) {
        const effect: StoreEffect = step.value;
        if (!hasPaused && effect.kind === StoreEffectKind.Swap && effect.key === rootKey) {
            hasPaused = true;
            yield { kind: StoreEffectKind.Pause, milliseconds: pause };
        }
        step = decision.next(yield effect);
    }
    return step.value;
}
