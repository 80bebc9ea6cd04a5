/**
 * What idle processes cost as the fleet grows: real playgrounds at several sizes, read over a window.
 *
 * @module
 */
import { sleep, systemClock } from "@redwingpin/common";
import { type Playground, startPlayground } from "@redwingpin/playground";
import { request } from "undici";
import { type ProcessReading, readProcesses } from "./processMetrics.js";

/** A size of the fleet. */
export interface FleetSize {
    readonly routers: number;
    readonly agents: number;
}

/** What one process of a role costs on average while idle. */
export interface IdleCost {
    /** Part of one core. */
    readonly coreShare: number;
    readonly residentMegabytes: number;
    /** Bytes a second on inner connections, both ways. */
    readonly innerBytesPerSecond: number;
}

/** Costs at one size. */
export interface SizeCost extends FleetSize {
    readonly router: IdleCost;
    readonly agent: IdleCost;
    /** Calls a second at the store, all processes together; a waiting watch counts once. */
    readonly storeCallsPerSecond: number;
}

/** Sizes that tell the slope in routers from that in agents. */
export const fleetSizes: readonly FleetSize[] = [
    { routers: 2, agents: 4 },
    { routers: 2, agents: 24 },
    { routers: 5, agents: 12 },
    { routers: 10, agents: 4 },
    { routers: 10, agents: 24 },
];

const bytesPerMegabyte = 1_000_000;
const millisecondsPerSecond = 1_000;

/** Measures one size over a window, after a time to settle. */
export async function measureSize(
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
        const before = await readProcesses(playground);
        const callsBefore = await countStoreCalls(playground);
        await sleep(systemClock, windowSeconds * millisecondsPerSecond);
        const after = await readProcesses(playground);
        const calls = await countStoreCalls(playground) - callsBefore;
        return {
            ...size,
            router: idleCost("router", before, after, windowSeconds),
            agent: idleCost("agent", before, after, windowSeconds),
            storeCallsPerSecond: calls / windowSeconds,
        };
    }
    finally {
        await playground.stop();
    }
}

function idleCost(
    role: ProcessReading["role"],
    before: readonly ProcessReading[],
    after: readonly ProcessReading[],
    seconds: number,
): IdleCost {
    const pairs = after
        .map((reading, index) => ({ reading, earlier: before[index] }))
        .filter((pair) => pair.reading.role === role);
    const mean = (value: (pair: typeof pairs[number]) => number) =>
        pairs.reduce((sum, pair) => sum + value(pair), 0) / pairs.length;
    return {
        coreShare: mean((pair) => (pair.reading.processorSeconds - pair.earlier.processorSeconds) / seconds),
        residentMegabytes: mean((pair) => pair.reading.residentBytes / bytesPerMegabyte),
        innerBytesPerSecond: mean((pair) => (pair.reading.innerBytes - pair.earlier.innerBytes) / seconds),
    };
}

async function countStoreCalls(playground: Playground): Promise<number> {
    const store = playground.state.processes.find((process) => process.role === "store");
    const answer = await request(`${store?.control}/control/counts`);
    const counts = await answer.body.json() as Readonly<Record<string, number>>;
    const calls = Object.entries(counts).filter(([name]) => name !== "waitingWatches");
    return calls.reduce((sum, [, count]) => sum + count, 0);
}
