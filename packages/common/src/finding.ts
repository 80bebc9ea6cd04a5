/**
 * Findings: problems in an input, each with its location and advice, collected and reported together.
 *
 * @module
 */

/** One problem in an input. */
export interface Finding {
    /** Where the problem is, for example `accounts[2].keys[0].digest` or `--listen-port`. */
    readonly place: string;
    /** What is wrong; names the invalid part. */
    readonly message: string;
    /** What to do about it. */
    readonly advice: string;
}

/** Formats a finding as one line of text. */
export function formatFinding(finding: Finding): string {
    return `${finding.place}: ${finding.message} (${finding.advice})`;
}

/** Formats findings in the given order, one per line. */
export function formatFindings(findings: readonly Finding[]): string {
    return findings.map(formatFinding).join("\n");
}
