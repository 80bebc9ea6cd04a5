/**
 * `redwingpin manifest check`, `show` and `schema`.
 *
 * @module
 */
import { readConfiguration } from "@redwingpin/configuration";
import { formatManifest, type Manifest, manifestSchema } from "@redwingpin/manifest";
import { Command, Option } from "clipanion";
import { type StoreSettings, storeSettings } from "../commandSettings.js";
import { ExitCode } from "../exitCodes.js";
import { OperatorCommand, readManifestFile, withStore } from "./operatorCommand.js";

const jsonIndent = 2;

/** Checks a manifest file without accessing the store. */
export class ManifestCheckCommand extends OperatorCommand<Record<never, never>> {
    static override paths = [["manifest", "check"]];
    static override usage = Command.Usage({
        category: "Manifest",
        description: "Report every finding in a manifest, with its location and advice",
        examples: [["Check a file", "$0 manifest check site.yaml"]],
    });

    file = Option.String({ name: "FILE" });

    constructor() {
        super({});
    }

    protected async run(): Promise<ExitCode> {
        const manifest = readManifestFile(this.file);
        if (manifest.isErr()) {
            return this.failWithFindings(this.file, manifest.error);
        }
        this.report(
            { findings: [] },
            `manifest "${this.file}" has no findings: ${formatCounts(manifest.value)}`,
        );
        return ExitCode.Done;
    }
}

/** Shows the manifest that the store holds as accepted. */
export class ManifestShowCommand extends OperatorCommand<StoreSettings> {
    static override paths = [["manifest", "show"]];
    static override usage = Command.Usage({
        category: "Manifest",
        description: "Show the accepted manifest, its revision and its submission",
    });

    constructor() {
        super(storeSettings);
    }

    protected async run(settings: StoreSettings): Promise<ExitCode> {
        const loaded = await withStore(settings.storeAddress, async (store) => readConfiguration(store));
        if (loaded.isErr()) {
            const { kind, message } = loaded.error;
            const exitCode = kind === "malformed" ? ExitCode.Failed : ExitCode.StoreUnavailable;
            return this.fail(exitCode, { error: message }, message);
        }
        if (loaded.value === undefined) {
            this.report({ revision: 0 }, "no manifest has been accepted yet");
            return ExitCode.Done;
        }
        const { root, manifest } = loaded.value;
        const { revision, submission, submittedAt } = root;
        const acceptedManifest = manifest.toManifest();
        const heading = `# revision ${revision}, submission ${submission}, ${
            new Date(submittedAt).toISOString()
        }`;
        this.report(
            { revision, submission, submittedAt, manifest: acceptedManifest },
            `${heading}\n${formatManifest(acceptedManifest)}`,
        );
        return ExitCode.Done;
    }
}

/** Prints the JSON schema of manifests. */
export class ManifestSchemaCommand extends Command {
    static override paths = [["manifest", "schema"]];
    static override usage = Command.Usage({
        category: "Manifest",
        description: "Print the JSON schema of manifests, for editors and build pipelines",
    });

    async execute(): Promise<number> {
        this.context.stdout.write(`${JSON.stringify(manifestSchema, undefined, jsonIndent)}\n`);
        return ExitCode.Done;
    }
}

function formatCounts(manifest: Manifest): string {
    const { models, pools, accounts, routes } = manifest;
    return `${models.length} models, ${pools.length} pools, ${accounts.length} accounts, ${routes.length} routes`;
}
