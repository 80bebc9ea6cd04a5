/**
 * Checks values against JSON schemas, over ajv.
 *
 * @module
 */
import { Ajv, type ErrorObject, type ValidateFunction } from "ajv";
import type { JsonSchema } from "./manifestSchema.js";

/** Property names and list indexes that lead from the root of a value to one of its parts. */
export type ValuePath = readonly (string | number)[];

/** One part of a value that does not match the schema. */
export interface SchemaMismatch {
    readonly path: ValuePath;
    readonly message: string;
    readonly advice: string;
}

/** Checks a value, adds its missing defaults in place and returns every mismatch. */
export type SchemaCheck = (value: unknown) => SchemaMismatch[];

/** Creates a check that reports every mismatch, not only the first. */
export function createSchemaCheck(schema: JsonSchema): SchemaCheck {
    const compiled = compileOnFirstUse(schema);
    return (value) => {
        const validate = compiled();
        if (validate(value)) {
            return [];
        }
        return (validate.errors ?? []).filter(isDistinctError).map(toMismatch);
    };
}

/** Compiles lazily: a process uses few of the schemas, and compiling all would take most of its startup time. */
function compileOnFirstUse(schema: JsonSchema): () => ValidateFunction {
    let validate: ValidateFunction | undefined;
    return () => validate ??= compile(schema);
}

function compile(schema: JsonSchema): ValidateFunction {
    const ajv = new Ajv({ allErrors: true, useDefaults: true, strict: false, verbose: true });
    return ajv.compile(schema);
}

/** Excludes the error of an `if`, which repeats the errors of its branch. */
function isDistinctError(error: ErrorObject): boolean {
    return error.keyword !== "if";
}

function toMismatch(error: ErrorObject): SchemaMismatch {
    const path = parsePointer(error.instancePath);
    const description = describeError(error);
    return { path: description.step === undefined ? path : [...path, description.step], ...description };
}

/** Parses a JSON pointer. */
function parsePointer(pointer: string): ValuePath {
    return pointer.split("/").slice(1).map((step) => {
        const text = step.replaceAll("~1", "/").replaceAll("~0", "~");
        return /^\d+$/.test(text) ? Number(text) : text;
    });
}

interface Description {
    readonly message: string;
    readonly advice: string;
    /** Name of the field that the error is about, if ajv reports only the path of the object that contains it. */
    readonly step?: string;
}

function describeError(error: ErrorObject): Description {
    const parameters = error.params as Readonly<Record<string, unknown>>;
    switch (error.keyword) {
        case "required":
            return {
                message: `field "${parameters.missingProperty}" is missing`,
                advice: `add "${parameters.missingProperty}"`,
            };
        case "additionalProperties":
            return {
                message: `field "${parameters.additionalProperty}" is not allowed`,
                advice: "remove it, or correct its name",
                step: String(parameters.additionalProperty),
            };
        case "false schema":
            return { message: "field is not allowed for this kind", advice: "remove the field" };
        case "enum":
            return {
                message: `${quote(error.data)} is not an allowed value`,
                advice: `use one of ${(parameters.allowedValues as unknown[]).join(", ")}`,
            };
        case "pattern":
            return {
                message: `${quote(error.data)} is malformed`,
                advice: `use a text that matches ${parameters.pattern}`,
            };
        default:
            return {
                message: `${quote(error.data)} ${error.message ?? "does not match"}`,
                advice: "correct the value",
            };
    }
}

const maxQuotedCharacters = 80;

function quote(value: unknown): string {
    const text = JSON.stringify(value) ?? "nothing";
    return text.length <= maxQuotedCharacters ? text : `${text.slice(0, maxQuotedCharacters)}…`;
}
