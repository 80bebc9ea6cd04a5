/**
 * Time to transfer cached prefixes, from the capacity of the links that the configuration states.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";

/** One end of a transfer. */
export interface LinkEnd {
    /** `host:port`. */
    readonly address: string;
    /** `undefined` if unknown; such an end counts as in the same data centre. */
    readonly dataCentre: string | undefined;
    /** Capacity of its link; `undefined` if unknown. */
    readonly megabitsPerSecond: number | undefined;
}

/** Capacity that is assumed for a link whose configuration does not state it. */
const defaultMegabitsPerSecond = 10_000;

/** Transfers between data centres take this many times as long. */
const otherDataCentreFactor = 2;

const bitsPerByte = 8;
const bitsPerMegabitMillisecond = 1_000;

/** Duration of a transfer over idle links. */
export function transferTime(bytes: number, from: LinkEnd, to: LinkEnd): Milliseconds {
    const megabitsPerSecond = Math.min(
        from.megabitsPerSecond ?? defaultMegabitsPerSecond,
        to.megabitsPerSecond ?? defaultMegabitsPerSecond,
    );
    const isNear = from.dataCentre === undefined || to.dataCentre === undefined
        || from.dataCentre === to.dataCentre;
    return bytes * bitsPerByte / (megabitsPerSecond * bitsPerMegabitMillisecond)
        * (isNear ? 1 : otherDataCentreFactor);
}
