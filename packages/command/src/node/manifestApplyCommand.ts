/**
 * `redwingpin manifest apply`: submits a manifest and optionally waits until it is in force at every process.
 *
 * @module
 */
import { parseInteger, type SettingTable, sleep, systemClock } from "@redwingpin/common";
import { type SubmissionError, submitManifest } from "@redwingpin/configuration";
import type { Manifest } from "@redwingpin/manifest";
import { Command, Option } from "clipanion";
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import { type FleetSettings, fleetSettings, type StoreSettings, storeSettings } from "../commandSettings.js";
import { ExitCode } from "../exitCodes.js";
import type { ProcessReport } from "../fleetSummary.js";
import { FleetStatusClient } from "./fleetStatusClient.js";
import { OperatorCommand, readManifestFile, withStore } from "./operatorCommand.js";

/** Default text of the settings that are required only with `--wait`. */
const missingText = "";

interface ApplySettings extends StoreSettings {
    /** Required only with `--wait`. */
    readonly virtualMachineListAddress: string | undefined;
    readonly fleetKeys: FleetSettings["fleetKeys"] | undefined;
}

const applySettings: SettingTable<ApplySettings> = {
    ...storeSettings,
    virtualMachineListAddress: {
        ...fleetSettings.virtualMachineListAddress,
        defaultText: missingText,
        parse: parseOptional(fleetSettings.virtualMachineListAddress.parse),
    },
    fleetKeys: {
        ...fleetSettings.fleetKeys,
        defaultText: missingText,
        parse: parseOptional(fleetSettings.fleetKeys.parse),
    },
};

function parseOptional<T>(
    parse: (text: string) => Result<T, string>,
): (text: string) => Result<T | undefined, string> {
    return (text) => text === missingText ? ok(undefined) : parse(text);
}

const defaultWaitSeconds = "30";
const maximumWaitSeconds = 86_400;
const millisecondsPerSecond = 1_000;
const pollMilliseconds = 250;

/** Submits a manifest. */
export class ManifestApplyCommand extends OperatorCommand<ApplySettings> {
    static override paths = [["manifest", "apply"]];
    static override usage = Command.Usage({
        category: "Manifest",
        description: "Check and submit a manifest, which replaces the whole manifest in force",
        details:
            "If the outcome of a submission is unknown, submit again with its identifier as --submission.",
        examples: [
            ["Submit and wait until it is in force everywhere", "$0 manifest apply site.yaml --wait"],
            ["Submit only on top of revision 7", "$0 manifest apply site.yaml --expect-revision 7"],
        ],
    });

    file = Option.String({ name: "FILE" });
    wait = Option.Boolean("--wait", false, { description: "Wait until the manifest is in force everywhere" });
    waitSeconds = Option.String("--wait-seconds", defaultWaitSeconds, {
        description: "Maximum time to wait, in seconds",
    });
    expectRevision = Option.String("--expect-revision", {
        description: "Submit only if this revision is in force",
    });
    submission = Option.String("--submission", {
        description: "Identifier of the submission, to submit it again",
    });

    constructor() {
        super(applySettings);
    }

    protected async run(settings: ApplySettings): Promise<ExitCode> {
        const expected = this.expectRevision === undefined
            ? ok(undefined)
            : parseInteger(0, Number.MAX_SAFE_INTEGER)(this.expectRevision);
        const seconds = parseInteger(1, maximumWaitSeconds)(this.waitSeconds);
        const fleet = this.resolveFleetSettings(settings);
        for (const result of [expected, seconds, fleet]) {
            if (result.isErr()) {
                return this.fail(ExitCode.BadSettings, { error: result.error }, result.error);
            }
        }
        const manifest = readManifestFile(this.file);
        if (manifest.isErr()) {
            return this.failWithFindings(this.file, manifest.error);
        }
        return this.submit(
            settings,
            manifest.value,
            expected.unwrapOr(undefined),
            fleet.unwrapOr(undefined),
            seconds.unwrapOr(0),
        );
    }

    /** Returns the settings that `--wait` requires, or `undefined` without `--wait`. */
    private resolveFleetSettings(settings: ApplySettings): Result<FleetSettings | undefined, string> {
        const { virtualMachineListAddress, fleetKeys } = settings;
        if (!this.wait) {
            return ok(undefined);
        }
        if (virtualMachineListAddress === undefined || fleetKeys === undefined) {
            return err("--wait needs REDWINGPIN_VM_LIST_ADDRESS and REDWINGPIN_FLEET_KEY");
        }
        return ok({ virtualMachineListAddress, fleetKeys });
    }

    private async submit(
        settings: StoreSettings,
        manifest: Manifest,
        expectedRevision: number | undefined,
        fleet: FleetSettings | undefined,
        seconds: number,
    ): Promise<ExitCode> {
        const submission = this.submission ?? randomUUID();
        const outcome = await withStore(
            settings.storeAddress,
            async (store) => submitManifest(store, manifest, submission, { expectedRevision }),
        );
        if (outcome.isErr()) {
            return this.failSubmission(outcome.error, submission);
        }
        const { revision, changed } = outcome.value;
        const text = changed
            ? `accepted as revision ${revision}`
            : `already accepted as revision ${revision}`;
        if (fleet === undefined) {
            this.report({ revision, changed, submission }, text);
            return ExitCode.Done;
        }
        return this.waitUntilInForce(fleet, revision, seconds, { revision, changed, submission });
    }

    private failSubmission(error: SubmissionError, submission: string): ExitCode {
        switch (error.kind) {
            case "lostRace":
                return this.fail(
                    ExitCode.LostRace,
                    { error: error.kind, revision: error.revision, submission: error.submission },
                    `revision ${error.revision} (submission "${error.submission}") was accepted first; `
                        + `nothing was changed. Rebuild the manifest on top of that revision, then apply it again`,
                );
            case "unavailable":
                return this.fail(
                    ExitCode.StoreUnavailable,
                    { error: error.kind, message: error.message, submission },
                    `the store did not answer (${error.message}); nothing was changed`,
                );
            case "unknown":
                return this.fail(
                    ExitCode.OutcomeUnknown,
                    { error: error.kind, message: error.message, submission },
                    `the store's answer was lost (${error.message}); the manifest may be accepted. `
                        + `Apply it again with --submission ${submission}`,
                );
            case "malformed":
                return this.fail(
                    ExitCode.Failed,
                    { error: error.kind, message: error.message, submission },
                    `${error.message}; nothing was changed`,
                );
        }
    }

    private async waitUntilInForce(
        fleet: FleetSettings,
        revision: number,
        seconds: number,
        outcome: Readonly<Record<string, unknown>>,
    ): Promise<ExitCode> {
        const client = new FleetStatusClient(fleet);
        const deadline = systemClock.now() + seconds * millisecondsPerSecond;
        try {
            while (true) {
                const reports = await client.collectReports();
                const behind = reports.map((list) => list.filter((report) => !isInForce(report, revision)));
                if (behind.isOk() && behind.value.length === 0) {
                    this.report({ ...outcome, inForce: true }, `revision ${revision} is in force everywhere`);
                    return ExitCode.Done;
                }
                if (systemClock.now() >= deadline) {
                    return this.failWait(revision, behind, outcome);
                }
                await sleep(systemClock, pollMilliseconds);
            }
        }
        finally {
            await client.close();
        }
    }

    private failWait(
        revision: number,
        behind: Result<ProcessReport[], string>,
        outcome: Readonly<Record<string, unknown>>,
    ): ExitCode {
        if (behind.isErr()) {
            const text = `revision ${revision} is accepted; the VM list did not answer: ${behind.error}`;
            return this.fail(
                ExitCode.NotReachable,
                { ...outcome, inForce: false, error: behind.error },
                text,
            );
        }
        const instances = behind.value.map((report) => report.machine.instance);
        const isReachable = behind.value.some((report) => report.revision !== undefined);
        const exitCode = isReachable ? ExitCode.NotInForce : ExitCode.NotReachable;
        const state = isReachable
            ? "is not in force at"
            : "is in force at every process that answers, not at";
        const text = `revision ${revision} is accepted; it ${state}: ${instances.join(", ")}`;
        return this.fail(exitCode, { ...outcome, inForce: false, behind: instances }, text);
    }
}

function isInForce(report: ProcessReport, revision: number): boolean {
    return report.revision !== undefined && report.revision >= revision;
}
