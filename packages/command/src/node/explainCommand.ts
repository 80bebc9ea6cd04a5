/**
 * `redwingpin explain`: gathers the log lines of one request over the logs of many processes and names the cause.
 *
 * @module
 */
import { Command, Option } from "clipanion";
import { readFileSync } from "node:fs";
import { ExitCode } from "../exitCodes.js";
import { explainRequest, type LogLine, parseLogLines } from "../requestExplanation.js";

/** Prints a request's lines in order of time, and what decided. */
export class ExplainCommand extends Command {
    static override paths = [["explain"]];
    static override usage = Command.Usage({
        description: "Explain from logs what became of a request",
        examples: [["A request in the logs of two routers", "$0 explain 9c41d07b --logs a.log --logs b.log"]],
    });

    identifier = Option.String({ name: "request", required: true });
    logs = Option.Array("--logs", { description: "A file of log lines; may be given several times" });

    async execute(): Promise<number> {
        const lines: LogLine[] = [];
        for (const file of this.logs ?? []) {
            try {
                lines.push(...parseLogLines(readFileSync(file, "utf8")));
            }
            catch (error) {
                this.context.stderr.write(
                    `redwingpin: log file "${file}" cannot be read: ${String(error)}\n`,
                );
                return ExitCode.Failed;
            }
        }
        const explanation = explainRequest(lines, this.identifier);
        for (const line of explanation.lines) {
            this.context.stdout.write(`${formatLine(line, line === explanation.deciding)}\n`);
        }
        this.context.stdout.write(`cause: ${explanation.cause}\n`);
        return explanation.deciding === undefined ? ExitCode.Failed : ExitCode.Done;
    }
}

const hiddenFields: ReadonlySet<string> = new Set(["timestamp", "instance", "message", "level", "scope"]);

function formatLine(line: LogLine, isDeciding: boolean): string {
    const fields = Object.entries(line.fields)
        .filter(([name]) => !hiddenFields.has(name))
        .map(([name, value]) => `${name}=${String(value)}`)
        .join(" ");
    return `${isDeciding ? ">" : " "} ${line.timestamp} ${line.instance} ${line.message} ${fields}`;
}
