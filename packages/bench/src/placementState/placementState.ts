/**
 * Cost of a router's placement as the fleet grows: memory for each endpoint and prefix, and processor time of a
 * choice, with slopes.
 *
 * @module
 */
import { FakeClock, seededRandom, sha256Hex } from "@redwingpin/common";
import { Placement, PlacementOutcome, type PlacementRequest } from "@redwingpin/placement";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Five models in steady use, each with a pool over ten data centres. */
const pools = ["drafting", "lexis", "summaries", "embeddings", "inspection"] as const;
const weights = { model: "drafting", version: "1" };
const dataCentres = Array.from({ length: 10 }, (_, index) => `data-centre-${index}`);
const blockTokens = 2_000;
const blocksPerPrompt = 15;
const summaryNames = 32;
const choices = 2_000;
const prefixes = 4_000;

/** Figures for one number of replicas. */
export interface PlacementStateRow {
    readonly replicas: number;
    /** Heap that the placement holds once it has a status of every replica. */
    readonly endpointBytes: number;
    /** Heap that the prefix table adds once it is full. */
    readonly prefixBytes: number;
    /** Processor time of one choice with its head and outcome. */
    readonly choiceMicroseconds: number;
}

/** Measures the placement of one router for each number of replicas. */
export function measurePlacementState(sizes: readonly number[]): PlacementStateRow[] {
    const collectGarbage = exposeGarbageCollection();
    return sizes.map((replicas) => measureOne(replicas, collectGarbage));
}

/** Bytes of heap that one more replica adds, from the smallest and the largest size. */
export function bytesPerReplica(rows: readonly PlacementStateRow[]): number {
    const first = rows[0]!;
    const last = rows.at(-1)!;
    return (last.endpointBytes - first.endpointBytes) / Math.max(1, last.replicas - first.replicas);
}

function measureOne(replicas: number, collectGarbage: () => void): PlacementStateRow {
    collectGarbage();
    const before = process.memoryUsage().heapUsed;
    const placement = placementOf(replicas);
    collectGarbage();
    const withEndpoints = process.memoryUsage().heapUsed;
    const random = seededRandom(replicas);
    choose(placement, random.integerBelow, prefixes);
    const started = process.cpuUsage();
    choose(placement, random.integerBelow, choices);
    const used = process.cpuUsage(started);
    collectGarbage();
    const full = process.memoryUsage().heapUsed;
    choose(placement, random.integerBelow, 1);
    return {
        replicas,
        endpointBytes: withEndpoints - before,
        prefixBytes: full - withEndpoints,
        choiceMicroseconds: (used.user + used.system) / choices,
    };
}

function placementOf(replicas: number): Placement {
    const placement = new Placement({ clock: new FakeClock(), dataCentre: dataCentres[0]!, blockTokens });
    const instances = Array.from({ length: replicas }, (_, index) => `engine-${index}`);
    placement.replaceCandidates(instances.map((instance, index) => ({
        instance,
        pool: poolOf(index),
        dataCentre: dataCentres[Math.floor(index / pools.length) % dataCentres.length]!,
        leaving: false,
    })));
    for (const [index, instance] of instances.entries()) {
        placement.observeStatus({
            instance,
            pool: poolOf(index),
            incarnation: "1",
            draining: false,
            weights: [{ ...weights }],
            queuedTokens: 0,
            running: 0,
            tokensPerSecond: 0,
            heldPrefixes: Array.from(
                { length: summaryNames },
                (_, name) => seedOfName(`${instance} ${name}`),
            ),
        });
    }
    return placement;
}

function poolOf(index: number): string {
    return pools[index % pools.length]!;
}

function seedOfName(name: string): number {
    return Number.parseInt(sha256Hex(name).slice(0, 8), 16);
}

function choose(placement: Placement, integerBelow: (bound: number) => number, count: number): void {
    for (let index = 0; index < count; index++) {
        const placed = placement.choose(requestOf(integerBelow(prefixes)))!;
        placement.observeHead(placed, placed.expectedHitBlocks);
        placement.observeOutcome(placed, PlacementOutcome.Completed);
    }
}

/** A prompt of a catalogue, rules that many prompts share and a query of its own. */
function requestOf(group: number): PlacementRequest {
    const blocks = Array.from({ length: blocksPerPrompt }, (_, depth) => {
        const level = depth < 10 ? group % 20 : group;
        return sha256Hex(`${level} ${depth}`).slice(0, 32);
    });
    return {
        pool: pools[0],
        weights,
        prefixBlocks: blocks,
        sharedBlocks: blocks.length,
        promptTokens: blocks.length * blockTokens + 500,
    };
}

function exposeGarbageCollection(): () => void {
    setFlagsFromString("--expose-gc");
    return runInNewContext("gc") as () => void;
}
