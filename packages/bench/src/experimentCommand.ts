/**
 * The base of experiments whose settings come from a table.
 *
 * @module
 */
import { formatFindings, SettingsCommand, settingsExitCode } from "@redwingpin/common";

/** An experiment that runs with resolved settings, or reports every finding in them. */
export abstract class ExperimentCommand<Resolved> extends SettingsCommand<Resolved> {
    /** Plays the experiment; resolves with the exit code. */
    protected abstract run(settings: Resolved): Promise<number>;

    async execute(): Promise<number> {
        return this.resolve(process.env).match(
            (resolved) => this.run(resolved),
            async (findings) => {
                this.context.stderr.write(`${formatFindings(findings)}\n`);
                return settingsExitCode;
            },
        );
    }
}
