/**
 * Seeded random numbers, over the `pure-rand` library.
 *
 * @module
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const unitSteps = 0x40000000;

/** Seeds are below this. */
export const maxSeed = 2 ** 31;

/** A source of random numbers; the same seed gives the same sequence. */
export interface RandomSource {
    /** An integer from 0 up to, not including, `bound`. */
    integerBelow(bound: number): number;
    /** A number from 0 up to, not including, 1. */
    unit(): number;
}

/** Makes a random source from a seed. */
export function seededRandom(seed: number): RandomSource {
    const generator = xoroshiro128plus(seed);
    const integerBelow = (bound: number) => uniformInt(generator, 0, bound - 1);
    return {
        integerBelow,
        unit: () => integerBelow(unitSteps) / unitSteps,
    };
}

/** Picks one element, or `undefined` from an empty list. */
export function pick<T>(random: RandomSource, from: readonly T[]): T | undefined {
    return from.length === 0 ? undefined : from[random.integerBelow(from.length)];
}
