/**
 * Straight lines through measured points, by least squares.
 *
 * @module
 */

/** A line: `atZero + perUnit * x`. */
export interface Line {
    readonly atZero: number;
    readonly perUnit: number;
}

/** A measured point. */
export interface Point {
    readonly x: number;
    readonly y: number;
}

/** The line with the least squared distance from the points; level where all have the same `x`. */
export function lineThrough(points: readonly Point[]): Line {
    const mean = (values: readonly number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;
    const meanX = mean(points.map((point) => point.x));
    const meanY = mean(points.map((point) => point.y));
    const spread = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
    const together = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
    const perUnit = spread === 0 ? 0 : together / spread;
    return { atZero: meanY - perUnit * meanX, perUnit };
}
