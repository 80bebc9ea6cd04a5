/**
 * Findings: problems in an input, each with its place and what to do, collected and reported together.
 *
 * @module
 */

/** One problem in an input. */
export interface Finding {
    /** Where the problem stands, for example `accounts[2].keys[0].digest` or `--listen-port`. */
    readonly place: string;
    /** What is wrong, naming the thing. */
    readonly message: string;
    /** What to do about it. */
    readonly advice: string;
}

/** Renders one finding as a line for a person. */
export function formatFinding(finding: Finding): string {
    return `${finding.place}: ${finding.message} (${finding.advice})`;
}

/** Renders findings one a line, in the order given. */
export function formatFindings(findings: readonly Finding[]): string {
    return findings.map(formatFinding).join("\n");
}
