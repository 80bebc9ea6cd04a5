/**
 * Outcomes of requests by version and route: what a router counts, and the sums over the reports of all routers. Counts are
 * cumulative for an order and an incarnation of a router, so lost, duplicated and reordered reports do no harm.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import type { VersionOutcomes, VersionReport } from "@redwingpin/fleet";

/** How a request to an endpoint ended, as far as it says something of the endpoint's version. */
export type VersionOutcome =
    /** An answer that is no failure; `ratio` is its latency divided by the predicted one. */
    | { readonly kind: "answered"; readonly ratio: number; }
    /** A status of 500 or above, or a broken connection. */
    | { readonly kind: "failed"; }
    /** The endpoint did not run the request, or the caller left. */
    | { readonly kind: "neither"; };

/** Number of steps of a histogram. */
export const histogramSteps = 16;

/** Steps of latency ratios per factor of two, and the step of ratio 1. */
const ratioStepsPerDoubling = 2;
const ratioOneStep = 4;

/** Upper bound of the first step of durations; each further one is half as long again. */
const firstDuration: Milliseconds = 50;
const durationFactor = 1.6;

/** Routes beyond this number are counted together. */
const maxRoutes = 24;
const otherRoutes = "(others)";

/** Router incarnations whose reports are kept. */
const maxReporters = 2_000;

/** Step of a latency ratio. */
export function ratioStep(ratio: number): number {
    return clampStep(Math.floor(Math.log2(Math.max(ratio, 1e-3)) * ratioStepsPerDoubling) + ratioOneStep);
}

function durationStep(duration: Milliseconds): number {
    return clampStep(Math.ceil(Math.log(Math.max(1, duration) / firstDuration) / Math.log(durationFactor)));
}

function clampStep(step: number): number {
    return Math.min(histogramSteps - 1, Math.max(0, step));
}

/** Duration below which the given share of requests ended; `undefined` without requests. */
export function durationQuantile(durations: readonly number[], share: number): Milliseconds | undefined {
    const total = sum(durations);
    let seen = 0;
    for (const [step, count] of durations.entries()) {
        seen += count;
        if (seen > 0 && seen >= share * total) {
            return firstDuration * durationFactor ** step;
        }
    }
    return undefined;
}

export function sum(counts: readonly number[]): number {
    return counts.reduce((total, count) => total + count, 0);
}

type Mutable<T> = { -readonly [K in keyof T]: T[K] extends readonly number[] ? number[] : T[K]; };

/** What this router counts for one order. */
export class OutcomeCounts {
    requests = 0;
    exposed = 0;
    private readonly rows = new Map<string, Mutable<VersionOutcomes>>();
    private reports = 0;

    /** Records a request that is sent to an endpoint; the result records its end. */
    start(
        route: string,
        isNew: boolean,
        now: Milliseconds,
    ): (outcome: VersionOutcome, now: Milliseconds) => void {
        const row = this.row(route, isNew);
        row.started += 1;
        this.exposed += isNew ? 1 : 0;
        return (outcome, endedAt) => {
            row.ended += 1;
            if (outcome.kind === "neither") {
                return;
            }
            row.answered += 1;
            row.durations[durationStep(endedAt - now)] += 1;
            if (outcome.kind === "failed") {
                row.failed += 1;
            }
            else {
                row.latencies[ratioStep(outcome.ratio)] += 1;
            }
        };
    }

    report(service: string, order: number, phase: string): VersionReport {
        const { exposed, requests } = this;
        this.reports += 1;
        const rows = [...this.rows.values()].map((row) => ({
            ...row,
            latencies: [...row.latencies],
            durations: [...row.durations],
        }));
        return { service, order, number: this.reports, phase, requests, exposed, rows };
    }

    private row(route: string, isNew: boolean): Mutable<VersionOutcomes> {
        const keyOf = (name: string) => `${isNew ? "new" : "old"} ${name}`;
        const isKnown = this.rows.has(keyOf(route)) || this.rows.size < 2 * maxRoutes;
        const name = isKnown ? route : otherRoutes;
        const row = this.rows.get(keyOf(name)) ?? {
            route: name,
            isNew,
            started: 0,
            ended: 0,
            answered: 0,
            failed: 0,
            latencies: Array<number>(histogramSteps).fill(0),
            durations: Array<number>(histogramSteps).fill(0),
        };
        this.rows.set(keyOf(name), row);
        return row;
    }
}

/** Sums over all routers for one route. */
export interface RouteTotals {
    readonly route: string;
    readonly fresh: VersionOutcomes;
    readonly old: VersionOutcomes;
}

/** A router's last report. */
export interface KnownReport {
    readonly report: VersionReport;
    readonly at: Milliseconds;
}

/** The last reports of all routers on one order. */
export class OutcomeTotals {
    private readonly reports = new Map<string, KnownReport>();

    /** Applies a report of a router incarnation unless a later one is known. */
    observe(incarnation: string, report: VersionReport, now: Milliseconds): void {
        const known = this.reports.get(incarnation);
        if (known !== undefined && known.report.number >= report.number) {
            return;
        }
        if (known === undefined && this.reports.size >= maxReporters) {
            return;
        }
        this.reports.set(incarnation, { report, at: now });
    }

    get requests(): number {
        return sum([...this.reports.values()].map(({ report }) => report.requests));
    }

    get exposed(): number {
        return sum([...this.reports.values()].map(({ report }) => report.exposed));
    }

    /** Reports that arrived after a time. */
    since(time: Milliseconds): VersionReport[] {
        return [...this.reports.values()].filter(({ at }) => at >= time).map(({ report }) => report);
    }

    /** Age of the oldest report; `undefined` without reports. */
    oldestAge(now: Milliseconds): Milliseconds | undefined {
        const ages = [...this.reports.values()].map(({ at }) => now - at);
        return ages.length === 0 ? undefined : Math.round(Math.max(...ages));
    }

    routes(): RouteTotals[] {
        const rows = [...this.reports.values()].flatMap(({ report }) => report.rows);
        const names = [...new Set(rows.map((row) => row.route))];
        return names.map((route) => ({
            route,
            fresh: addRows(route, true, rows),
            old: addRows(route, false, rows),
        }));
    }
}

/** Requests of a side that run as far as reports tell. */
export function runningOf(report: VersionReport, isNew: boolean): number {
    return sum(report.rows.filter((row) => row.isNew === isNew).map((row) => row.started - row.ended));
}

function addRows(route: string, isNew: boolean, rows: readonly VersionOutcomes[]): VersionOutcomes {
    const total = {
        route,
        isNew,
        started: 0,
        ended: 0,
        answered: 0,
        failed: 0,
        latencies: Array<number>(histogramSteps).fill(0),
        durations: Array<number>(histogramSteps).fill(0),
    };
    for (const row of rows) {
        if (row.route === route && row.isNew === isNew) {
            total.started += row.started;
            total.ended += row.ended;
            total.answered += row.answered;
            total.failed += row.failed;
            row.latencies.forEach((count, step) => total.latencies[clampStep(step)] += count);
            row.durations.forEach((count, step) => total.durations[clampStep(step)] += count);
        }
    }
    return total;
}
