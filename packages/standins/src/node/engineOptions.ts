/**
 * Options of the engine stand-in and their defaults.
 *
 * @module
 */
import type { StandinOptions } from "./httpListener.js";

/** Options of the engine stand-in. */
export interface EngineStandinOptions extends StandinOptions {
    /**
     * Name of the weights that are loaded at startup.
     * @default "weights-1"
     */
    readonly weights?: string;
    /**
     * Tokens in one block of the prefix cache.
     * @default 2048
     */
    readonly blockTokens?: number;
    /**
     * Capacity of the prefix cache, in blocks.
     * @default 64
     */
    readonly cacheBlocks?: number;
    /**
     * Prefill rate of prompt tokens that are not cached.
     * @default 200000
     */
    readonly prefillTokensPerSecond?: number;
    /**
     * Delay before the first token, in milliseconds, in addition to the prefill.
     * @default 5
     */
    readonly firstTokenMilliseconds?: number;
    /**
     * Delay between two tokens, in milliseconds.
     * @default 1
     */
    readonly betweenTokensMilliseconds?: number;
    /**
     * Maximum number of requests that run at once; others wait in order of priority.
     * @default 64
     */
    readonly slots?: number;
    /**
     * Interval at which the load report is updated, in milliseconds.
     * @default 500
     */
    readonly loadLagMilliseconds?: number;
    /**
     * Delay of cache events, in milliseconds.
     * @default 200
     */
    readonly eventLagMilliseconds?: number;
    /**
     * Header fields that each answer to a completion has, for example those that state which requests the engine wants.
     * @default none
     */
    readonly statedHeaders?: Readonly<Record<string, string>>;
    /**
     * Every N-th cache event is dropped; 0 drops none.
     * @default 0
     */
    readonly loseEventEvery?: number;
    /**
     * Names of the adapters that are loaded at startup.
     * @default []
     */
    readonly adapters?: readonly string[];
    /**
     * A prompt that contains this text crashes the engine.
     * @default no prompt crashes it
     */
    readonly crashMarker?: string;
    /**
     * If true, refuses orders with an outdated fence.
     * @default false
     */
    readonly checksFencing?: boolean;
    /**
     * Senders whose orders are accepted.
     * @default any sender
     */
    readonly senders?: readonly string[];
    /**
     * Address of the weight store that weights are loaded from.
     * @default none; a load takes {@link loadMilliseconds}
     */
    readonly weightStoreAddress?: string;
    /**
     * Duration of a weight load if there is no weight store, in milliseconds.
     * @default 1000
     */
    readonly loadMilliseconds?: number;
    /**
     * Called to simulate a crash.
     * @default the process exits with code 70
     */
    readonly onCrash?: () => void;
}

/** Options with defaults applied. */
export type ResolvedEngineOptions =
    & Required<Omit<EngineStandinOptions, "crashMarker" | "senders" | "weightStoreAddress">>
    & Pick<EngineStandinOptions, "crashMarker" | "senders" | "weightStoreAddress">;

const crashExitCode = 70;

export function resolveEngineOptions(options: EngineStandinOptions): ResolvedEngineOptions {
    return {
        port: 0,
        controlPort: 0,
        weights: "weights-1",
        adapters: [],
        blockTokens: 2_048,
        cacheBlocks: 64,
        prefillTokensPerSecond: 200_000,
        firstTokenMilliseconds: 5,
        betweenTokensMilliseconds: 1,
        slots: 64,
        loadLagMilliseconds: 500,
        eventLagMilliseconds: 200,
        loseEventEvery: 0,
        statedHeaders: {},
        checksFencing: false,
        loadMilliseconds: 1_000,
        onCrash: () => process.exit(crashExitCode),
        ...options,
    };
}
