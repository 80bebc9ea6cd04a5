/**
 * The command-line interface `redwingpin`.
 *
 * @module
 */
import { Builtins, Cli } from "clipanion";
import { ExplainCommand } from "./explainCommand.js";
import { KeyDigestCommand } from "./keyCommands.js";
import { ManifestApplyCommand } from "./manifestApplyCommand.js";
import { ManifestCheckCommand, ManifestSchemaCommand, ManifestShowCommand } from "./manifestCommands.js";
import { ManifestStatusCommand, StatusCommand } from "./statusCommands.js";

/** Creates the command-line interface with all subcommands. */
export function createCli(): Cli {
    const cli = new Cli({ binaryName: "redwingpin", binaryLabel: "redwingpin operator's command" });
    cli.register(Builtins.HelpCommand);
    cli.register(ManifestCheckCommand);
    cli.register(ManifestApplyCommand);
    cli.register(ManifestShowCommand);
    cli.register(ManifestStatusCommand);
    cli.register(ManifestSchemaCommand);
    cli.register(StatusCommand);
    cli.register(KeyDigestCommand);
    cli.register(ExplainCommand);
    return cli;
}
