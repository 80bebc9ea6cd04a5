/**
 * Predicts how many tokens a request makes an engine generate.
 *
 * @module
 */

/** What a request states of its output. */
export interface StatedOutput {
    /** Maximum number of output tokens. */
    readonly outputTokens: number;
    /** The caller's estimate, which may exceed the maximum. */
    readonly expectedOutputTokens?: number;
}

/** Predicted number of output tokens: the caller's estimate within the maximum; the maximum without an estimate. */
export function predictOutputTokens({ expectedOutputTokens, outputTokens }: StatedOutput): number {
    return Math.min(outputTokens, expectedOutputTokens ?? outputTokens);
}
