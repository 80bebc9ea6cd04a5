/**
 * Renders the results as a self-contained HTML page, with plots drawn by vega.
 *
 * @module
 */
import { parse, View } from "vega";
import { compile, type TopLevelSpec } from "vega-lite";
import type { ResultRow } from "./experiment.js";
import { PolicyName } from "./routingPolicy.js";
import { renderTable } from "./table.js";

/** One metric, plotted over cases and policies. */
interface Plot {
    readonly title: string;
    readonly field: keyof ResultRow;
}

const plots: readonly Plot[] = [
    { title: "prefix hit rate", field: "prefixHitRate" },
    { title: "time to first token, p99, ms", field: "firstTokenP99" },
    { title: "worst-served account's share", field: "worstShare" },
    { title: "tokens recomputed", field: "recomputedTokens" },
];

const plotWidth = 260;

/** Renders the HTML page. */
export async function renderReport(seed: number, rows: readonly ResultRow[]): Promise<string> {
    const renderedPlots: string[] = [];
    for (const deployment of new Set(rows.map((row) => row.deployment))) {
        for (const plot of plots) {
            renderedPlots.push(
                await renderPlot(
                    `${deployment}: ${plot.title}`,
                    plot,
                    rows.filter((row) => row.deployment === deployment),
                ),
            );
        }
    }
    return [
        "<!doctype html>",
        '<html lang="en"><head><meta charset="utf-8"><title>redwingpin: policy experiment</title>',
        "<style>body { font-family: sans-serif; margin: 2em; } pre { font-size: 12px; }</style></head><body>",
        `<h1>Policy experiment, seed ${seed}</h1>`,
        ...renderedPlots.map((plot) => `<div>${plot}</div>`),
        `<pre>${escapeHtml(renderTable(rows))}</pre>`,
        "</body></html>",
        "",
    ].join("\n");
}

async function renderPlot(title: string, plot: Plot, rows: readonly ResultRow[]): Promise<string> {
    const spec: TopLevelSpec = {
        title,
        data: { values: rows.map((row) => ({ case: row.case, policy: row.policy, value: row[plot.field] })) },
        columns: 4,
        facet: { field: "case", type: "nominal", title: "" },
        spec: {
            width: plotWidth,
            mark: "bar",
            encoding: {
                y: { field: "policy", type: "nominal", sort: Object.values(PolicyName), title: "" },
                x: { field: "value", type: "quantitative", title: "" },
                color: {
                    field: "policy",
                    type: "nominal",
                    sort: Object.values(PolicyName),
                    legend: undefined,
                },
            },
        },
    };
    return new View(parse(compile(spec).spec), { renderer: "none" }).toSVG();
}

function escapeHtml(text: string): string {
    return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(">", "&gt;");
}
