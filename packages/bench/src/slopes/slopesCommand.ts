/**
 * `npm run bench -- slopes`: measures the growth of cost with size, on which docs/CAPACITY.md is based.
 *
 * @module
 */
import { Command, Option } from "clipanion";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { fleetSizes, measureFleetSize, type SizeCost } from "./fleetSlopes.js";
import { measureRequests, type RequestCost } from "./loadSlopes.js";
import { measureModules, type ModuleSlope } from "./moduleSlopes.js";

/** Results of the experiment. They are printed as JSON under these names. */
interface SlopesReport {
    readonly modules: readonly ModuleSlope[];
    readonly requests: readonly RequestCost[];
    readonly idle: readonly SizeCost[];
}

/** Runs the slopes experiment and prints its results. */
export class SlopesCommand extends Command {
    static override paths = [["slopes"]];
    static override usage = Command.Usage({
        description:
            "Measures how state, processor time and messages grow with accounts, endpoints, blocks and processes",
    });

    json = Option.Boolean("--json", false, { description: "Print JSON" });
    settle = Option.String("--settle", "8", { description: "Seconds to wait before each idle window" });
    window = Option.String("--window", "15", { description: "Seconds of each idle window" });
    requests = Option.String("--requests", "1500", { description: "Requests for each answer length" });

    async execute(): Promise<number> {
        const modules = measureModules(exposeGarbageCollection());
        const requests = await measureRequests(Number(this.requests));
        const idle: SizeCost[] = [];
        for (const size of fleetSizes) {
            idle.push(await measureFleetSize(size, Number(this.settle), Number(this.window)));
        }
        const report: SlopesReport = { modules, requests, idle };
        this.context.stdout.write(this.json ? `${JSON.stringify(report, undefined, 4)}\n` : describe(report));
        return 0;
    }
}

function exposeGarbageCollection(): () => void {
    setFlagsFromString("--expose-gc");
    return runInNewContext("gc") as () => void;
}

function describe(report: SlopesReport): string {
    const modules = report.modules.flatMap((slope) =>
        slope.costs.map((cost) =>
            `${slope.module}, ${cost.size} x ${slope.item}: ${cost.bytesPerItem.toFixed(0)} B each, `
            + `${cost.microsecondsPerStep.toFixed(1)} us to ${slope.step}`
        )
    );
    const requests = report.requests.map((cost) =>
        `request of ${cost.answerTokens} tokens: router ${cost.routerMilliseconds.toFixed(3)} ms, `
        + `agent ${cost.agentMilliseconds.toFixed(3)} ms of processor time`
    );
    const idle = report.idle.map((cost) =>
        `${cost.routers} routers, ${cost.agents} agents: router ${describeIdle(cost.router)}; `
        + `agent ${describeIdle(cost.agent)}; store ${cost.storeCallsPerSecond.toFixed(2)} calls/s`
    );
    return `${[...modules, ...requests, ...idle].join("\n")}\n`;
}

function describeIdle(cost: SizeCost["router"]): string {
    return `${(cost.coreShare * 100).toFixed(2)}% core, ${cost.residentMegabytes.toFixed(0)} MB, `
        + `${cost.innerBytesPerSecond.toFixed(0)} B/s`;
}
