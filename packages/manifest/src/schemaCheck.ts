/**
 * Checks of values against JSON schemas, over ajv.
 *
 * @module
 */
import { Ajv, type ErrorObject, type ValidateFunction } from "ajv";
import type { JsonSchema } from "./manifestSchema.js";

/** Steps from the root of a value to one of its parts. */
export type ValuePath = readonly (string | number)[];

/** One place where a value differs from its schema. */
export interface SchemaMismatch {
    readonly path: ValuePath;
    readonly message: string;
    readonly advice: string;
}

/** Checks a value and fills in defaults in place; returns every mismatch. */
export type SchemaCheck = (value: unknown) => SchemaMismatch[];

/** Compiles a schema to a check that reports every mismatch at once. */
export function createSchemaCheck(schema: JsonSchema): SchemaCheck {
    const compiled = compileOnFirstUse(schema);
    return (value) => {
        const validate = compiled();
        if (validate(value)) {
            return [];
        }
        return (validate.errors ?? []).filter(isOwnMismatch).map(mismatchOf);
    };
}

/** A process needs few of the schemas, and compiling them all would be most of its time to start. */
function compileOnFirstUse(schema: JsonSchema): () => ValidateFunction {
    let validate: ValidateFunction | undefined;
    return () => validate ??= compile(schema);
}

function compile(schema: JsonSchema): ValidateFunction {
    const ajv = new Ajv({ allErrors: true, useDefaults: true, strict: false, verbose: true });
    return ajv.compile(schema);
}

/** The outcome of an `if` only repeats what its branch reports. */
function isOwnMismatch(error: ErrorObject): boolean {
    return error.keyword !== "if";
}

function mismatchOf(error: ErrorObject): SchemaMismatch {
    const path = pathOf(error.instancePath);
    const described = describe(error);
    return { path: described.step === undefined ? path : [...path, described.step], ...described };
}

/** Turns a JSON pointer into steps. */
function pathOf(pointer: string): ValuePath {
    return pointer.split("/").slice(1).map((step) => {
        const text = step.replaceAll("~1", "/").replaceAll("~0", "~");
        return /^\d+$/.test(text) ? Number(text) : text;
    });
}

interface Description {
    readonly message: string;
    readonly advice: string;
    /** Step below the place of the error, where the error is about a field of an object. */
    readonly step?: string;
}

function describe(error: ErrorObject): Description {
    const parameters = error.params as Readonly<Record<string, unknown>>;
    switch (error.keyword) {
        case "required":
            return {
                message: `field "${parameters.missingProperty}" is missing`,
                advice: `add "${parameters.missingProperty}"`,
            };
        case "additionalProperties":
            return {
                message: `field "${parameters.additionalProperty}" is not known here`,
                advice: "remove it, or correct its name",
                step: String(parameters.additionalProperty),
            };
        case "false schema":
            return { message: "this field does not belong to this kind", advice: "remove the field" };
        case "enum":
            return {
                message: `${shown(error.data)} is not one of the known values`,
                advice: `use one of ${(parameters.allowedValues as unknown[]).join(", ")}`,
            };
        case "pattern":
            return {
                message: `${shown(error.data)} is not well formed`,
                advice: `use a text that matches ${parameters.pattern}`,
            };
        default:
            return {
                message: `${shown(error.data)} ${error.message ?? "does not match"}`,
                advice: "correct the value",
            };
    }
}

const shownLength = 80;

function shown(value: unknown): string {
    const text = JSON.stringify(value) ?? "nothing";
    return text.length <= shownLength ? text : `${text.slice(0, shownLength)}…`;
}
