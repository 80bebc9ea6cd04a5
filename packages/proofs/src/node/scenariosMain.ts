/**
 * `npm run scenarios [-- FILE...] [--only TEXT]`: runs scripted scenarios against real processes and prints their
 * measurements. The exit code is 1 if a scenario failed or none was selected.
 *
 * @module
 */
import { Command, Option, runExit } from "clipanion";
import { projectFeatureFiles, readFeatureFile } from "../scenarios/featureFile.js";
import { formatResult, runScenario } from "../scenarios/runScenario.js";

class ScenariosCommand extends Command {
    static override paths = [Command.Default];
    static override usage = Command.Usage({
        description: "Runs scripted scenarios against real processes",
        details: "Without a file, every scenario of the project runs.",
    });

    files = Option.Rest({ name: "FILE" });
    only = Option.String("--only", { description: "Text that a scenario's name or tags must contain" });

    async execute(): Promise<number> {
        const files = this.files.length > 0 ? this.files : projectFeatureFiles();
        const scenarios = files.flatMap(readFeatureFile).filter(({ name, tags }) =>
            this.only === undefined || name.includes(this.only) || tags.includes(this.only)
        );
        let failed = 0;
        for (const scenario of scenarios) {
            const result = await runScenario(scenario);
            failed += result.failure === undefined ? 0 : 1;
            this.context.stdout.write(formatResult(result));
        }
        this.context.stdout.write(`${scenarios.length - failed} held, ${failed} failed\n`);
        return failed === 0 && scenarios.length > 0 ? 0 : 1;
    }
}

void runExit(ScenariosCommand);
