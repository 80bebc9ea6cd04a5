/**
 * `npm run bench -- policy`: compares the product's placement and fair queueing with simpler policies and with an
 * oracle router, in a simulation of engines on a fake clock.
 *
 * @module
 */
import { parseInteger, parseMember, parseText, type SettingTable } from "@redwingpin/common";
import { Option } from "clipanion";
import { ok, type Result } from "neverthrow";
import { writeFileSync } from "node:fs";
import { ExperimentCommand } from "../experimentCommand.js";
import { CaseName } from "./cases.js";
import { DeploymentName, deployments } from "./deployments.js";
import { runExperiment } from "./experiment.js";
import { renderReport } from "./report.js";
import { renderTable } from "./table.js";

const maximumSeed = 1_000_000;

interface PolicySettings {
    readonly deployment: DeploymentName | undefined;
    readonly seed: number;
    readonly case: CaseName | undefined;
    readonly report: string | undefined;
}

function optional<T>(
    parse: (text: string) => Result<T, string>,
): (text: string) => Result<T | undefined, string> {
    return (text) => text === "" ? ok(undefined) : parse(text);
}

const settings: SettingTable<PolicySettings> = {
    deployment: {
        variable: "REDWINGPIN_DEPLOYMENT",
        description: "Deployment to simulate: office or kartela; both if empty",
        defaultText: "",
        parse: optional(parseMember(DeploymentName)),
    },
    seed: {
        variable: "REDWINGPIN_SEED",
        description: "Seed of the calls",
        defaultText: "1",
        parse: parseInteger(0, maximumSeed),
    },
    case: {
        variable: "REDWINGPIN_CASE",
        description: `Case to simulate: ${Object.values(CaseName).join(", ")}; all if empty`,
        defaultText: "",
        parse: optional(parseMember(CaseName)),
    },
    report: {
        variable: "REDWINGPIN_REPORT",
        description: "File to write a self-contained HTML report to; none if empty",
        defaultText: "",
        parse: optional(parseText),
    },
};

/** Runs the policy experiment and prints its results. */
export class PolicyCommand extends ExperimentCommand<PolicySettings> {
    static override paths = [["policy"]];

    json = Option.Boolean("--json", false, { description: "Print JSON instead of a table" });

    constructor() {
        super(settings);
    }

    protected override async run(resolved: PolicySettings): Promise<number> {
        const names = resolved.deployment === undefined
            ? Object.values(DeploymentName)
            : [resolved.deployment];
        const cases = resolved.case === undefined ? undefined : [resolved.case];
        const rows = names.flatMap((name) =>
            runExperiment({ deployment: deployments[name], seed: resolved.seed, cases })
        );
        const text = this.json
            ? JSON.stringify({ seed: resolved.seed, rows }, undefined, 2)
            : renderTable(rows);
        this.context.stdout.write(`${text}\n`);
        if (resolved.report === undefined) {
            return 0;
        }
        writeFileSync(resolved.report, await renderReport(resolved.seed, rows));
        return 0;
    }
}
