/**
 * `npm run fuzz -- --seed N --runs N [--only NAME]`: runs the stateful fuzz targets. For each failure it prints
 * the seed and the shrunk counterexample.
 *
 * @module
 */
import { Command, Option, runExit } from "clipanion";
import { runFuzzTarget } from "../fuzz/fuzzTarget.js";
import { fuzzTargets } from "../fuzz/targets.js";

class FuzzCommand extends Command {
    static override paths = [Command.Default];

    seed = Option.String("--seed", "1", { description: "Seed of the random histories" });
    runs = Option.String("--runs", "200", { description: "Number of histories for each target" });
    only = Option.String("--only", { description: "Name of one target" });

    async execute(): Promise<number> {
        const selected = fuzzTargets.filter((target) => this.only === undefined || target.name === this.only);
        if (selected.length === 0) {
            const names = fuzzTargets.map((target) => target.name).join(", ");
            this.context.stderr.write(`no fuzz target is named "${this.only}"; choose one of ${names}\n`);
            return 2;
        }
        let failed = 0;
        for (const target of selected) {
            const result = await runFuzzTarget(target, Number(this.seed), Number(this.runs));
            failed += result.failure === undefined ? 0 : 1;
            const verdict = result.failure === undefined ? "held" : `FAILED\n${result.failure}`;
            this.context.stdout.write(
                `${result.name}: seed ${result.seed}, ${result.runs} runs: ${verdict}\n`,
            );
        }
        return failed === 0 ? 0 : 1;
    }
}

void runExit(FuzzCommand);
