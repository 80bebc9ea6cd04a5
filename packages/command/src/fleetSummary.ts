/**
 * Sums up what the processes of the fleet told of themselves.
 *
 * @module
 */
import type { VirtualMachine } from "@redwingpin/outside";
import type { AccountUse, EndpointStatus, OperatorStatus, RefusalCount } from "@redwingpin/protocol";
import { pipe } from "fp-ts/lib/function.js";
import { Ord as numberOrd } from "fp-ts/lib/number.js";
import { contramap, reverse } from "fp-ts/lib/Ord.js";
import { filter, sort } from "fp-ts/lib/ReadonlyArray.js";

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

const byFallingRevision = pipe(numberOrd, reverse, contramap((count: RevisionCount) => count.revision));
const byFallingUse = pipe(numberOrd, reverse, contramap((use: AccountUse) => use.usedShare));
const byFallingCount = pipe(numberOrd, reverse, contramap((refusal: RefusalCount) => refusal.count));

function countRevisions(reports: readonly ProcessReport[]): readonly RevisionCount[] {
    const found = reports.flatMap(({ revision }) => revision === undefined ? [] : [revision]);
    return pipe(
        sumBy(found, String, () => 1),
        collect((revision, processes): RevisionCount => ({ revision: Number(revision), processes })),
        sort(byFallingRevision),
    );
}

function accountsNearRate(statuses: readonly OperatorStatus[]): readonly AccountUse[] {
    const uses = statuses.flatMap((status) => status.accounts);
    return pipe(
        sumBy(uses, (use) => use.account, (use) => use.usedShare),
        collect((account, usedShare): AccountUse => ({ account, usedShare })),
        filter((use) => use.usedShare >= nearRateShare),
        sort(byFallingUse),
    );
}

function sumRefusals(statuses: readonly OperatorStatus[]): readonly RefusalCount[] {
    const refusals = statuses.flatMap((status) => status.refusals);
    return pipe(
        sumBy(refusals, (refusal) => refusal.reason, (refusal) => refusal.count),
        collect((reason, count): RefusalCount => ({ reason, count })),
        filter((refusal) => refusal.count > 0),
        sort(byFallingCount),
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

function collect<T>(
    make: (key: string, sum: number) => T,
): (sums: ReadonlyMap<string, number>) => readonly T[] {
    return (sums) => [...sums].map(([key, sum]) => make(key, sum));
}
