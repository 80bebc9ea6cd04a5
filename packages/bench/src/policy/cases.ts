/**
 * The cases that every policy is put through.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { Deployment } from "./deployments.js";
import type { EventDelivery } from "./fakeAgent.js";
import type { Simulation } from "./simulation.js";
import type { WorkloadOptions } from "./workload.js";

/** When calls are made and measured. */
export interface Timing {
    /** Calls made before this time fill the caches and are not measured. */
    readonly warmUp: Milliseconds;
    /** Calls are made until this time. */
    readonly duration: Milliseconds;
}

/** Timing of the full experiment. */
export const fullTiming: Timing = { warmUp: 120_000, duration: 480_000 };

/** Names of the cases. */
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
    /** What the case changes in the calls. */
    readonly workload: Partial<Pick<WorkloadOptions, "versions" | "flood" | "hotPrefix">>;
    readonly events: EventDelivery;
    readonly statusDelay: Milliseconds;
    readonly versionOf: (replica: number) => string;
    readonly script: (simulation: Simulation) => Generator<Milliseconds, void>;
}

const floodFactor = 5;
const hotPart = 0.3;
const hotPeriod: Milliseconds = 25_000;
const crashPeriod: Milliseconds = 20_000;
const crashDowntime: Milliseconds = 5_000;
const usualEvents: EventDelivery = { delay: 200, lost: 0 };
const poorEvents: EventDelivery = { delay: 2_000, lost: 0.3 };
const usualStatusDelay: Milliseconds = 20;
const poorStatusDelay: Milliseconds = 1_000;
const replicasOnOldVersion = 5;

const steady: PolicyCase = {
    name: CaseName.Steady,
    workload: {},
    events: usualEvents,
    statusDelay: usualStatusDelay,
    versionOf: () => "1",
    script: nothingHappens,
};

/** Every case for a deployment. */
export function casesOf(deployment: Deployment, timing: Timing): readonly PolicyCase[] {
    const largest = deployment.accounts[0]!.name;
    const flood = { account: largest, factor: floodFactor, from: timing.warmUp, until: timing.duration };
    return [
        steady,
        {
            ...steady,
            name: CaseName.HotPrefix,
            workload: { hotPrefix: { part: hotPart, period: hotPeriod } },
        },
        { ...steady, name: CaseName.Flood, workload: { flood } },
        { ...steady, name: CaseName.Crashes, script: (simulation) => crashes(simulation, timing) },
        { ...steady, name: CaseName.RouterRestarts, script: (simulation) => restarts(simulation, timing) },
        {
            ...steady,
            name: CaseName.HaltedUpgrade,
            workload: { versions: ["1", "2"] },
            versionOf: (replica) => replica < replicasOnOldVersion ? "1" : "2",
        },
        { ...steady, name: CaseName.EventsLost, events: poorEvents, statusDelay: poorStatusDelay },
    ];
}

function* nothingHappens(): Generator<Milliseconds, void> {
    // A case without faults.
}

/** One engine after another crashes and comes back empty. */
function* crashes(simulation: Simulation, timing: Timing): Generator<Milliseconds, void> {
    yield timing.warmUp;
    for (let victim = 0; true; victim++) {
        const instance = simulation.instances[victim % simulation.instances.length]!;
        simulation.agents.get(instance)!.crashEngine(crashDowntime);
        yield crashPeriod;
    }
}

/** Half the routers restart at once, twice. */
function* restarts(simulation: Simulation, timing: Timing): Generator<Milliseconds, void> {
    for (const pause of [timing.warmUp, (timing.duration - timing.warmUp) / 2]) {
        yield pause;
        for (let index = 0; index < simulation.routerCount / 2; index++) {
            simulation.restartRouter(index);
        }
    }
}
