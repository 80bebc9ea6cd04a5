/**
 * Fuzz targets: each compares a decision module with a simple oracle over random histories.
 *
 * @module
 */
import fc from "fast-check";

/** One stateful fuzz. */
export interface FuzzTarget {
    /** Name for `--only`. */
    readonly name: string;
    /** Property over a random history; it fails where the module and the oracle disagree. */
    readonly property: () => fc.IRawProperty<unknown> | fc.IAsyncProperty<unknown>;
    /** Runs of the bounded part in `npm test`. */
    readonly boundedRuns: number;
}

/** Seed of the bounded part in `npm test`. */
export const boundedSeed = 20_261;

/** Result of one target. */
export interface FuzzResult {
    readonly name: string;
    readonly seed: number;
    readonly runs: number;
    /** Shrunk counter-example as a text for a person; absent where the property held. */
    readonly failure: string | undefined;
}

/** Runs one target with a seed. */
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
