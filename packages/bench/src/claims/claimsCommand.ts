/**
 * `npm run bench -- claims`: what remembering calls costs, with group commit and with one record a call.
 *
 * @module
 */
import { Command, Option } from "clipanion";
import { ClaimMode } from "./claimMode.js";
import { type ClaimsCase, type ClaimsMeasure, measureClaims } from "./claimsExperiment.js";

const routersToday = 3;
const ratesToday = [1, 10, 30, 100, 300, 1_000];

/** Cases beyond today's size. With each router writing, more routers than these write each other off the shard. */
const largerCases: readonly ClaimsCase[] = [
    { mode: ClaimMode.EachRouterWrites, routers: 12, callsPerSecond: 300 },
    { mode: ClaimMode.OneWriterPerShard, routers: 12, callsPerSecond: 300 },
    { mode: ClaimMode.OneWriterPerShard, routers: 570, callsPerSecond: 300 },
    { mode: ClaimMode.OneWriterPerShard, routers: 570, callsPerSecond: 1_000 },
    { mode: ClaimMode.OneWriterPerShard, routers: 570, callsPerSecond: 3_000 },
];

/** Measures the claims. */
export class ClaimsCommand extends Command {
    static override paths = [["claims"]];
    static override usage = Command.Usage({
        description: "Store writes, bytes and waits of calls that run at most once, against calls a second",
    });

    json = Option.Boolean("--json", false, { description: "Print JSON" });
    seed = Option.String("--seed", "1", { description: "Seed of the arrivals" });

    async execute(): Promise<number> {
        const measures: ClaimsMeasure[] = [];
        for (const one of cases()) {
            measures.push(await measureClaims(one, Number(this.seed)));
        }
        const text = this.json
            ? JSON.stringify({ measures }, undefined, 4)
            : measures.map(describe).join("\n");
        this.context.stdout.write(`${text}\n`);
        return 0;
    }
}

function cases(): ClaimsCase[] {
    const today = Object.values(ClaimMode).flatMap((mode) =>
        ratesToday.map((callsPerSecond) => ({ mode, routers: routersToday, callsPerSecond }))
    );
    return [...today, ...largerCases];
}

function describe(measure: ClaimsMeasure): string {
    return `${measure.mode}, ${measure.routers} routers, ${measure.callsPerSecond} calls/s: `
        + `${measure.writesPerSecond} writes/s, ${measure.readsPerSecond} reads/s, `
        + `${measure.bytesPerSecond} B/s, wait p50 ${measure.wait.median} p99 ${measure.wait.p99} ms, `
        + `refused ${measure.refused} of ${measure.calls}`;
}
