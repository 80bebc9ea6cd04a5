/**
 * Fuzz targets: each compares a decision module with a simple model (the oracle) over random histories.
 *
 * @module
 */
import fc from "fast-check";

/** One stateful fuzz test. */
export interface FuzzTarget {
    /** Name for `--only`. */
    readonly name: string;
    /** Property over random histories; it fails if the module and the oracle disagree. */
    readonly property: () => fc.IRawProperty<unknown> | fc.IAsyncProperty<unknown>;
    /** Number of histories that `npm test` runs. */
    readonly boundedRuns: number;
}

/** Seed of the histories that `npm test` runs. */
export const boundedSeed = 20_261;

/** Result of one target. */
export interface FuzzResult {
    readonly name: string;
    readonly seed: number;
    readonly runs: number;
    /** Readable report of the shrunk counterexample; absent if the property held. */
    readonly failure: string | undefined;
}

export async function runFuzzTarget(target: FuzzTarget, seed: number, runs: number): Promise<FuzzResult> {
    const details = await fc.check(target.property() as fc.IAsyncProperty<unknown>, {
        seed,
        numRuns: runs,
        includeErrorInReport: true,
    });
    return {
        name: target.name,
        seed,
        runs: details.numRuns,
        failure: details.failed ? await fc.asyncDefaultReportMessage(details) : undefined,
    };
}
