/**
 * The policy experiment: simulates every case under every policy, for one deployment and seed.
 *
 * @module
 */
import { type CaseName, createCases, fullTiming, type PolicyCase, type Timing } from "./cases.js";
import type { Deployment, DeploymentName } from "./deployments.js";
import { PolicyName } from "./routingPolicy.js";
import {
    type CallRecord,
    computeMetrics,
    type RunMetrics,
    type ServedTokens,
    sumServedTokens,
} from "./runMetrics.js";
import { Simulation } from "./simulation.js";
import { blockTokens, type Call, generateCalls } from "./workload.js";

/** Simulated time after the last call in which running calls may still end. */
const drainTime = 60_000;

/** One row of the results: the metrics of one case under one policy. */
export interface ResultRow extends RunMetrics {
    readonly deployment: DeploymentName;
    readonly case: CaseName;
    readonly policy: PolicyName;
}

/** Options of {@link runExperiment}. */
export interface ExperimentOptions {
    readonly deployment: Deployment;
    readonly seed: number;
    /**
     * Cases to simulate.
     * @default all
     */
    readonly cases?: readonly CaseName[];
    /**
     * Policies to compare.
     * @default all
     */
    readonly policies?: readonly PolicyName[];
    /** @default fullTiming */
    readonly timing?: Timing;
}

interface CaseRun {
    readonly deployment: Deployment;
    readonly seed: number;
    readonly timing: Timing;
    readonly policyCase: PolicyCase;
    readonly policy: PolicyName;
}

/** Simulates the cases under each policy. All policies receive the same calls. */
export function runExperiment(options: ExperimentOptions): ResultRow[] {
    const { deployment, seed, timing = fullTiming, policies = Object.values(PolicyName) } = options;
    return createCases(deployment, timing)
        .filter((policyCase) => options.cases === undefined || options.cases.includes(policyCase.name))
        .flatMap((policyCase) => {
            const calls = callsForCase(deployment, seed, timing, policyCase);
            return policies.map((policy) =>
                measureCase({ deployment, seed, timing, policyCase, policy }, calls)
            );
        });
}

function callsForCase(deployment: Deployment, seed: number, timing: Timing, policyCase: PolicyCase): Call[] {
    const { versions = ["1"], flood, hotPrefix } = policyCase.workload;
    return generateCalls({ deployment, seed, duration: timing.duration, versions, flood, hotPrefix });
}

function measureCase(run: CaseRun, calls: readonly Call[]): ResultRow {
    return {
        deployment: run.deployment.name,
        case: run.policyCase.name,
        policy: run.policy,
        ...computeMetrics(simulate(run, calls), blockTokens, measureSoloTokens(run, calls)),
    };
}

/** Measures the tokens that each account within its rate is served as the only caller, with the same faults. */
function measureSoloTokens(run: CaseRun, calls: readonly Call[]): ServedTokens {
    const served = new Map<string, number>();
    for (const { name } of run.deployment.accounts) {
        if (name !== run.policyCase.workload.flood?.account) {
            const accountCalls = calls.filter((call) => call.account === name);
            served.set(name, sumServedTokens(simulate(run, accountCalls)).get(name) ?? 0);
        }
    }
    return served;
}

/** Runs one simulation and returns the records of the calls made after the warm-up. */
function simulate(run: CaseRun, calls: readonly Call[]): CallRecord[] {
    const { deployment, policy, seed, timing } = run;
    const { events, statusDelay, versionOf, faultScript } = run.policyCase;
    const duration = timing.duration + drainTime;
    const simulation = new Simulation({
        deployment,
        policy,
        seed,
        events,
        statusDelay,
        versionOf,
        faultScript,
        duration,
    });
    return simulation.run(calls).filter((record) => record.call.arrivesAt >= timing.warmUp);
}
