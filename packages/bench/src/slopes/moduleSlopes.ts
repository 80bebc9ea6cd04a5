/**
 * Measures memory and step time of the decision modules in this process, by number of accounts, endpoints and blocks.
 *
 * @module
 */
import { FakeClock } from "@redwingpin/common";
import {
    ChangeKind,
    type ClientAccount,
    type Manifest,
    type ManifestChange,
    ManifestIndex,
    ShardedManifest,
} from "@redwingpin/manifest";
import { defaultBlockTokens, Placement, PlacementOutcome } from "@redwingpin/placement";
import { CacheEventKind, EndpointModel } from "@redwingpin/scheduling";

/** Memory and time of one module at one size. */
export interface ModuleCost {
    readonly size: number;
    readonly bytesPerItem: number;
    readonly microsecondsPerStep: number;
}

/** Costs of a module at several sizes. */
export interface ModuleSlope {
    readonly module: string;
    readonly item: string;
    readonly step: string;
    readonly costs: readonly ModuleCost[];
}

const microsecondsPerMillisecond = 1_000;
const keyDigits = 64;
const prefixDepth = 10;

/**
 * Measures every module.
 *
 * @param collect Runs the garbage collector, so that garbage isn't counted as used memory.
 */
export function measureModules(collect: () => void): ModuleSlope[] {
    return [
        {
            module: "manifest in force",
            item: "account",
            step: "apply one change and index",
            costs: measureManifest(collect),
        },
        {
            module: "placement",
            item: "endpoint",
            step: "place one request",
            costs: measurePlacement(collect),
        },
        {
            module: "cache model at an agent",
            item: "block",
            step: "apply one cache event",
            costs: measureModel(collect),
        },
    ];
}

function measureManifest(collect: () => void): ModuleCost[] {
    return [1_000, 4_200, 10_000].map((size) => {
        const before = usedBytes(collect);
        let sharded = ShardedManifest.from(createManifest(size));
        let index = new ManifestIndex(sharded.toManifest());
        const bytesPerItem = (usedBytes(collect) - before) / size;
        const microsecondsPerStep = meanMicroseconds(20, (step) => {
            const change: ManifestChange = {
                kind: ChangeKind.SetRate,
                account: createAccount(step).name,
                tokensPerSecond: 5 + step,
                burstTokens: 10_000,
            };
            sharded = sharded.apply([change]);
            index = new ManifestIndex(sharded.toManifest());
        });
        keepAlive(index);
        return { size, bytesPerItem, microsecondsPerStep };
    });
}

function measurePlacement(collect: () => void): ModuleCost[] {
    return [120, 400, 1_200].map((size) => {
        const before = usedBytes(collect);
        const placement = new Placement({
            clock: new FakeClock(),
            dataCentre: "one",
            blockTokens: defaultBlockTokens,
        });
        const instances = Array.from({ length: size }, (_, index) => `engine-${index}`);
        placement.replaceCandidates(
            instances.map((instance) => ({ instance, pool: "engines", dataCentre: "one", leaving: false })),
        );
        for (const instance of instances) {
            placement.observeStatus({
                instance,
                pool: "engines",
                incarnation: "1",
                draining: false,
                weights: [{ model: "drafting", version: "1" }],
                queuedTokens: 0,
                running: 0,
                tokensPerSecond: 0,
                heldPrefixes: Array.from({ length: 32 }, (_, index) => index),
            });
        }
        const bytesPerItem = (usedBytes(collect) - before) / size;
        const microsecondsPerStep = meanMicroseconds(2_000, (step) => placeOne(placement, step));
        keepAlive(placement);
        return { size, bytesPerItem, microsecondsPerStep };
    });
}

function placeOne(placement: Placement, step: number): void {
    const prefixBlocks = Array.from(
        { length: prefixDepth },
        (_, depth) => blockName(depth < 5 ? depth : step * 16 + depth),
    );
    const placed = placement.choose({
        pool: "engines",
        weights: { model: "drafting", version: "1" },
        prefixBlocks,
        sharedBlocks: 5,
        promptTokens: prefixDepth * defaultBlockTokens,
    });
    if (placed !== undefined) {
        placement.observeHead(placed, 5);
        placement.observeOutcome(placed, PlacementOutcome.Completed);
    }
}

function measureModel(collect: () => void): ModuleCost[] {
    return [10_000, 30_000, 90_000].map((size) => {
        const before = usedBytes(collect);
        const model = new EndpointModel({ maximumBlocks: size });
        model.onIncarnation("1");
        let sequence = 0;
        const store = (number: number) => {
            const blocks = [blockName(number)];
            model.onCacheEvent({
                incarnation: "1",
                sequence: ++sequence,
                kind: CacheEventKind.Stored,
                blocks,
            }, sequence);
        };
        for (let number = 0; number < size; number++) {
            store(number);
        }
        const bytesPerItem = (usedBytes(collect) - before) / size;
        const microsecondsPerStep = meanMicroseconds(20_000, (step) => store(size + step));
        keepAlive(model);
        return { size, bytesPerItem, microsecondsPerStep };
    });
}

function createManifest(accounts: number): Manifest {
    return {
        models: [],
        pools: [],
        routes: [],
        accounts: Array.from({ length: accounts }, (_, index) => createAccount(index)),
    };
}

function createAccount(index: number): ClientAccount {
    const digest = `sha256:${index.toString(16).padStart(keyDigits, "0")}`;
    return {
        name: `account-${index}`,
        tokensPerSecond: 1_000,
        burstTokens: 10_000,
        keys: [{ name: "first", digest }],
    };
}

function blockName(number: number): string {
    return number.toString(16).padStart(32, "0");
}

function meanMicroseconds(count: number, step: (index: number) => void): number {
    const start = performance.now();
    for (let index = 0; index < count; index++) {
        step(index);
    }
    return (performance.now() - start) * microsecondsPerMillisecond / count;
}

function usedBytes(collect: () => void): number {
    collect();
    return process.memoryUsage().heapUsed;
}

let retainedValue: unknown;

/** Prevents the collection of a value before its memory has been measured. */
function keepAlive(value: unknown): void {
    retainedValue = value;
    void retainedValue;
}
