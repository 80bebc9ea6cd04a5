/**
 * Runs scenarios one after the other, each with a world of its own.
 *
 * @module
 */
import type { Scenario } from "./featureFile.js";
import { type MatchedStep, StepRegistry } from "./stepRegistry.js";
import { callerSteps, describe } from "./steps/callerSteps.js";
import { checkSteps } from "./steps/checkSteps.js";
import { networkSteps } from "./steps/networkSteps.js";
import { operatorSteps } from "./steps/operatorSteps.js";
import { siteSteps } from "./steps/siteSteps.js";
import { World } from "./world.js";

/** What became of one scenario. */
export interface ScenarioResult {
    readonly scenario: Scenario;
    readonly seconds: number;
    /** Figures that its steps measured. */
    readonly measures: readonly string[];
    /** Step that failed with its message; absent where all held. */
    readonly failure: string | undefined;
}

const millisecondsPerTenth = 100;
const tenthsPerSecond = 10;

/** Every step that scenario files may use. */
export const stepRegistry = new StepRegistry<World>([
    ...siteSteps,
    ...callerSteps,
    ...checkSteps,
    ...operatorSteps,
    ...networkSteps,
]);

/** Runs one scenario. A step without a definition fails it before anything is started. */
export async function runScenario(scenario: Scenario): Promise<ScenarioResult> {
    const start = performance.now();
    const world = new World();
    const failure = await runSteps(scenario, world);
    await world.stop();
    const seconds = Math.round((performance.now() - start) / millisecondsPerTenth) / tenthsPerSecond;
    return { scenario, seconds, measures: world.measures, failure };
}

async function runSteps(scenario: Scenario, world: World): Promise<string | undefined> {
    let current = "the definitions of the steps";
    try {
        const steps: MatchedStep<World>[] = scenario.steps.map((text) => stepRegistry.match(text));
        for (const step of steps) {
            current = step.text;
            await step.run(world);
        }
        return undefined;
    }
    catch (error) {
        for (const [name, { record }] of world.calls) {
            world.measures.push(`"${name}": ${describe(record)}`);
        }
        return `${current}: ${error instanceof Error ? error.message : String(error)}`;
    }
}

/** One scenario's result as a text for a person. */
export function formatResult(result: ScenarioResult): string {
    const { scenario, seconds, measures, failure } = result;
    const verdict = failure === undefined ? "held" : "FAILED";
    const lines = [`${verdict}: ${scenario.file}: ${scenario.name} (${seconds} s)`];
    lines.push(...measures.map((measure) => `    ${measure}`));
    if (failure !== undefined) {
        lines.push(`    ${failure}`);
    }
    return `${lines.join("\n")}\n`;
}
