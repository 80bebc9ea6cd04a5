/**
 * Base class of the commands whose settings come from a settings table.
 *
 * @module
 */
import { formatFindings, SettingsCommand, settingsExitCode } from "@redwingpin/common";

/** A command that runs with resolved settings, or reports every invalid setting. */
export abstract class ExperimentCommand<Resolved> extends SettingsCommand<Resolved> {
    /** Runs the experiment; resolves with the exit code. */
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
