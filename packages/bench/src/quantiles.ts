/**
 * Computes exact quantiles of small samples.
 *
 * @module
 */

/** Median, 95th and 99th percentile, in the unit of the samples. */
export interface Quantiles {
    readonly median: number;
    readonly p95: number;
    readonly p99: number;
}

/** Computes quantiles by the nearest-rank method, rounded to a thousandth of the samples' unit. */
export function quantilesOf(samples: readonly number[]): Quantiles {
    const sorted = [...samples].sort((left, right) => left - right);
    const quantile = (share: number) => round(sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)]);
    return { median: quantile(0.5), p95: quantile(0.95), p99: quantile(0.99) };
}

function round(value: number): number {
    return Math.round(value * 1_000) / 1_000;
}
