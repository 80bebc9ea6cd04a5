/**
 * Code that the subcommands share: settings, output as text or JSON, and reading of the manifest file.
 *
 * @module
 */
import {
    describeSettingsFindings,
    type Finding,
    formatFinding,
    SettingsCommand,
    type SettingTable,
    systemClock,
} from "@redwingpin/common";
import { type Manifest, parseManifest } from "@redwingpin/manifest";
import { createEtcdStore, type EtcdStore } from "@redwingpin/outside";
import { Option } from "clipanion";
import { err, type Result } from "neverthrow";
import { readFileSync } from "node:fs";
import { ExitCode } from "../exitCodes.js";

/** A subcommand whose settings are defined by a table. */
export abstract class OperatorCommand<Resolved> extends SettingsCommand<Resolved> {
    json = Option.Boolean("--json", false, { description: "Write the result as JSON" });

    constructor(table: SettingTable<Resolved>) {
        super(table);
    }

    /** Runs the subcommand with resolved settings and returns its exit code. */
    protected abstract run(settings: Resolved): Promise<ExitCode>;

    async execute(): Promise<number> {
        const settings = this.resolve(this.context.env as NodeJS.ProcessEnv);
        if (settings.isErr()) {
            this.context.stderr.write(describeSettingsFindings("redwingpin", settings.error));
            return ExitCode.BadSettings;
        }
        return this.run(settings.value);
    }

    /** Writes a result to standard output: `value` with `--json`, else `text`. */
    protected report(value: unknown, text: string): void {
        this.context.stdout.write(this.json ? `${JSON.stringify(value)}\n` : `${text}\n`);
    }

    /** Writes a failure, as JSON to standard output with `--json`, else as text to standard error. */
    protected fail(exitCode: ExitCode, value: Readonly<Record<string, unknown>>, text: string): ExitCode {
        if (this.json) {
            this.context.stdout.write(`${JSON.stringify({ ...value, exitCode })}\n`);
        }
        else {
            this.context.stderr.write(`redwingpin: ${text}\n`);
        }
        return exitCode;
    }

    /** Writes the findings in a manifest as a failure. */
    protected failWithFindings(file: string, findings: readonly Finding[]): ExitCode {
        const lines = findings.map(formatFinding).join("\n");
        const text = `manifest "${file}" has ${findings.length} finding(s)\n${lines}`;
        return this.fail(ExitCode.ManifestFindings, { findings }, text);
    }
}

/** Reads and checks a manifest file. */
export function readManifestFile(file: string): Result<Manifest, Finding[]> {
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    }
    catch (error) {
        const message = `the file cannot be read: ${(error as Error).message}`;
        return err([{ place: file, message, advice: "check the path and its permissions" }]);
    }
    return parseManifest(text, file);
}

/** Runs `use` with a client of the store and closes the client. */
export async function withStore<T>(address: string, use: (store: EtcdStore) => Promise<T>): Promise<T> {
    const store = createEtcdStore({ address, clock: systemClock });
    try {
        return await use(store);
    }
    finally {
        await store.close();
    }
}
