/**
 * The benchmark command line: each experiment on the product or its decision modules is one subcommand.
 *
 * @module
 */
import { Builtins, Cli, type CommandClass } from "clipanion";
import { ClaimsCommand } from "../claims/claimsCommand.js";
import { ConfigurationCommand } from "../configuration/configurationCommand.js";
import { OverheadCommand } from "../overhead/overheadCommand.js";
import { PlacementStateCommand } from "../placementState/placementStateCommand.js";
import { PolicyCommand } from "../policy/policyCommand.js";
import { RatesCommand } from "../rates/ratesCommand.js";
import { SlopesCommand } from "../slopes/slopesCommand.js";

const experiments: readonly CommandClass[] = [
    ClaimsCommand,
    ConfigurationCommand,
    OverheadCommand,
    PolicyCommand,
    RatesCommand,
    SlopesCommand,
    PlacementStateCommand,
];

const cli = new Cli({ binaryName: "redwingpin-bench", binaryLabel: "redwingpin bench" });
cli.register(Builtins.HelpCommand);
for (const experiment of experiments) {
    cli.register(experiment);
}
void cli.runExit(process.argv.slice(2));
