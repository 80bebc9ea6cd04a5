/**
 * Seeded random numbers, over the `pure-rand` library.
 *
 * @module
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Number of distinct values of {@link RandomSource.unit}. */
const unitSteps = 0x40000000;

/** Exclusive upper bound of seeds. */
export const maxSeed = 2 ** 31;

/** A source of random numbers. The same seed produces the same sequence. */
export interface RandomSource {
    /** Returns an integer from 0 to `bound`, exclusive. */
    integerBelow(bound: number): number;
    /** Returns a number from 0 to 1, exclusive. */
    unit(): number;
}

export function seededRandom(seed: number): RandomSource {
    const generator = xoroshiro128plus(seed);
    const integerBelow = (bound: number) => uniformInt(generator, 0, bound - 1);
    return {
        integerBelow,
        unit: () => integerBelow(unitSteps) / unitSteps,
    };
}

/** Returns a random element, or `undefined` if the list is empty. */
export function pick<T>(random: RandomSource, from: readonly T[]): T | undefined {
    return from.length === 0 ? undefined : from[random.integerBelow(from.length)];
}

/** Returns up to `count` distinct random elements. */
export function sample<T>(random: RandomSource, from: readonly T[], count: number): T[] {
    const rest = [...from];
    const taken: T[] = [];
    while (taken.length < count && rest.length > 0) {
        taken.push(...rest.splice(random.integerBelow(rest.length), 1));
    }
    return taken;
}
