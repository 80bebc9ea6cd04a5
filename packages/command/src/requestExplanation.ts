/**
 * Explains the outcome of one request from the logs of many processes: finds the lines about it, the last known state
 * of the endpoints that it was sent to, and the line that explains its outcome.
 *
 * @module
 */

/** One parsed line of a log. */
export interface LogLine {
    readonly timestamp: string;
    /** Process that wrote the line. */
    readonly instance: string;
    readonly message: string;
    readonly fields: Readonly<Record<string, unknown>>;
}

/** Explanation of a request. */
export interface RequestExplanation {
    /** Lines about the request and about the state of its endpoints and dependencies, in chronological order. */
    readonly lines: readonly LogLine[];
    /** The line that explains the request's outcome; `undefined` if no line names the request. */
    readonly decidingLine?: LogLine;
    /** The outcome and its cause in one sentence. */
    readonly cause: string;
}

/** Maximum age of a state line at the time of the request's first line. Older lines are omitted. */
const maxStateAgeMilliseconds = 10_000;

/** Messages about the last known state of an endpoint or a dependency. */
const stateMessages: ReadonlySet<string> = new Set([
    "endpoint changed",
    "endpoint left out",
    "store lost",
    "store reached",
    "peer lost",
    "configuration in force",
    "version rollout changed",
    "version rollout decided",
]);

/** Parses log lines. Skips lines without a JSON object, and the text that a log collector adds before the object. */
export function parseLogLines(text: string): LogLine[] {
    return text.split("\n").flatMap((line) => parseLogLine(line) ?? []);
}

/** Explains the request with the given identifier. */
export function explainRequest(lines: readonly LogLine[], identifier: string): RequestExplanation {
    const requestLines = lines.filter((line) => line.fields["request"] === identifier).sort(byTime);
    if (requestLines.length === 0) {
        return {
            lines: [],
            cause: `no line names request "${identifier}"; its lines may have been dropped or lost`,
        };
    }
    const processes = new Set(requestLines.map((line) => line.instance));
    const endpoints = new Set(requestLines.map((line) => line.fields["endpoint"]));
    const first = Date.parse(requestLines[0].timestamp);
    const last = Date.parse(requestLines[requestLines.length - 1].timestamp);
    const stateLines = lines.filter((line) => {
        const at = Date.parse(line.timestamp);
        const endpoint = line.fields["endpoint"];
        return stateMessages.has(line.message) && processes.has(line.instance)
            && at >= first - maxStateAgeMilliseconds && at <= last
            && (endpoint === undefined || endpoints.has(endpoint));
    });
    const decidingLine = findDecidingLine(requestLines);
    return {
        lines: [...requestLines, ...stateLines].sort(byTime),
        decidingLine,
        cause: describeLine(decidingLine),
    };
}

/** Selects the refusal, else the last failed attempt if the request was not delivered, else the request's last line. */
function findDecidingLine(requestLines: readonly LogLine[]): LogLine {
    const refusal = requestLines.find((line) => line.message === "refused");
    const end = requestLines.find((line) => line.message === "request");
    const failedAttempts = requestLines.filter((line) =>
        line.message === "attempt" && line.fields["outcome"] !== "delivered"
    );
    if (refusal !== undefined) {
        return refusal;
    }
    if (end?.fields["outcome"] !== "delivered" && failedAttempts.length > 0) {
        return failedAttempts[failedAttempts.length - 1];
    }
    return end ?? requestLines[requestLines.length - 1];
}

function describeLine(line: LogLine): string {
    const { fields, instance, message } = line;
    const text = (name: string) => String(fields[name] ?? "not stated");
    switch (message) {
        case "refused":
            return `${instance} refused the request with status ${text("status")}: ${text("reason")} (${
                text("detail")
            })`;
        case "attempt":
            return `attempt ${text("attempt")} at endpoint ${text("endpoint")} ended as ${text("outcome")}: `
                + `${text("detail")}, after ${text("took")} ms and ${text("events")} events`;
        case "request":
            return `${instance} ended the request as ${text("outcome")}, reason ${text("reason")}`;
        default:
            return `${instance}: ${message}`;
    }
}

function parseLogLine(line: string): LogLine | undefined {
    const start = line.indexOf("{");
    if (start < 0) {
        return undefined;
    }
    let value: unknown;
    try {
        value = JSON.parse(line.slice(start));
    }
    catch {
        return undefined;
    }
    const fields = value as Record<string, unknown>;
    const { timestamp, instance, message } = fields;
    return typeof timestamp === "string" && typeof message === "string"
        ? { timestamp, instance: String(instance ?? ""), message, fields }
        : undefined;
}

function byTime(left: LogLine, right: LogLine): number {
    return Date.parse(left.timestamp) - Date.parse(right.timestamp);
}
