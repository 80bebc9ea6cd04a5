/**
 * Quantiles of small samples, exact and without buckets.
 *
 * @module
 */

/** Median, 95th and 99th percentile, in the samples' unit. */
export interface Quantiles {
    readonly median: number;
    readonly p95: number;
    readonly p99: number;
}

/** Quantiles of samples by the nearest-rank method, rounded to microseconds where the unit is a millisecond. */
export function quantilesOf(samples: readonly number[]): Quantiles {
    const sorted = [...samples].sort((left, right) => left - right);
    const at = (share: number) => round(sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)]);
    return { median: at(0.5), p95: at(0.95), p99: at(0.99) };
}

function round(value: number): number {
    return Math.round(value * 1_000) / 1_000;
}
