/**
 * `redwingpin explain`: collects the lines about one request from the logs of many processes and prints the cause.
 *
 * @module
 */
import { Command, Option } from "clipanion";
import { readFileSync } from "node:fs";
import { ExitCode } from "../exitCodes.js";
import { explainRequest, type LogLine, parseLogLines } from "../requestExplanation.js";

/** Prints the lines about a request in chronological order, and the cause of its outcome. */
export class ExplainCommand extends Command {
    static override paths = [["explain"]];
    static override usage = Command.Usage({
        description: "Explain the outcome of a request from logs",
        examples: [["A request in the logs of two routers", "$0 explain 9c41d07b --logs a.log --logs b.log"]],
    });

    identifier = Option.String({ name: "request", required: true });
    logs = Option.Array("--logs", { description: "Log file; can be given several times" });

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
            this.context.stdout.write(`${formatLine(line, line === explanation.decidingLine)}\n`);
        }
        this.context.stdout.write(`cause: ${explanation.cause}\n`);
        return explanation.decidingLine === undefined ? ExitCode.Failed : ExitCode.Done;
    }
}

const hiddenFields: ReadonlySet<string> = new Set(["timestamp", "instance", "message", "level", "scope"]);

function formatLine(line: LogLine, isDecidingLine: boolean): string {
    const fields = Object.entries(line.fields)
        .filter(([name]) => !hiddenFields.has(name))
        .map(([name, value]) => `${name}=${String(value)}`)
        .join(" ");
    return `${isDecidingLine ? ">" : " "} ${line.timestamp} ${line.instance} ${line.message} ${fields}`;
}
