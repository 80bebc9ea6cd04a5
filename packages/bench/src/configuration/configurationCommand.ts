/**
 * `npm run bench -- configuration`: measures the propagation of accepted changes, and the cost of configuration and
 * membership for each process, with fleets of several sizes in simulated time.
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
import { fitLine, type LinearFit } from "./linearRegression.js";
import { type MembershipMeasures, runMembership } from "./membershipRun.js";
import { type PropagationMeasures, runPropagation } from "./propagationRun.js";

const settingsExitCode = 2;
const maximumSeed = 1_000_000;
const agentsPerRouter = 21;
const dataCentreCount = 10;
const networkLatency = 5;
const changeCount = 12;
const secondsPerDay = 86_400;
const changesPerDay = 47_000;
const millisecondsPerSecond = 1_000;
const accountCounts = [200, 1_000, 4_200];

/** Maximum number of routers in membership runs. The tables of a larger fleet exceed one machine's memory. */
const maximumMembershipRouters = 100;

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
        description: "Numbers of routers to simulate, separated by commas; each has 21 agents",
        defaultText: "30,100,300,570",
        parse: parseCounts,
    },
};

/** Results of the experiment. They are printed as JSON under these names. */
interface ConfigurationReport {
    readonly seed: number;
    readonly changesPerSecond: number;
    /** Propagation of changes, by number of routers. */
    readonly spread: readonly PropagationMeasures[];
    readonly membership: readonly MembershipMeasures[];
    readonly install: readonly InstallMeasures[];
    /** Linear fits over the number of routers. */
    readonly slopes: {
        readonly routerBytesPerSecond: LinearFit;
        readonly watcherBytesPerSecond: LinearFit;
        readonly agentBytesPerSecond: LinearFit;
        readonly storeReadsPerSecond: LinearFit;
        readonly membershipBytesPerSecond: LinearFit;
    };
}

/** Runs the experiment and prints its results. */
export class ConfigurationCommand extends SettingsCommand<ConfigurationSettings> {
    static override paths = [["configuration"]];

    json = Option.Boolean("--json", false, { description: "Print JSON instead of a table" });

    constructor() {
        super(settings);
    }

    async execute(): Promise<number> {
        const resolved = this.resolve(process.env);
        if (resolved.isErr()) {
            this.context.stderr.write(describeSettingsFindings("bench configuration", resolved.error));
            return settingsExitCode;
        }
        const report = runExperiment(resolved.value);
        const text = this.json ? JSON.stringify(report, undefined, 2) : renderReport(report);
        this.context.stdout.write(`${text}\n`);
        return 0;
    }
}

function runExperiment({ seed, routers }: ConfigurationSettings): ConfigurationReport {
    const changesPerSecond = changesPerDay / secondsPerDay;
    const changeInterval = Math.round(millisecondsPerSecond / changesPerSecond);
    const propagation = routers.map((count) =>
        runPropagation({
            routers: count,
            agentsPerRouter,
            dataCentres: dataCentreCount,
            latency: networkLatency,
            seed,
            changes: changeCount,
            changeInterval,
        })
    );
    const membership = routers.filter((count) => count <= maximumMembershipRouters)
        .map((count) => runMembership(count, agentsPerRouter, dataCentreCount, seed));
    const fit = (value: (measures: PropagationMeasures) => number) =>
        fitLine(propagation.map((measures) => ({ x: measures.routers, y: value(measures) })));
    return {
        seed,
        changesPerSecond,
        spread: propagation,
        membership,
        install: accountCounts.map(measureInstall),
        slopes: {
            routerBytesPerSecond: fit((measures) => measures.routerBytesPerSecond),
            watcherBytesPerSecond: fit((measures) => measures.watcherBytesPerSecond),
            agentBytesPerSecond: fit((measures) => measures.agentBytesPerSecond),
            storeReadsPerSecond: fit((measures) => measures.storeReadsPerSecond),
            membershipBytesPerSecond: fitLine(
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
