/**
 * `npm run bench -- claims`: measures the cost of recording calls, with group commit and with one record per call.
 *
 * @module
 */
import { Command, Option } from "clipanion";
import { ClaimMode } from "./claimMode.js";
import { type ClaimsCase, type ClaimsMeasure, measureClaims } from "./claimsExperiment.js";

const currentRouters = 3;
const callRates = [1, 10, 30, 100, 300, 1_000];

/** Cases beyond the current size. If each router writes, more than 12 routers cause too many conflicts on a shard. */
const largerCases: readonly ClaimsCase[] = [
    { mode: ClaimMode.EachRouterWrites, routers: 12, callsPerSecond: 300 },
    { mode: ClaimMode.OneWriterPerShard, routers: 12, callsPerSecond: 300 },
    { mode: ClaimMode.OneWriterPerShard, routers: 570, callsPerSecond: 300 },
    { mode: ClaimMode.OneWriterPerShard, routers: 570, callsPerSecond: 1_000 },
    { mode: ClaimMode.OneWriterPerShard, routers: 570, callsPerSecond: 3_000 },
];

/** Runs the claims experiment and prints its results. */
export class ClaimsCommand extends Command {
    static override paths = [["claims"]];
    static override usage = Command.Usage({
        description:
            "Measures store writes, bytes and waits of calls that run at most once, by calls per second",
    });

    json = Option.Boolean("--json", false, { description: "Print JSON" });
    seed = Option.String("--seed", "1", { description: "Seed of the arrivals" });

    async execute(): Promise<number> {
        const measures: ClaimsMeasure[] = [];
        for (const claimsCase of createCases()) {
            measures.push(await measureClaims(claimsCase, Number(this.seed)));
        }
        const text = this.json
            ? JSON.stringify({ measures }, undefined, 4)
            : measures.map(describe).join("\n");
        this.context.stdout.write(`${text}\n`);
        return 0;
    }
}

function createCases(): ClaimsCase[] {
    const currentCases = Object.values(ClaimMode).flatMap((mode) =>
        callRates.map((callsPerSecond) => ({ mode, routers: currentRouters, callsPerSecond }))
    );
    return [...currentCases, ...largerCases];
}

function describe(measure: ClaimsMeasure): string {
    return `${measure.mode}, ${measure.routers} routers, ${measure.callsPerSecond} calls/s: `
        + `${measure.writesPerSecond} writes/s, ${measure.readsPerSecond} reads/s, `
        + `${measure.bytesPerSecond} B/s, wait p50 ${measure.wait.median} p99 ${measure.wait.p99} ms, `
        + `refused ${measure.refused} of ${measure.calls}`;
}
