/**
 * `npm run bench -- rates`: measures overspending, wrongful refusals and control messages under each fault, for the
 * product and two baselines, and how the product's cost grows with the fleet.
 *
 * @module
 */
import { parseInteger, parseMember, type SettingTable } from "@redwingpin/common";
import { Option } from "clipanion";
import { ExperimentCommand } from "../experimentCommand.js";
import { RatesPolicy, scaledDeployment, todayDeployment } from "./ratesDeployments.js";
import { type RatesRow, runRates } from "./ratesExperiment.js";
import { ratesFaults } from "./ratesFaults.js";
import { measureSlopes } from "./ratesSlopes.js";
import { renderRatesRows, renderRatesSlopes } from "./ratesTable.js";

const maximumSeed = 1_000_000;

enum RatesPart {
    All = "all",
    Today = "today",
    Scaled = "scaled",
    Slopes = "slopes",
}

interface RatesSettings {
    readonly seed: number;
    readonly part: RatesPart;
}

const settings: SettingTable<RatesSettings> = {
    seed: {
        variable: "REDWINGPIN_SEED",
        description: "Seed of requests and faults",
        defaultText: "1",
        parse: parseInteger(0, maximumSeed),
    },
    part: {
        variable: "REDWINGPIN_PART",
        description: `Part to run: ${Object.values(RatesPart).join(", ")}`,
        defaultText: RatesPart.All,
        parse: parseMember(RatesPart),
    },
};

/** Runs the rates experiment and prints its results. */
export class RatesCommand extends ExperimentCommand<RatesSettings> {
    static override paths = [["rates"]];

    json = Option.Boolean("--json", false, { description: "Print JSON instead of tables" });

    constructor() {
        super(settings);
    }

    protected override async run({ seed, part }: RatesSettings): Promise<number> {
        const deployments = [todayDeployment, scaledDeployment]
            .filter((deployment) => part === RatesPart.All || part === (deployment.name as RatesPart));
        const rows: RatesRow[] = [];
        for (const deployment of deployments) {
            for (const fault of ratesFaults) {
                for (const policy of Object.values(RatesPolicy)) {
                    rows.push(await runRates({ deployment, fault, policy, seed }));
                }
            }
        }
        const measuresSlopes = part === RatesPart.All || part === RatesPart.Slopes;
        const slopes = measuresSlopes ? await measureSlopes(seed) : undefined;
        const tables = [
            rows.length > 0 ? renderRatesRows(rows) : "",
            slopes === undefined ? "" : renderRatesSlopes(slopes),
        ];
        const text = this.json
            ? JSON.stringify({ seed, rows, slopes }, undefined, 2)
            : tables.filter((table) => table !== "").join("\n\n");
        this.context.stdout.write(`${text}\n`);
        return rows.every((row) => row.overspentTokens === 0) ? 0 : 1;
    }
}
