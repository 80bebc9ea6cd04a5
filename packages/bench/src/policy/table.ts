/**
 * Renders the results as text tables.
 *
 * @module
 */
import type { ResultRow } from "./experiment.js";

interface Column {
    readonly title: string;
    readonly cell: (row: ResultRow) => string;
}

const columns: readonly Column[] = [
    { title: "policy", cell: (row) => row.policy },
    { title: "hit rate", cell: (row) => row.prefixHitRate.toFixed(3) },
    { title: "first token p50", cell: (row) => `${row.firstTokenP50} ms` },
    { title: "p95", cell: (row) => `${row.firstTokenP95} ms` },
    { title: "p99", cell: (row) => `${row.firstTokenP99} ms` },
    { title: "recomputed", cell: (row) => `${Math.round(row.recomputedTokens / 1_000)} k` },
    { title: "worst share", cell: (row) => row.worstShare.toFixed(3) },
    { title: "worst p99", cell: (row) => `${row.worstAccountP99} ms` },
    { title: "wrongful", cell: (row) => `${row.wrongfulRefusals}` },
    { title: "refused", cell: (row) => `${row.refusals}` },
    { title: "offered", cell: (row) => row.offeredLoad.toFixed(3) },
];

/** Renders one table per deployment and case. */
export function renderTable(rows: readonly ResultRow[]): string {
    const titles = [...new Set(rows.map(titleOf))];
    return titles
        .map((title) => renderCase(title, rows.filter((row) => titleOf(row) === title)))
        .join("\n\n");
}

function titleOf(row: ResultRow): string {
    return `${row.deployment}: ${row.case}`;
}

function renderCase(title: string, rows: readonly ResultRow[]): string {
    const lines = [
        columns.map((column) => column.title),
        ...rows.map((row) => columns.map((column) => column.cell(row))),
    ];
    const widths = columns.map((_, index) => Math.max(...lines.map((line) => line[index]!.length)));
    const rendered = lines.map((line) =>
        line.map((cell, index) => cell.padEnd(widths[index]!)).join("  ").trimEnd()
    );
    return [`${title} (${rows[0]!.calls} calls)`, ...rendered].join("\n");
}
