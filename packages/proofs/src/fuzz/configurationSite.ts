/**
 * A simulated site for the fuzz of the configuration: routers, agents, operators and the store, with an oracle that
 * knows every accepted submission from the store itself.
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
    submission,
    type SubmissionError,
    type SubmissionOutcome,
} from "@redwingpin/configuration";
import { type Manifest, ManifestIndex } from "@redwingpin/manifest";
import { type StoreEntry, StoreFault } from "@redwingpin/outside";
import type { Result } from "neverthrow";

/** Names of the site's processes. */
export const routerNames = ["r0", "r1", "r2", "r3", "r4", "r5"] as const;
export const agentNames = ["a0", "a1", "a2", "a3", "a4", "a5"] as const;

/** Bound within which all that can be reached is at the highest revision, from the project's target for today. */
export const convergenceBound = 3_000;

/** Bound within which a restarted process serves with the store down. */
export const startBound = 1_000;

const latency = 2;
const submissionTime = 100;
const operatorPatience = 15_000;

/** One accepted submission, as the store itself holds it. */
interface Accepted {
    readonly revision: number;
    readonly submission: string;
    readonly digest: string;
}

/** How one try of an operator ended. */
interface OperatorEnd {
    readonly submission: string;
    readonly result: Result<SubmissionOutcome, SubmissionError>;
}

/** What an operator submits. */
export interface SubmissionOrder {
    readonly hasKey: boolean;
    /** True for a manifest of several shards. */
    readonly isLarge: boolean;
    /** Milliseconds for which the operator is paused before the write that accepts. */
    readonly pause: number;
}

/** The site with its oracle. */
export class ConfigurationSite {
    readonly network: ReplicaNetwork;
    private readonly random: RandomSource;
    private readonly accepted: Accepted[] = [];
    private readonly ends: OperatorEnd[] = [];
    private readonly violations: string[] = [];
    private readonly highest = new Map<string, number>();
    private readonly latestKeys = new Map<string, boolean>();
    private openSubmissions = 0;

    constructor(seed: number) {
        this.random = seededRandom(seed);
        this.network = new ReplicaNetwork({
            random: this.random,
            latency,
            onInstall: (node, configuration) => this.installed(node, configuration),
            onSend: () => {},
            onStored: (entry) => this.stored(entry),
        });
        routerNames.forEach((name, index) => this.network.add(name, index % 2 === 0 ? "hobart" : "burnie"));
        agentNames.forEach((name, index) => {
            const keepers = [routerNames[index], routerNames[(index + 1) % routerNames.length]];
            this.network.add(name, "hobart", keepers);
        });
        this.network.tellPeers();
    }

    /** An operator submits a manifest and is paused before the one write that accepts it. */
    submit(identifier: string, order: SubmissionOrder): void {
        const { hasKey, isLarge, pause } = order;
        const manifest = manifestOf(identifier, hasKey, isLarge);
        const request = { manifest, submission: identifier, submittedAt: 0 };
        this.latestKeys.set(identifier, hasKey);
        this.openSubmissions++;
        this.network.run(pausedBeforeRoot(submission(request), pause), () => true, (result) => {
            this.openSubmissions--;
            this.ends.push({ submission: identifier, result });
        });
    }

    /** Lets the network heal, but not the store, and checks that the highest revision reaches every process in time. */
    checkSpread(): void {
        const target = Math.max(...[...this.network.nodes.values()].map((node) => node.replica.revision));
        this.network.heal();
        this.network.pass(convergenceBound);
        for (const node of this.network.nodes.values()) {
            if (node.replica.revision < target) {
                this.violate(`${node.self.instance} is at ${node.replica.revision}, not at ${target}`);
            }
        }
    }

    /**
     * Cuts one router from the store and from every other router, but not from agents, and checks that a submission
     * still comes into force there in time.
     */
    checkCutRouter(instance: string, identifier: string, order: SubmissionOrder): void {
        this.network.heal();
        this.network.store.fault = StoreFault.None;
        this.network.pass(convergenceBound);
        this.network.cutFromStore(instance);
        routerNames.filter((name) => name !== instance).forEach((name) => this.network.cut(instance, name));
        this.submit(identifier, { ...order, pause: 0 });
        this.network.pass(submissionTime);
        const target = this.accepted.at(-1)?.revision ?? 0;
        this.network.pass(convergenceBound);
        const { revision } = this.network.nodes.get(instance)!.replica;
        if (revision < target) {
            this.violate(`${instance}, in touch with agents alone, is at ${revision}, not at ${target}`);
        }
    }

    /** Restarts one router with the store down and checks that it serves in time if another process can tell it how. */
    checkStart(instance: string): void {
        this.network.heal();
        this.network.store.fault = StoreFault.Down;
        const others = [...this.network.nodes.values()].filter((node) => node.self.instance !== instance);
        const canServe = others.some((node) => node.isRouter && node.replica.revision > 0);
        this.network.restart(instance);
        this.network.pass(startBound);
        if (canServe && this.network.nodes.get(instance)!.replica.revision === 0) {
            this.violate(`${instance} does not serve ${startBound} ms after its start`);
        }
    }

    /** Lets everything heal and operators end, and returns every disagreement with the oracle. */
    finish(): readonly string[] {
        this.network.heal();
        this.network.store.fault = StoreFault.None;
        for (
            let waited = 0;
            this.openSubmissions > 0 && waited < operatorPatience;
            waited += convergenceBound
        ) {
            this.network.pass(convergenceBound);
        }
        this.network.pass(convergenceBound);
        this.checkOrder();
        this.checkEnds();
        this.checkInForce();
        return this.violations;
    }

    private violate(text: string): void {
        this.violations.push(`${this.network.now} ms: ${text}`);
    }

    private stored(entry: StoreEntry): void {
        const root = entry.key === rootKey ? decodeRoot(entry.value) : undefined;
        if (root !== undefined) {
            this.accepted.push({
                revision: root.revision,
                submission: root.submission,
                digest: root.digest,
            });
        }
    }

    private installed(node: SimulatedReplica, configuration: ReplicaConfiguration): void {
        const { instance } = node.self;
        const life = `${instance} ${node.start}`;
        const before = this.highest.get(life) ?? 0;
        this.highest.set(life, configuration.revision);
        if (configuration.revision <= before) {
            this.violate(`${instance} went from revision ${before} to ${configuration.revision}`);
        }
        const accepted = this.accepted.find((other) => other.revision === configuration.revision);
        if (accepted?.digest !== configuration.manifest.digest) {
            this.violate(`${instance} installed what was not accepted as ${configuration.revision}`);
        }
    }

    private checkOrder(): void {
        const identifiers = new Set(this.accepted.map((accepted) => accepted.submission));
        if (identifiers.size !== this.accepted.length) {
            this.violate("a submission was accepted twice");
        }
        this.accepted.forEach((accepted, index) => {
            if (accepted.revision !== index + 1) {
                this.violate(`revision ${accepted.revision} was accepted in place ${index + 1}`);
            }
        });
    }

    private checkEnds(): void {
        if (this.openSubmissions > 0) {
            this.violate(`${this.openSubmissions} submissions did not end`);
        }
        for (const { submission: identifier, result } of this.ends) {
            const accepted = this.accepted.find((other) => other.submission === identifier);
            const saysAccepted = result.isOk() && result.value.changed;
            if (saysAccepted && accepted?.revision !== result.value.revision) {
                this.violate(`"${identifier}" was told revision ${result.value.revision}, which is not so`);
            }
            if (result.isErr() && result.error.kind === "malformed") {
                this.violate(`"${identifier}": ${result.error.message}`);
            }
            const saysNotApplied = result.isErr() && ["lostRace", "unavailable"].includes(result.error.kind);
            const others = this.ends.filter((end) => end.submission === identifier);
            if (saysNotApplied && others.length === 1 && accepted !== undefined) {
                this.violate(`"${identifier}" was told that nothing changed, which is not so`);
            }
        }
    }

    private checkInForce(): void {
        const last = this.accepted.at(-1);
        for (const node of this.network.nodes.values()) {
            const { current, revision } = node.replica;
            if (revision !== (last?.revision ?? 0)) {
                this.violate(`${node.self.instance} is at ${revision} at the end, not at ${last?.revision}`);
            }
            if (last !== undefined && current !== undefined) {
                const index = new ManifestIndex(current.manifest.toManifest());
                const isKnown = index.accountOfKey(sha256Hex(callerKey)) !== undefined;
                if (isKnown !== this.latestKeys.get(last.submission)) {
                    this.violate(`${node.self.instance} ${isKnown ? "honours" : "refuses"} the key wrongly`);
                }
            }
        }
    }
}

const callerKey = "key of the maker";

const smallFiller = 10;
const largeFiller = 1_000;

/** A manifest that differs for each submission, with the key present or withdrawn; a large one has several shards. */
function manifestOf(identifier: string, hasKey: boolean, isLarge: boolean): Manifest {
    const keys = hasKey ? [{ name: "first", digest: `sha256:${sha256Hex(callerKey)}` }] : [];
    const account = { name: "maker", tokensPerSecond: 1000, burstTokens: 10_000, keys };
    const marker = { name: `marker-${identifier}`, tokensPerSecond: 1, burstTokens: 16, keys: [] };
    const filler = Array.from({ length: isLarge ? largeFiller : smallFiller }, (_, index) => ({
        name: `filler-${index}`,
        tokensPerSecond: 10,
        burstTokens: 100,
        keys: [],
    }));
    return { models: [], pools: [], accounts: [account, marker, ...filler], routes: [] };
}

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
