/**
 * Runs scenarios one after the other, each with its own state.
 *
 * @module
 */
import type { Scenario } from "./featureFile.js";
import { type MatchedStep, StepRegistry } from "./stepRegistry.js";
import { callerSteps, describeRecord } from "./steps/callerSteps.js";
import { checkSteps } from "./steps/checkSteps.js";
import { networkSteps } from "./steps/networkSteps.js";
import { operatorSteps } from "./steps/operatorSteps.js";
import { siteSteps } from "./steps/siteSteps.js";
import { World } from "./world.js";

/** Result of one scenario. */
export interface ScenarioResult {
    readonly scenario: Scenario;
    readonly seconds: number;
    /** Measurements of its steps. */
    readonly measurements: readonly string[];
    /** Text and error message of the step that failed; absent if all passed. */
    readonly failure: string | undefined;
}

const millisecondsPerTenth = 100;
const tenthsPerSecond = 10;

/** All steps that scenario files may use. */
export const stepRegistry = new StepRegistry<World>([
    ...siteSteps,
    ...callerSteps,
    ...checkSteps,
    ...operatorSteps,
    ...networkSteps,
]);

/** Runs one scenario. If a step has no definition, the scenario fails before any process is started. */
export async function runScenario(scenario: Scenario): Promise<ScenarioResult> {
    const start = performance.now();
    const world = new World();
    const failure = await runSteps(scenario, world);
    await world.stop();
    const seconds = Math.round((performance.now() - start) / millisecondsPerTenth) / tenthsPerSecond;
    return { scenario, seconds, measurements: world.measurements, failure };
}

async function runSteps(scenario: Scenario, world: World): Promise<string | undefined> {
    let currentStep = "the definitions of the steps";
    try {
        const steps: MatchedStep<World>[] = scenario.steps.map((text) => stepRegistry.match(text));
        for (const step of steps) {
            currentStep = step.text;
            await step.run(world);
        }
        return undefined;
    }
    catch (error) {
        for (const [name, { record }] of world.calls) {
            world.measurements.push(`"${name}": ${describeRecord(record)}`);
        }
        return `${currentStep}: ${error instanceof Error ? error.message : String(error)}`;
    }
}

/** Formats one scenario's result for the console. */
export function formatResult(result: ScenarioResult): string {
    const { scenario, seconds, measurements, failure } = result;
    const verdict = failure === undefined ? "held" : "FAILED";
    const lines = [`${verdict}: ${scenario.file}: ${scenario.name} (${seconds} s)`];
    lines.push(...measurements.map((measurement) => `    ${measurement}`));
    if (failure !== undefined) {
        lines.push(`    ${failure}`);
    }
    return `${lines.join("\n")}\n`;
}
