import { expect } from "chai";
import { parseFeature, projectFeatureFiles, readFeatureFile } from "../scenarios/featureFile.js";
import { runScenario, stepRegistry } from "../scenarios/runScenario.js";
import { StepRegistry } from "../scenarios/stepRegistry.js";

/** Tag of the scenarios that take a few seconds and don't depend on timing. */
const quickTag = "quick";

describe("scenarios", () => {
    const scenarios = projectFeatureFiles().flatMap(readFeatureFile);

    it("use only steps that exist", () => {
        expect(scenarios).to.not.be.empty;
        for (const step of scenarios.flatMap((scenario) => scenario.steps)) {
            expect(() => stepRegistry.match(step), step).to.not.throw();
        }
    });

    for (const scenario of scenarios.filter(({ tags }) => tags.includes(quickTag))) {
        it(scenario.name, async () => {
            const { failure, measurements } = await runScenario(scenario);
            expect(failure === undefined, [failure, ...measurements].join("; ")).to.equal(true);
        });
    }
});

describe("scenario steps", () => {
    const registry = new StepRegistry<string[]>([
        {
            pattern: "{name} {number} is killed",
            action: (log, name, number) => void log.push(`${name} ${number}`),
        },
        { pattern: "{text} has ended", action: (log, text) => void log.push(text!) },
    ]);

    it("extract their values from the text", async () => {
        const log: string[] = [];
        await registry.match("router 12 is killed").run(log);
        await registry.match(`"the call" has ended`).run(log);
        expect(log).to.deep.equal(["router 12", "the call"]);
    });

    it("fail with their text if no definition matches", () => {
        expect(() => registry.match("router one is killed")).to.throw(
            `step "router one is killed" has 0 definitions`,
        );
    });

    it("report the line of a syntax error in a file", () => {
        expect(() => parseFeature("Feature: x\n  Scenario: y\n    When z\n    nonsense\n", "x.feature")).to
            .throw("(4:5)");
    });

    it("fail a scenario before it starts any process if a step does not exist", async () => {
        const [scenario] = parseFeature("Feature: x\n  Scenario: y\n    Given nothing known\n", "x.feature");
        expect((await runScenario(scenario!)).failure).to.contain(`step "nothing known" has 0 definitions`);
    });
});
