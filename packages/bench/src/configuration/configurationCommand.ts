/**
 * `npm run bench -- configuration`: how accepted changes spread, and what the control of configuration and membership
 * costs each process, at growing fleets on simulated time.
 *
 * @module
 */
import {
    describeSettingsFindings,
    parseInteger,
    SettingsCommand,
    type SettingTable,
} from "@redwingpin/common";
import { Option } from "clipanion";
import { err, ok, type Result } from "neverthrow";
import { type InstallMeasures, measureInstall } from "./installCost.js";
import { type MembershipMeasures, runMembership } from "./membershipRun.js";
import { type Line, lineThrough } from "./slope.js";
import { runSpread, type SpreadMeasures } from "./spreadRun.js";

const settingsExitCode = 2;
const maximumSeed = 1_000_000;
const agentsPerRouter = 21;
const dataCentres = 10;
const latency = 5;
const changes = 12;
const secondsPerDay = 86_400;
const changesPerDay = 47_000;
const millisecondsPerSecond = 1_000;
const accountCounts = [200, 1_000, 4_200];

/** Fleets above this size are left out of the membership run, whose tables would fill the memory of one machine. */
const largestMembershipFleet = 100;

interface ConfigurationSettings {
    readonly seed: number;
    readonly routers: readonly number[];
}

function parseCounts(text: string): Result<readonly number[], string> {
    const counts = text.split(",").map(Number);
    const isValid = counts.every((count) => Number.isInteger(count) && count > 0);
    return isValid ? ok(counts) : err(`"${text}" is not a list of whole numbers separated by commas`);
}

const settings: SettingTable<ConfigurationSettings> = {
    seed: {
        variable: "REDWINGPIN_SEED",
        description: "Seed of the random choices",
        defaultText: "1",
        parse: parseInteger(0, maximumSeed),
    },
    routers: {
        variable: "REDWINGPIN_ROUTERS",
        description: "Numbers of routers to run, separated by commas; each has 21 agents",
        defaultText: "30,100,300,570",
        parse: parseCounts,
    },
};

/** Figures of the experiment. */
interface ConfigurationReport {
    readonly seed: number;
    readonly changesPerSecond: number;
    readonly spread: readonly SpreadMeasures[];
    readonly membership: readonly MembershipMeasures[];
    readonly install: readonly InstallMeasures[];
    /** Lines over the number of routers. */
    readonly slopes: {
        readonly routerBytesPerSecond: Line;
        readonly watcherBytesPerSecond: Line;
        readonly agentBytesPerSecond: Line;
        readonly storeReadsPerSecond: Line;
        readonly membershipBytesPerSecond: Line;
    };
}

/** Plays the experiment and prints its figures. */
export class ConfigurationCommand extends SettingsCommand<ConfigurationSettings> {
    static override paths = [["configuration"]];

    json = Option.Boolean("--json", false, { description: "Print JSON in place of a table" });

    constructor() {
        super(settings);
    }

    async execute(): Promise<number> {
        const resolved = this.resolve(process.env);
        if (resolved.isErr()) {
            this.context.stderr.write(describeSettingsFindings("bench configuration", resolved.error));
            return settingsExitCode;
        }
        const report = measure(resolved.value);
        const text = this.json ? JSON.stringify(report, undefined, 2) : renderReport(report);
        this.context.stdout.write(`${text}\n`);
        return 0;
    }
}

function measure({ seed, routers }: ConfigurationSettings): ConfigurationReport {
    const changesPerSecond = changesPerDay / secondsPerDay;
    const changeInterval = Math.round(millisecondsPerSecond / changesPerSecond);
    const spread = routers.map((count) =>
        runSpread({
            routers: count,
            agentsPerRouter,
            dataCentres,
            latency,
            seed,
            changes,
            changeInterval,
        })
    );
    const membership = routers.filter((count) => count <= largestMembershipFleet)
        .map((count) => runMembership(count, agentsPerRouter, dataCentres, seed));
    const line = (value: (measures: SpreadMeasures) => number) =>
        lineThrough(spread.map((measures) => ({ x: measures.routers, y: value(measures) })));
    return {
        seed,
        changesPerSecond,
        spread,
        membership,
        install: accountCounts.map(measureInstall),
        slopes: {
            routerBytesPerSecond: line((measures) => measures.routerBytesPerSecond),
            watcherBytesPerSecond: line((measures) => measures.watcherBytesPerSecond),
            agentBytesPerSecond: line((measures) => measures.agentBytesPerSecond),
            storeReadsPerSecond: line((measures) => measures.storeReadsPerSecond),
            membershipBytesPerSecond: lineThrough(
                membership.map((measures) => ({ x: measures.routers, y: measures.routerBytesPerSecond })),
            ),
        },
    };
}

function renderReport(report: ConfigurationReport): string {
    const rows = [
        ...report.spread.map((row) => `spread ${renderRow(row)}`),
        ...report.membership.map((row) => `membership ${renderRow(row)}`),
        ...report.install.map((row) => `install ${renderRow(row)}`),
    ];
    return rows.join("\n");
}

function renderRow(row: object): string {
    return Object.entries(row).map(([name, value]) => `${name}=${Math.round(Number(value) * 1_000) / 1_000}`)
        .join(" ");
}
