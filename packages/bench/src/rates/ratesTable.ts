/**
 * Renders the results of the rates experiment as text tables.
 *
 * @module
 */
import type { RatesRow } from "./ratesExperiment.js";
import type { RatesSlopes } from "./ratesSlopes.js";

type Cells = readonly (string | number)[];

/** Renders one row per case and policy. */
export function renderRatesRows(rows: readonly RatesRow[]): string {
    const titles = [
        "deployment",
        "fault",
        "policy",
        "overspent",
        "refused within rate",
        "against ideal",
        "offered",
        "share of rate",
        "wait p50",
        "wait p99",
        "messages/s",
        "bytes/s/router",
        "store calls",
    ];
    return renderTable(titles, rows.map(cellsOf));
}

function cellsOf(row: RatesRow): Cells {
    return [
        row.deployment,
        row.fault,
        row.policy,
        row.overspentTokens,
        row.refusedWithinRate,
        row.refusedAgainstIdeal,
        row.offered,
        row.shareOfRate?.toFixed(3) ?? "",
        row.waitP50.toFixed(0),
        row.waitP99.toFixed(0),
        row.messagesPerSecond.toFixed(1),
        row.bytesPerSecondPerRouter.toFixed(0),
        row.storeCalls,
    ];
}

/** Renders one table each for control traffic, slot holders and the roster. */
export function renderRatesSlopes(slopes: RatesSlopes): string {
    const traffic = renderTable(
        ["routers", "accounts", "requests/s", "messages/request", "bytes/request", "bytes/s/router"],
        slopes.traffic.map((point) => [
            point.routers,
            point.accounts,
            point.requestsPerSecond.toFixed(1),
            point.messagesPerRequest.toFixed(2),
            point.bytesPerRequest.toFixed(0),
            point.bytesPerSecondPerRouter.toFixed(0),
        ]),
    );
    const holder = renderTable(
        ["accounts", "slots", "bytes/slot", "us/ask", "us/admission", "ms/manifest"],
        slopes.holder.map((point) => [
            point.accounts,
            point.slots,
            point.heapBytesPerSlot.toFixed(0),
            point.microsecondsPerAsk.toFixed(2),
            point.microsecondsPerAdmission.toFixed(2),
            point.millisecondsPerManifest.toFixed(2),
        ]),
    );
    const roster = renderTable(
        ["routers", "roster bytes"],
        slopes.roster.map((point) => [point.routers, point.bytes]),
    );
    return [traffic, holder, roster].join("\n\n");
}

function renderTable(titles: readonly string[], rows: readonly Cells[]): string {
    const lines = [titles, ...rows.map((row) => row.map(String))];
    const widths = titles.map((_, column) => Math.max(...lines.map((line) => line[column].length)));
    return lines
        .map((line) => line.map((cell, column) => cell.padEnd(widths[column])).join("  ").trimEnd())
        .join("\n");
}
