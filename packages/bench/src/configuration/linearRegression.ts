/**
 * Linear regression by least squares.
 *
 * @module
 */

/** A fitted line: `y = atZero + perUnit * x`. */
export interface LinearFit {
    readonly atZero: number;
    readonly perUnit: number;
}

/** A measured point. */
export interface Point {
    readonly x: number;
    readonly y: number;
}

/** Fits a line to the points by least squares. The slope is 0 if all points have the same `x`. */
export function fitLine(points: readonly Point[]): LinearFit {
    const mean = (values: readonly number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;
    const meanX = mean(points.map((point) => point.x));
    const meanY = mean(points.map((point) => point.y));
    const sumOfSquares = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
    const sumOfProducts = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
    const perUnit = sumOfSquares === 0 ? 0 : sumOfProducts / sumOfSquares;
    return { atZero: meanY - perUnit * meanX, perUnit };
}
