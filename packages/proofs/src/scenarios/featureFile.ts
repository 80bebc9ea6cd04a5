/**
 * Reads scenario files, which are in Gherkin.
 *
 * @module
 */
import { AstBuilder, compile, GherkinClassicTokenMatcher, Parser } from "@cucumber/gherkin";
import { readdirSync, readFileSync } from "node:fs";
import { basename, join } from "node:path";
import { fileURLToPath } from "node:url";

/** One scenario with the texts of its steps in order. */
export interface Scenario {
    readonly file: string;
    readonly name: string;
    /** Tags without the leading `@`. */
    readonly tags: readonly string[];
    readonly steps: readonly string[];
}

/** Folder of the scenario files that come with the project. */
export const featuresFolder = fileURLToPath(new URL("../../src/scenarios/features/", import.meta.url));

/** Paths of the project's scenario files, sorted by name. */
export function projectFeatureFiles(): string[] {
    return readdirSync(featuresFolder)
        .filter((name) => name.endsWith(".feature"))
        .sort()
        .map((name) => join(featuresFolder, name));
}

/** Reads one file. Throws an error with the line of a syntax error. */
export function readFeatureFile(path: string): Scenario[] {
    return parseFeature(readFileSync(path, "utf8"), basename(path));
}

/** Parses the text of a scenario file. */
export function parseFeature(text: string, file: string): Scenario[] {
    let identifiers = 0;
    const newIdentifier = () => String(identifiers++);
    const parser = new Parser(new AstBuilder(newIdentifier), new GherkinClassicTokenMatcher());
    return compile(parser.parse(text), file, newIdentifier).map((pickle) => ({
        file,
        name: pickle.name,
        tags: pickle.tags.map((tag) => tag.name.slice(1)),
        steps: pickle.steps.map((step) => step.text),
    }));
}
