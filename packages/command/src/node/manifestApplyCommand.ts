/**
 * `redwingpin manifest apply`: submits a manifest and, if wished, waits until it is in force everywhere.
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
import { FleetInquiry } from "./fleetInquiry.js";
import { OperatorCommand, readManifestFile, withStore } from "./operatorCommand.js";

/** Text of a setting that is only needed with `--wait`. */
const notGiven = "";

interface ApplySettings extends StoreSettings {
    /** Absent where the command does not wait. */
    readonly virtualMachineListAddress: string | undefined;
    readonly fleetKeys: FleetSettings["fleetKeys"] | undefined;
}

const applySettings: SettingTable<ApplySettings> = {
    ...storeSettings,
    virtualMachineListAddress: {
        ...fleetSettings.virtualMachineListAddress,
        defaultText: notGiven,
        parse: optional(fleetSettings.virtualMachineListAddress.parse),
    },
    fleetKeys: {
        ...fleetSettings.fleetKeys,
        defaultText: notGiven,
        parse: optional(fleetSettings.fleetKeys.parse),
    },
};

function optional<T>(
    parse: (text: string) => Result<T, string>,
): (text: string) => Result<T | undefined, string> {
    return (text) => text === notGiven ? ok(undefined) : parse(text);
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
        description: "Check and submit a manifest; it replaces the one in force as a whole",
        details:
            "A submission whose end is unknown is settled by giving its identifier again with --submission.",
        examples: [
            ["Submit and wait until it is in force everywhere", "$0 manifest apply site.yaml --wait"],
            ["Submit only on top of revision 7", "$0 manifest apply site.yaml --expect-revision 7"],
        ],
    });

    file = Option.String({ name: "FILE" });
    wait = Option.Boolean("--wait", false, { description: "Wait until the manifest is in force everywhere" });
    waitSeconds = Option.String("--wait-seconds", defaultWaitSeconds, {
        description: "Longest wait, in seconds",
    });
    expectRevision = Option.String("--expect-revision", {
        description: "Submit only if this revision is in force",
    });
    submission = Option.String("--submission", { description: "Identifier of the submission" });

    constructor() {
        super(applySettings);
    }

    protected async run(settings: ApplySettings): Promise<ExitCode> {
        const expected = this.expectRevision === undefined
            ? ok(undefined)
            : parseInteger(0, Number.MAX_SAFE_INTEGER)(this.expectRevision);
        const seconds = parseInteger(1, maximumWaitSeconds)(this.waitSeconds);
        const fleet = this.fleetToAsk(settings);
        for (const problem of [expected, seconds, fleet]) {
            if (problem.isErr()) {
                return this.fail(ExitCode.BadSettings, { error: problem.error }, problem.error);
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

    /** Settings for `--wait`; all that are missing are named together. */
    private fleetToAsk(settings: ApplySettings): Result<FleetSettings | undefined, string> {
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
            : `already in force as revision ${revision}`;
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
                    `revision ${error.revision} (submission "${error.submission}") won; nothing was changed. `
                        + `Build the manifest on top of it and apply it again`,
                );
            case "unavailable":
                return this.fail(
                    ExitCode.StoreUnavailable,
                    { error: error.kind, message: error.message, submission },
                    `the store gave no answer (${error.message}); nothing was changed`,
                );
            case "unknown":
                return this.fail(
                    ExitCode.OutcomeUnknown,
                    { error: error.kind, message: error.message, submission },
                    `the store's answer was lost (${error.message}); the manifest may be accepted. `
                        + `Settle it with --submission ${submission}`,
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
        const inquiry = new FleetInquiry(fleet);
        const deadline = systemClock.now() + seconds * millisecondsPerSecond;
        try {
            while (true) {
                const reports = await inquiry.ask();
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
            await inquiry.close();
        }
    }

    private failWait(
        revision: number,
        behind: Result<ProcessReport[], string>,
        outcome: Readonly<Record<string, unknown>>,
    ): ExitCode {
        if (behind.isErr()) {
            const text = `revision ${revision} is accepted; the VM list gave no answer: ${behind.error}`;
            return this.fail(
                ExitCode.NotReachable,
                { ...outcome, inForce: false, error: behind.error },
                text,
            );
        }
        const names = behind.value.map((report) => report.machine.instance);
        const isReachable = behind.value.some((report) => report.revision !== undefined);
        const exitCode = isReachable ? ExitCode.NotInForce : ExitCode.NotReachable;
        const what = isReachable ? "is not in force at" : "is in force at every process that answers, not at";
        const text = `revision ${revision} is accepted; it ${what}: ${names.join(", ")}`;
        return this.fail(exitCode, { ...outcome, inForce: false, behind: names }, text);
    }
}

function isInForce(report: ProcessReport, revision: number): boolean {
    return report.revision !== undefined && report.revision >= revision;
}
