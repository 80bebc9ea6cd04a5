/**
 * The cases in which the policies are compared.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { Deployment } from "./deployments.js";
import type { EventDelivery } from "./simulatedAgent.js";
import type { Simulation } from "./simulation.js";
import type { WorkloadOptions } from "./workload.js";

/** When calls are made and measured. */
export interface Timing {
    /** Calls made before this time only fill the caches; they are not measured. */
    readonly warmUp: Milliseconds;
    /** Calls are made until this time. */
    readonly duration: Milliseconds;
}

/** Timing of the full experiment. */
export const fullTiming: Timing = { warmUp: 120_000, duration: 480_000 };

export enum CaseName {
    Steady = "steady",
    HotPrefix = "hot prefix moves",
    Flood = "account at five times its rate",
    Crashes = "engine crashes",
    RouterRestarts = "half the routers restarted",
    HaltedUpgrade = "halted upgrade",
    EventsLost = "events lost",
}

/** One case. */
export interface PolicyCase {
    readonly name: CaseName;
    /** How the calls differ from the steady workload. */
    readonly workload: Partial<Pick<WorkloadOptions, "versions" | "flood" | "hotPrefix">>;
    readonly events: EventDelivery;
    readonly statusDelay: Milliseconds;
    readonly versionOf: (replica: number) => string;
    readonly faultScript: (simulation: Simulation) => Generator<Milliseconds, void>;
}

const floodFactor = 5;
const hotPrefixShare = 0.3;
const hotPrefixPeriod: Milliseconds = 25_000;
const crashPeriod: Milliseconds = 20_000;
const crashDowntime: Milliseconds = 5_000;
const defaultEvents: EventDelivery = { delay: 200, lossProbability: 0 };
const degradedEvents: EventDelivery = { delay: 2_000, lossProbability: 0.3 };
const defaultStatusDelay: Milliseconds = 20;
const degradedStatusDelay: Milliseconds = 1_000;
const replicasOnOldVersion = 5;

const steady: PolicyCase = {
    name: CaseName.Steady,
    workload: {},
    events: defaultEvents,
    statusDelay: defaultStatusDelay,
    versionOf: () => "1",
    faultScript: noFaults,
};

/** Creates every case for a deployment. */
export function createCases(deployment: Deployment, timing: Timing): readonly PolicyCase[] {
    const largestAccount = deployment.accounts[0]!.name;
    const flood = {
        account: largestAccount,
        factor: floodFactor,
        from: timing.warmUp,
        until: timing.duration,
    };
    return [
        steady,
        {
            ...steady,
            name: CaseName.HotPrefix,
            workload: { hotPrefix: { share: hotPrefixShare, period: hotPrefixPeriod } },
        },
        { ...steady, name: CaseName.Flood, workload: { flood } },
        { ...steady, name: CaseName.Crashes, faultScript: (simulation) => crashEngines(simulation, timing) },
        {
            ...steady,
            name: CaseName.RouterRestarts,
            faultScript: (simulation) => restartHalfOfRouters(simulation, timing),
        },
        {
            ...steady,
            name: CaseName.HaltedUpgrade,
            workload: { versions: ["1", "2"] },
            versionOf: (replica) => replica < replicasOnOldVersion ? "1" : "2",
        },
        { ...steady, name: CaseName.EventsLost, events: degradedEvents, statusDelay: degradedStatusDelay },
    ];
}

function* noFaults(): Generator<Milliseconds, void> {
    // The generator ends without a step.
}

/** Crashes one engine after another; each restarts with an empty cache. */
function* crashEngines(simulation: Simulation, timing: Timing): Generator<Milliseconds, void> {
    yield timing.warmUp;
    for (let replica = 0; true; replica++) {
        const instance = simulation.instances[replica % simulation.instances.length]!;
        simulation.agents.get(instance)!.crashEngine(crashDowntime);
        yield crashPeriod;
    }
}

/** Restarts half of the routers at the same time, twice. */
function* restartHalfOfRouters(simulation: Simulation, timing: Timing): Generator<Milliseconds, void> {
    for (const delay of [timing.warmUp, (timing.duration - timing.warmUp) / 2]) {
        yield delay;
        for (let index = 0; index < simulation.routerCount / 2; index++) {
            simulation.restartRouter(index);
        }
    }
}
