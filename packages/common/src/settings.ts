/**
 * Settings in flags and environment variables. A table describes each setting once; the flags, the environment
 * variables, the help text and the checks are derived from it. Findings are reported together.
 *
 * @module
 */
import { Command, Option } from "clipanion";
import { err, ok, type Result } from "neverthrow";
import { readFileSync } from "node:fs";
import type { Finding } from "./finding.js";

/** Definition of one setting. */
export interface SettingDefinition<T> {
    /** Environment variable. The name of the flag is derived from it. */
    readonly variable: string;
    /** What the setting does, with its unit. */
    readonly description: string;
    /** Text that is parsed if the setting is not given. A setting without default text is required. */
    readonly defaultText?: string;
    /** True for secrets: read from the environment or the file named by `<variable>_FILE`, never from a flag. */
    readonly secret?: boolean;
    /** Parses the text, or returns what is wrong with it. */
    readonly parse: (text: string) => Result<T, string>;
}

/** Definitions of settings, by field name. */
export type SettingTable<Resolved> = {
    readonly [Field in keyof Resolved]: SettingDefinition<Resolved[Field]>;
};

const variablePrefix = "REDWINGPIN_";

/** Name of a setting's flag: `--listen-port` for `REDWINGPIN_LISTEN_PORT`. */
export function flagOf(variable: string): string {
    return `--${variable.replace(variablePrefix, "").toLowerCase().replaceAll("_", "-")}`;
}

/** Value of each field's flag, or `undefined` if the flag is absent. */
export type GivenFlags = Readonly<Record<string, string | undefined>>;

/** Resolves each setting from its flag, else the environment, else its default. Returns all findings together. */
export function resolveSettings<Resolved>(
    table: SettingTable<Resolved>,
    flags: GivenFlags,
    environment: NodeJS.ProcessEnv,
): Result<Resolved, Finding[]> {
    const findings: Finding[] = [];
    const resolved: Partial<Resolved> = {};
    for (const field of Object.keys(table) as (keyof Resolved & string)[]) {
        resolveSetting(table[field], flags[field], environment).match(
            (value) => resolved[field] = value,
            (finding) => findings.push(finding),
        );
    }
    return findings.length === 0 ? ok(resolved as Resolved) : err(findings);
}

function resolveSetting<T>(
    definition: SettingDefinition<T>,
    flag: string | undefined,
    environment: NodeJS.ProcessEnv,
): Result<T, Finding> {
    const place = definition.secret
        ? definition.variable
        : `${flagOf(definition.variable)} (${definition.variable})`;
    return readSettingText(definition, flag, environment).andThen((text) => {
        if (text === undefined) {
            return err(`setting ${place} is required`);
        }
        return definition.parse(text);
    }).mapErr((message) => ({ place, message, advice: definition.description }));
}

function readSettingText<T>(
    definition: SettingDefinition<T>,
    flag: string | undefined,
    environment: NodeJS.ProcessEnv,
): Result<string | undefined, string> {
    if (!definition.secret) {
        return ok(flag ?? environment[definition.variable] ?? definition.defaultText);
    }
    const file = environment[`${definition.variable}_FILE`];
    if (file === undefined) {
        return ok(environment[definition.variable] ?? definition.defaultText);
    }
    try {
        return ok(readFileSync(file, "utf8").trim());
    }
    catch {
        return err(`file "${file}" named by ${definition.variable}_FILE cannot be read`);
    }
}

/** A command whose flags are derived from a table of settings. */
export abstract class SettingsCommand<Resolved> extends Command {
    private readonly settingFields: readonly string[];

    constructor(private readonly table: SettingTable<Resolved>) {
        super();
        this.settingFields = Object.keys(table);
        const options = this as unknown as Record<string, unknown>;
        for (const field of this.settingFields) {
            const definition = table[field as keyof Resolved];
            if (!definition.secret) {
                options[field] = Option.String(flagOf(definition.variable), {
                    description: describeSetting(definition),
                });
            }
        }
    }

    /** Resolves the settings from the flags of this command and the given environment. */
    protected resolve(environment: NodeJS.ProcessEnv): Result<Resolved, Finding[]> {
        const values = this as unknown as GivenFlags;
        const flags = Object.fromEntries(this.settingFields.map((field) => [field, values[field]]));
        return resolveSettings(this.table, flags, environment);
    }
}

function describeSetting(definition: SettingDefinition<unknown>): string {
    const fallback = definition.defaultText === undefined ? "required" : `default ${definition.defaultText}`;
    return `${definition.description} (${definition.variable}, ${fallback})`;
}

/** Parses a text that must not be empty. */
export function parseText(text: string): Result<string, string> {
    return text.length > 0 ? ok(text) : err("text must not be empty");
}

/** Creates a parser of integers from `minimum` to `maximum`, both included. */
export function parseInteger(minimum: number, maximum: number): (text: string) => Result<number, string> {
    return (text) => {
        const value = Number(text);
        return Number.isInteger(value) && text.trim() !== "" && value >= minimum && value <= maximum
            ? ok(value)
            : err(`"${text}" is not a whole number from ${minimum} to ${maximum}`);
    };
}

/** Parses an HTTP base address, for example `http://127.0.0.1:2379`, and removes trailing slashes. */
export function parseHttpAddress(text: string): Result<string, string> {
    if (!URL.canParse(text) || !/^https?:$/.test(new URL(text).protocol)) {
        return err(`"${text}" is not an http or https address`);
    }
    return ok(text.replace(/\/+$/, ""));
}

/** Creates a parser of the values of a string enumeration. */
export function parseMember<T extends string>(
    members: Readonly<Record<string, T>>,
): (text: string) => Result<T, string> {
    return (text) => {
        const found = Object.values(members).find((member) => member === text);
        return found === undefined
            ? err(`"${text}" is not one of ${Object.values(members).join(", ")}`)
            : ok(found);
    };
}
