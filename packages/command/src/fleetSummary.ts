/**
 * Sums up what the processes of the fleet told of themselves.
 *
 * @module
 */
import type { VirtualMachine } from "@redwingpin/platform";
import type { AccountUse, EndpointStatus, OperatorStatus, RefusalCount } from "@redwingpin/protocol";

/** What one process of the VM list answered. */
export interface ProcessReport {
    readonly machine: VirtualMachine;
    /** Revision in force there; `undefined` where it could not be reached. */
    readonly revision: number | undefined;
    /** Absent where the process could not be reached or tells no status. */
    readonly status: OperatorStatus | undefined;
    /** Why it could not be reached; empty where it was. */
    readonly failure: string;
}

/** Processes at one revision. */
export interface RevisionCount {
    readonly revision: number;
    readonly processes: number;
}

/** The fleet at a glance. */
export interface FleetSummary {
    /** Highest revision first. */
    readonly revisions: readonly RevisionCount[];
    readonly unreachable: readonly string[];
    readonly endpoints: readonly EndpointStatus[];
    /** Accounts that use most of their rate, the fullest first. */
    readonly accounts: readonly AccountUse[];
    /** Refusals since each process started, the most frequent first; reasons without any are left out. */
    readonly refusals: readonly RefusalCount[];
}

/** Share of its rate from which on an account is named. */
export const nearRateShare = 0.8;

/** Sums up reports. */
export function summarizeFleet(reports: readonly ProcessReport[]): FleetSummary {
    const statuses = reports.flatMap((report) => report.status === undefined ? [] : [report.status]);
    return {
        revisions: countRevisions(reports),
        unreachable: reports.filter((report) => report.revision === undefined)
            .map((report) => report.machine.instance),
        endpoints: statuses.flatMap((status) => status.endpoint === undefined ? [] : [status.endpoint]),
        accounts: accountsNearRate(statuses),
        refusals: sumRefusals(statuses),
    };
}

function countRevisions(reports: readonly ProcessReport[]): RevisionCount[] {
    const counts = new Map<number, number>();
    for (const { revision } of reports) {
        if (revision !== undefined) {
            counts.set(revision, (counts.get(revision) ?? 0) + 1);
        }
    }
    return [...counts].map(([revision, processes]) => ({ revision, processes }))
        .sort((left, right) => right.revision - left.revision);
}

function accountsNearRate(statuses: readonly OperatorStatus[]): AccountUse[] {
    const shares = new Map<string, number>();
    for (const use of statuses.flatMap((status) => status.accounts)) {
        shares.set(use.account, (shares.get(use.account) ?? 0) + use.usedShare);
    }
    return [...shares].map(([account, usedShare]) => ({ account, usedShare }))
        .filter((use) => use.usedShare >= nearRateShare)
        .sort((left, right) => right.usedShare - left.usedShare);
}

function sumRefusals(statuses: readonly OperatorStatus[]): RefusalCount[] {
    const counts = new Map<string, number>();
    for (const refusal of statuses.flatMap((status) => status.refusals)) {
        counts.set(refusal.reason, (counts.get(refusal.reason) ?? 0) + refusal.count);
    }
    return [...counts].map(([reason, count]) => ({ reason, count }))
        .filter((refusal) => refusal.count > 0)
        .sort((left, right) => right.count - left.count);
}
