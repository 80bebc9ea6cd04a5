/**
 * Steps of scenarios: each has a text pattern, which the lines of scenario files match, and an action.
 *
 * In a pattern, `{number}` stands for a whole number, `{name}` for one word and `{text}` for a quoted text.
 *
 * @module
 */

/** Action of a step; it throws if the statement of the step does not hold. */
export type StepAction<World> = (world: World, ...values: string[]) => Promise<void> | void;

/** A pattern with its action. */
export interface StepDefinition<World> {
    readonly pattern: string;
    readonly action: StepAction<World>;
}

/** A step text bound to the action of the matching definition. */
export interface MatchedStep<World> {
    readonly text: string;
    readonly run: (world: World) => Promise<void>;
}

const placeholders: Readonly<Record<string, string>> = {
    "{number}": "(\\d+)",
    "{name}": "([A-Za-z0-9_.-]+)",
    "{text}": `"([^"]*)"`,
};

/** All step definitions that scenarios may use. */
export class StepRegistry<World> {
    private readonly compiled: readonly {
        readonly expression: RegExp;
        readonly definition: StepDefinition<World>;
    }[];

    constructor(definitions: readonly StepDefinition<World>[]) {
        this.compiled = definitions.map((definition) => ({
            expression: compilePattern(definition.pattern),
            definition,
        }));
    }

    /** Finds the definition that matches a step text; throws unless there is exactly one. */
    match(text: string): MatchedStep<World> {
        const matches = this.compiled.filter(({ expression }) => expression.test(text));
        if (matches.length !== 1) {
            const patterns = matches.map(({ definition }) => definition.pattern).join("; ");
            throw new Error(
                `step "${text}" has ${matches.length} definitions, not one${patterns && `: ${patterns}`}`,
            );
        }
        const { expression, definition } = matches[0]!;
        const values = expression.exec(text)!.slice(1);
        return { text, run: async (world) => definition.action(world, ...values) };
    }
}

function compilePattern(pattern: string): RegExp {
    const escaped = pattern.replace(/[.*+?^$()|[\]\\]/g, "\\$&");
    const expression = escaped.replace(/\{\w+\}/g, (placeholder) => {
        const source = placeholders[placeholder];
        if (source === undefined) {
            throw new Error(`placeholder ${placeholder} in step "${pattern}" does not exist`);
        }
        return source;
    });
    return new RegExp(`^${expression}$`);
}
