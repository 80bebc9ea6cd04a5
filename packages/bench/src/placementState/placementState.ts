/**
 * Measures a router's placement by fleet size: memory of endpoints and prefixes, and processor time per placement.
 *
 * @module
 */
import { FakeClock, seededRandom, sha256Hex } from "@redwingpin/common";
import { Placement, PlacementOutcome, type PlacementRequest } from "@redwingpin/placement";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** One pool for each of five models; every pool spans all ten data centres. */
const pools = ["drafting", "lexis", "summaries", "embeddings", "inspection"] as const;
const weights = { model: "drafting", version: "1" };
const dataCentres = Array.from({ length: 10 }, (_, index) => `data-centre-${index}`);
const blockTokens = 2_000;
const blocksPerPrompt = 15;
const heldPrefixesPerReplica = 32;
const choiceCount = 2_000;
const promptGroupCount = 4_000;

/** Results for one number of replicas. They are printed as JSON under these names. */
export interface PlacementStateRow {
    readonly replicas: number;
    /** Heap that the placement uses after a status of every replica. */
    readonly endpointBytes: number;
    /** Additional heap of the full prefix table. */
    readonly prefixBytes: number;
    /** Processor time to place one request and to record its head and outcome. */
    readonly choiceMicroseconds: number;
}

/** Measures one router's placement for each number of replicas. */
export function measurePlacementState(sizes: readonly number[]): PlacementStateRow[] {
    const collectGarbage = exposeGarbageCollection();
    return sizes.map((replicas) => measureReplicas(replicas, collectGarbage));
}

/** Computes the heap that one more replica adds, from the smallest and the largest size. */
export function bytesPerReplica(rows: readonly PlacementStateRow[]): number {
    const first = rows[0]!;
    const last = rows.at(-1)!;
    return (last.endpointBytes - first.endpointBytes) / Math.max(1, last.replicas - first.replicas);
}

function measureReplicas(replicas: number, collectGarbage: () => void): PlacementStateRow {
    collectGarbage();
    const heapBefore = process.memoryUsage().heapUsed;
    const placement = createPlacement(replicas);
    collectGarbage();
    const heapWithEndpoints = process.memoryUsage().heapUsed;
    const random = seededRandom(replicas);
    placeRequests(placement, random.integerBelow, promptGroupCount);
    const processorBefore = process.cpuUsage();
    placeRequests(placement, random.integerBelow, choiceCount);
    const processor = process.cpuUsage(processorBefore);
    collectGarbage();
    const heapWithPrefixes = process.memoryUsage().heapUsed;
    placeRequests(placement, random.integerBelow, 1);
    return {
        replicas,
        endpointBytes: heapWithEndpoints - heapBefore,
        prefixBytes: heapWithPrefixes - heapWithEndpoints,
        choiceMicroseconds: (processor.user + processor.system) / choiceCount,
    };
}

function createPlacement(replicas: number): Placement {
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
                { length: heldPrefixesPerReplica },
                (_, name) => hashName(`${instance} ${name}`),
            ),
        });
    }
    return placement;
}

function poolOf(index: number): string {
    return pools[index % pools.length]!;
}

function hashName(name: string): number {
    return Number.parseInt(sha256Hex(name).slice(0, 8), 16);
}

function placeRequests(placement: Placement, integerBelow: (bound: number) => number, count: number): void {
    for (let index = 0; index < count; index++) {
        const placed = placement.choose(createRequest(integerBelow(promptGroupCount)))!;
        placement.observeHead(placed, placed.expectedHitBlocks);
        placement.observeOutcome(placed, PlacementOutcome.Completed);
    }
}

/** Creates a request of a group. Several groups share its first ten blocks, and only this group has the others. */
function createRequest(group: number): PlacementRequest {
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
