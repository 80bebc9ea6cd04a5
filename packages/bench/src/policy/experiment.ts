/**
 * The policy experiment: every case with every policy, for one deployment and seed.
 *
 * @module
 */
import { type CaseName, casesOf, fullTiming, type PolicyCase, type Timing } from "./cases.js";
import type { Deployment, DeploymentName } from "./deployments.js";
import { type CallRecord, type Figures, figuresOf, type ServedTokens, servedTokens } from "./measures.js";
import { PolicyName } from "./routingPolicy.js";
import { Simulation } from "./simulation.js";
import { blockTokens, type Call, drawCalls } from "./workload.js";

/** Time after the last call in which answers are awaited. */
const drain = 60_000;

/** One row of the results. */
export interface ResultRow extends Figures {
    readonly deployment: DeploymentName;
    readonly case: CaseName;
    readonly policy: PolicyName;
}

/** Options of {@link runExperiment}. */
export interface ExperimentOptions {
    readonly deployment: Deployment;
    readonly seed: number;
    /**
     * Cases to play.
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

/** Plays the cases with each policy, with the same calls for all policies. */
export function runExperiment(options: ExperimentOptions): ResultRow[] {
    const { deployment, seed, timing = fullTiming, policies = Object.values(PolicyName) } = options;
    return casesOf(deployment, timing)
        .filter((policyCase) => options.cases === undefined || options.cases.includes(policyCase.name))
        .flatMap((policyCase) => {
            const calls = callsOf(deployment, seed, timing, policyCase);
            return policies.map((policy) => rowOf({ deployment, seed, timing, policyCase, policy }, calls));
        });
}

function callsOf(deployment: Deployment, seed: number, timing: Timing, policyCase: PolicyCase): Call[] {
    const { versions = ["1"], flood, hotPrefix } = policyCase.workload;
    return drawCalls({ deployment, seed, duration: timing.duration, versions, flood, hotPrefix });
}

function rowOf(run: CaseRun, calls: readonly Call[]): ResultRow {
    return {
        deployment: run.deployment.name,
        case: run.policyCase.name,
        policy: run.policy,
        ...figuresOf(play(run, calls), blockTokens, servedAlone(run, calls)),
    };
}

/** What each account inside its rate is served when only it calls, under the same policy and faults. */
function servedAlone(run: CaseRun, calls: readonly Call[]): ServedTokens {
    const served = new Map<string, number>();
    for (const { name } of run.deployment.accounts) {
        if (name !== run.policyCase.workload.flood?.account) {
            const own = calls.filter((call) => call.account === name);
            served.set(name, servedTokens(play(run, own)).get(name) ?? 0);
        }
    }
    return served;
}

/** Records of the calls made after the warm-up. */
function play(run: CaseRun, calls: readonly Call[]): CallRecord[] {
    const { deployment, policy, seed, timing } = run;
    const { events, statusDelay, versionOf, script } = run.policyCase;
    const duration = timing.duration + drain;
    const simulation = new Simulation({
        deployment,
        policy,
        seed,
        events,
        statusDelay,
        versionOf,
        script,
        duration,
    });
    return simulation.run(calls).filter((record) => record.call.at >= timing.warmUp);
}
