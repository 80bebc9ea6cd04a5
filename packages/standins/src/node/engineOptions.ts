/**
 * Options of the engine stand-in.
 *
 * @module
 */
import type { StandinOptions } from "./httpListener.js";

/** Options of the engine stand-in. */
export interface EngineStandinOptions extends StandinOptions {
    /**
     * Name of the weights that are loaded at the start.
     * @default "weights-1"
     */
    readonly weights?: string;
    /**
     * Tokens in one block of the prefix cache.
     * @default 2048
     */
    readonly blockTokens?: number;
    /**
     * Blocks that the cache holds.
     * @default 64
     */
    readonly cacheBlocks?: number;
    /**
     * Prompt tokens that are computed in a second where the cache does not hold them.
     * @default 200000
     */
    readonly prefillTokensPerSecond?: number;
    /**
     * Time before the first token beside the prompt's computation, in milliseconds.
     * @default 5
     */
    readonly firstTokenMilliseconds?: number;
    /**
     * Time between two tokens, in milliseconds.
     * @default 1
     */
    readonly betweenTokensMilliseconds?: number;
    /**
     * Requests that run at once; others wait in order of priority.
     * @default 64
     */
    readonly slots?: number;
    /**
     * Time by which the load report is late, in milliseconds.
     * @default 500
     */
    readonly loadLagMilliseconds?: number;
    /**
     * Time by which cache events are late, in milliseconds.
     * @default 200
     */
    readonly eventLagMilliseconds?: number;
    /**
     * Every N-th cache event is lost; 0 loses none.
     * @default 0
     */
    readonly loseEventEvery?: number;
    /**
     * Adapters that are loaded at the start.
     * @default []
     */
    readonly adapters?: readonly string[];
    /**
     * A prompt that contains this text crashes the engine.
     * @default no prompt does
     */
    readonly crashMarker?: string;
    /**
     * True refuses orders with an old fence.
     * @default false
     */
    readonly checksFencing?: boolean;
    /**
     * Senders whose orders are taken.
     * @default every sender's are
     */
    readonly senders?: readonly string[];
    /**
     * Address of the weight store from which weights load.
     * @default none: a load takes {@link loadMilliseconds}
     */
    readonly weightStoreAddress?: string;
    /**
     * Time of a weight load without a weight store, in milliseconds.
     * @default 1000
     */
    readonly loadMilliseconds?: number;
    /**
     * What a crash does.
     * @default the process exits with code 70
     */
    readonly onCrash?: () => void;
}

/** Options with every default filled in. */
export type ResolvedEngineOptions =
    & Required<Omit<EngineStandinOptions, "crashMarker" | "senders" | "weightStoreAddress">>
    & Pick<EngineStandinOptions, "crashMarker" | "senders" | "weightStoreAddress">;

const crashExitCode = 70;

/** Fills in the defaults. */
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
        checksFencing: false,
        loadMilliseconds: 1_000,
        onCrash: () => process.exit(crashExitCode),
        ...options,
    };
}
