/**
 * Explains what became of one request from the log lines of many processes: the lines that name it, what was believed
 * of the endpoints that it was sent to, and the line that decided.
 *
 * @module
 */

/** One structured line of a log. */
export interface LogLine {
    readonly timestamp: string;
    /** Process that wrote it. */
    readonly instance: string;
    readonly message: string;
    readonly fields: Readonly<Record<string, unknown>>;
}

/** What the lines say of a request. */
export interface RequestExplanation {
    /** Lines that name the request, and beliefs about its endpoints before them, in order of time. */
    readonly lines: readonly LogLine[];
    /** The line that decided how the request ended; absent where no line names it. */
    readonly deciding?: LogLine;
    /** What that line says, for a person. */
    readonly cause: string;
}

/** Beliefs older than this before a request's first line are left out. */
const beliefAgeMilliseconds = 10_000;

/** Messages that say what a process believes of an endpoint or a dependency. */
const beliefMessages: ReadonlySet<string> = new Set([
    "endpoint changed",
    "endpoint left out",
    "store lost",
    "store reached",
    "peer lost",
    "configuration in force",
]);

/** Reads lines of logs; text before the first brace, as a collector adds it, is left out, and so are other lines. */
export function parseLogLines(text: string): LogLine[] {
    return text.split("\n").flatMap((line) => parseLogLine(line) ?? []);
}

/** Explains a request by its identifier. */
export function explainRequest(lines: readonly LogLine[], identifier: string): RequestExplanation {
    const named = lines.filter((line) => line.fields["request"] === identifier).sort(byTime);
    if (named.length === 0) {
        return {
            lines: [],
            cause: `no line names request "${identifier}"; its log may have been left out or lost`,
        };
    }
    const processes = new Set(named.map((line) => line.instance));
    const endpoints = new Set(named.map((line) => line.fields["endpoint"]));
    const first = Date.parse(named[0].timestamp);
    const last = Date.parse(named[named.length - 1].timestamp);
    const beliefs = lines.filter((line) => {
        const at = Date.parse(line.timestamp);
        const endpoint = line.fields["endpoint"];
        return beliefMessages.has(line.message) && processes.has(line.instance)
            && at >= first - beliefAgeMilliseconds && at <= last
            && (endpoint === undefined || endpoints.has(endpoint));
    });
    const deciding = findDeciding(named);
    return { lines: [...named, ...beliefs].sort(byTime), deciding, cause: describe(deciding) };
}

/** A refusal, or the last attempt that did not deliver, or else the last line. */
function findDeciding(named: readonly LogLine[]): LogLine {
    const refused = named.find((line) => line.message === "refused");
    const ended = named.find((line) => line.message === "request");
    const failedAttempts = named.filter((line) =>
        line.message === "attempt" && line.fields["outcome"] !== "delivered"
    );
    if (refused !== undefined) {
        return refused;
    }
    if (ended?.fields["outcome"] !== "delivered" && failedAttempts.length > 0) {
        return failedAttempts[failedAttempts.length - 1];
    }
    return ended ?? named[named.length - 1];
}

function describe(line: LogLine): string {
    const { fields, instance, message } = line;
    const text = (name: string) => String(fields[name] ?? "not stated");
    switch (message) {
        case "refused":
            return `${instance} refused it with status ${text("status")}: ${text("reason")} (${
                text("detail")
            })`;
        case "attempt":
            return `attempt ${text("attempt")} at endpoint ${text("endpoint")} ended as ${text("outcome")}: `
                + `${text("detail")}, after ${text("took")} ms and ${text("events")} events`;
        case "request":
            return `${instance} ended it as ${text("outcome")}, reason ${text("reason")}`;
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
