/**
 * `redwingpin manifest status` and `redwingpin status`.
 *
 * @module
 */
import { Command } from "clipanion";
import { type FleetSettings, fleetSettings } from "../commandSettings.js";
import { ExitCode } from "../exitCodes.js";
import { type FleetSummary, type ProcessReport, summarizeFleet } from "../fleetSummary.js";
import { FleetStatusClient } from "./fleetStatusClient.js";
import { OperatorCommand } from "./operatorCommand.js";

abstract class FleetCommand extends OperatorCommand<FleetSettings> {
    constructor() {
        super(fleetSettings);
    }

    protected abstract show(reports: readonly ProcessReport[]): ExitCode;

    protected async run(settings: FleetSettings): Promise<ExitCode> {
        const client = new FleetStatusClient(settings);
        try {
            const reports = await client.collectReports();
            return reports.match(
                (list) => this.show(list),
                (error) => this.fail(ExitCode.Failed, { error }, `the VM list did not answer: ${error}`),
            );
        }
        finally {
            await client.close();
        }
    }
}

/** Shows the revision of each process. */
export class ManifestStatusCommand extends FleetCommand {
    static override paths = [["manifest", "status"]];
    static override usage = Command.Usage({
        category: "Manifest",
        description: "Show the revision of each process",
    });

    protected show(reports: readonly ProcessReport[]): ExitCode {
        const processes = reports.map(({ machine, revision, failure }) => ({
            instance: machine.instance,
            role: machine.role,
            dataCentre: machine.dataCentre,
            leaving: machine.leaving,
            revision,
            failure: failure === "" ? undefined : failure,
        }));
        const lines = processes.map((process) => {
            const state = process.revision === undefined
                ? `not reached: ${process.failure}`
                : `revision ${process.revision}`;
            const leaving = process.leaving ? ", leaving" : "";
            return `${process.instance} (${process.role}, ${process.dataCentre}${leaving}): ${state}`;
        });
        this.report({ processes }, lines.join("\n"));
        return ExitCode.Done;
    }
}

/** Shows a summary of the fleet. */
export class StatusCommand extends FleetCommand {
    static override paths = [["status"]];
    static override usage = Command.Usage({
        description:
            "Show the processes by revision, the endpoints, accounts near their rate and refusals by reason",
    });

    protected show(reports: readonly ProcessReport[]): ExitCode {
        const summary = summarizeFleet(reports);
        this.report(summary, formatSummary(summary));
        return ExitCode.Done;
    }
}

const percent = 100;

function formatSummary(summary: FleetSummary): string {
    const revisions = summary.revisions.map(({ revision, processes }) =>
        `revision ${revision}: ${processes} processes`
    );
    const unreachable = summary.unreachable.map((instance) => `not reached: ${instance}`);
    const endpoints = summary.endpoints.map((endpoint) => {
        const state = endpoint.incarnation === undefined ? "down" : endpoint.draining ? "draining" : "up";
        return `endpoint ${endpoint.instance} (${endpoint.pool}): ${state}, ${endpoint.running} running, `
            + `${endpoint.queuedTokens} tokens queued`;
    });
    const accounts = summary.accounts.map(({ account, usedShare }) =>
        `account ${account} uses ${Math.round(usedShare * percent)}% of its rate`
    );
    const refusals = summary.refusals.map(({ reason, count }) => `refused ${reason}: ${count}`);
    return [...revisions, ...unreachable, ...endpoints, ...accounts, ...refusals].join("\n");
}
