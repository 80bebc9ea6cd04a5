/**
 * Aggregates the reports of the fleet's processes.
 *
 * @module
 */
import type { VirtualMachine } from "@redwingpin/outside";
import type { AccountUse, EndpointStatus, OperatorStatus, RefusalCount } from "@redwingpin/protocol";
import { pipe } from "fp-ts/lib/function.js";
import { Ord as numberOrd } from "fp-ts/lib/number.js";
import { contramap, reverse } from "fp-ts/lib/Ord.js";
import { filter, sort } from "fp-ts/lib/ReadonlyArray.js";

/** Answer of one process in the VM list. */
export interface ProcessReport {
    readonly machine: VirtualMachine;
    /** Revision in force at the process; `undefined` if the process is unreachable. */
    readonly revision: number | undefined;
    /** `undefined` if the process is unreachable or its status is malformed. */
    readonly status: OperatorStatus | undefined;
    /** Why the process is unreachable; empty if it answered. */
    readonly failure: string;
}

/** Number of processes at one revision. */
export interface RevisionCount {
    readonly revision: number;
    readonly processes: number;
}

/** Summary of the fleet. */
export interface FleetSummary {
    /** Highest revision first. */
    readonly revisions: readonly RevisionCount[];
    /** Names of the instances that did not answer. */
    readonly unreachable: readonly string[];
    readonly endpoints: readonly EndpointStatus[];
    /** Accounts near their rate, by descending usage. */
    readonly accounts: readonly AccountUse[];
    /** Refusals since the processes started, by descending count. Reasons without refusals are omitted. */
    readonly refusals: readonly RefusalCount[];
}

/** Share of its rate that an account must use to be listed as near its rate. */
export const nearRateShare = 0.8;

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

const byDescendingRevision = pipe(numberOrd, reverse, contramap((count: RevisionCount) => count.revision));
const byDescendingShare = pipe(numberOrd, reverse, contramap((use: AccountUse) => use.usedShare));
const byDescendingCount = pipe(numberOrd, reverse, contramap((refusal: RefusalCount) => refusal.count));

function countRevisions(reports: readonly ProcessReport[]): readonly RevisionCount[] {
    const revisions = reports.flatMap(({ revision }) => revision === undefined ? [] : [revision]);
    return pipe(
        sumBy(revisions, String, () => 1),
        mapSums((revision, processes): RevisionCount => ({ revision: Number(revision), processes })),
        sort(byDescendingRevision),
    );
}

function accountsNearRate(statuses: readonly OperatorStatus[]): readonly AccountUse[] {
    const uses = statuses.flatMap((status) => status.accounts);
    return pipe(
        sumBy(uses, (use) => use.account, (use) => use.usedShare),
        mapSums((account, usedShare): AccountUse => ({ account, usedShare })),
        filter((use) => use.usedShare >= nearRateShare),
        sort(byDescendingShare),
    );
}

function sumRefusals(statuses: readonly OperatorStatus[]): readonly RefusalCount[] {
    const refusals = statuses.flatMap((status) => status.refusals);
    return pipe(
        sumBy(refusals, (refusal) => refusal.reason, (refusal) => refusal.count),
        mapSums((reason, count): RefusalCount => ({ reason, count })),
        filter((refusal) => refusal.count > 0),
        sort(byDescendingCount),
    );
}

/** Sums the values of items that share a key. */
function sumBy<T>(
    items: readonly T[],
    keyOf: (item: T) => string,
    valueOf: (item: T) => number,
): ReadonlyMap<string, number> {
    const sums = new Map<string, number>();
    for (const item of items) {
        sums.set(keyOf(item), (sums.get(keyOf(item)) ?? 0) + valueOf(item));
    }
    return sums;
}

function mapSums<T>(
    make: (key: string, sum: number) => T,
): (sums: ReadonlyMap<string, number>) => readonly T[] {
    return (sums) => [...sums].map(([key, sum]) => make(key, sum));
}
