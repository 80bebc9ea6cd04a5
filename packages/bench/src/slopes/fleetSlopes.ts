/**
 * Measures the cost of idle processes by fleet size, from the metrics of real playgrounds over a time window.
 *
 * @module
 */
import { sleep, systemClock } from "@redwingpin/common";
import { type Playground, startPlayground } from "@redwingpin/playground";
import { request } from "undici";
import { type ProcessSample, sampleProcesses } from "./processMetrics.js";

/** Number of processes in a fleet. */
export interface FleetSize {
    readonly routers: number;
    readonly agents: number;
}

/** Mean cost of one idle process of a role. */
export interface IdleCost {
    /** Processor time as a share of one core. */
    readonly coreShare: number;
    readonly residentMegabytes: number;
    /** Bytes sent and received per second on inner connections. */
    readonly innerBytesPerSecond: number;
}

/** Results for one fleet size. */
export interface SizeCost extends FleetSize {
    readonly router: IdleCost;
    readonly agent: IdleCost;
    /** Store calls per second of all processes together. A watch counts as one call however long it waits. */
    readonly storeCallsPerSecond: number;
}

/** Sizes that vary routers and agents independently, so that their costs can be separated. */
export const fleetSizes: readonly FleetSize[] = [
    { routers: 2, agents: 4 },
    { routers: 2, agents: 24 },
    { routers: 5, agents: 12 },
    { routers: 10, agents: 4 },
    { routers: 10, agents: 24 },
];

const bytesPerMegabyte = 1_000_000;
const millisecondsPerSecond = 1_000;

/** Starts a playground of one size, waits until it settles and measures it over the window. */
export async function measureFleetSize(
    size: FleetSize,
    settleSeconds: number,
    windowSeconds: number,
): Promise<SizeCost> {
    const playground = await startPlayground({
        routers: size.routers,
        engines: size.agents - 1,
        services: 1,
    });
    try {
        await sleep(systemClock, settleSeconds * millisecondsPerSecond);
        const before = await sampleProcesses(playground);
        const callsBefore = await countStoreCalls(playground);
        await sleep(systemClock, windowSeconds * millisecondsPerSecond);
        const after = await sampleProcesses(playground);
        const calls = await countStoreCalls(playground) - callsBefore;
        return {
            ...size,
            router: meanIdleCost("router", before, after, windowSeconds),
            agent: meanIdleCost("agent", before, after, windowSeconds),
            storeCallsPerSecond: calls / windowSeconds,
        };
    }
    finally {
        await playground.stop();
    }
}

function meanIdleCost(
    role: ProcessSample["role"],
    before: readonly ProcessSample[],
    after: readonly ProcessSample[],
    seconds: number,
): IdleCost {
    const pairs = after
        .map((sample, index) => ({ sample, previous: before[index] }))
        .filter((pair) => pair.sample.role === role);
    const mean = (value: (pair: typeof pairs[number]) => number) =>
        pairs.reduce((sum, pair) => sum + value(pair), 0) / pairs.length;
    return {
        coreShare: mean((pair) => (pair.sample.processorSeconds - pair.previous.processorSeconds) / seconds),
        residentMegabytes: mean((pair) => pair.sample.residentBytes / bytesPerMegabyte),
        innerBytesPerSecond: mean((pair) => (pair.sample.innerBytes - pair.previous.innerBytes) / seconds),
    };
}

async function countStoreCalls(playground: Playground): Promise<number> {
    const store = playground.state.processes.find((process) => process.role === "store");
    const answer = await request(`${store?.control}/control/counts`);
    const counts = await answer.body.json() as Readonly<Record<string, number>>;
    const calls = Object.entries(counts).filter(([name]) => name !== "waitingWatches");
    return calls.reduce((sum, [, count]) => sum + count, 0);
}
