import { expect } from "chai";
import { parseFeature, projectFeatureFiles, readFeatureFile } from "../scenarios/featureFile.js";
import { runScenario, stepRegistry } from "../scenarios/runScenario.js";
import { StepRegistry } from "../scenarios/stepRegistry.js";

/** Tag of the scenarios that take seconds and depend on no time. */
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
            const { failure, measures } = await runScenario(scenario);
            expect(failure === undefined, [failure, ...measures].join("; ")).to.equal(true);
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

    it("take their values from the text", async () => {
        const log: string[] = [];
        await registry.match("router 12 is killed").run(log);
        await registry.match(`"the call" has ended`).run(log);
        expect(log).to.deep.equal(["router 12", "the call"]);
    });

    it("fail by name where no definition matches", () => {
        expect(() => registry.match("router one is killed")).to.throw(
            `step "router one is killed" has 0 definitions`,
        );
    });

    it("report a file that is not Gherkin with its line", () => {
        expect(() => parseFeature("Feature: x\n  Scenario: y\n    When z\n    nonsense\n", "x.feature")).to
            .throw("(4:5)");
    });

    it("fail a scenario before it starts anything where a step does not exist", async () => {
        const [scenario] = parseFeature("Feature: x\n  Scenario: y\n    Given nothing known\n", "x.feature");
        expect((await runScenario(scenario!)).failure).to.contain(`step "nothing known" has 0 definitions`);
    });
});
