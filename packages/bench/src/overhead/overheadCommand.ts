/**
 * `npm run bench -- overhead`: measures the latency that the product adds to a direct call, by pairs of a direct call
 * and one through the product, and the requests per second that one router serves.
 *
 * @module
 */
import { type Playground, startPlayground } from "@redwingpin/playground";
import { Command, Option } from "clipanion";
import { Agent } from "undici";
import { type Quantiles, quantilesOf } from "../quantiles.js";
import { type CallTimes, timeCall, type TimeCallOptions } from "./timeCall.js";

const targetMedianMilliseconds = 2;
const targetP99Milliseconds = 10;
const warmUpPairs = 50;
const throughputClients = 64;
const tokensPerCall = 16;

/** Results of the experiment; all times are in milliseconds. */
interface OverheadReport {
    readonly pairs: number;
    readonly addedToFirstByte: Quantiles;
    readonly addedToWholeAnswer: Quantiles;
    readonly directFirstByte: Quantiles;
    readonly productFirstByte: Quantiles;
    readonly requestsPerSecondOfOneRouter: number;
    readonly refusedInThroughput: number;
    readonly targets: { readonly median: number; readonly p99: number; readonly met: boolean; };
}

/** Runs the overhead experiment with real processes and prints its results. */
export class OverheadCommand extends Command {
    static override paths = [["overhead"]];
    static override usage = Command.Usage({
        description:
            "Measures the latency added to direct calls, and the requests per second that one router serves",
    });

    json = Option.Boolean("--json", false, { description: "Print JSON" });
    pairs = Option.String("--pairs", "500", { description: "Pairs of calls" });
    seconds = Option.String("--seconds", "5", { description: "Seconds of the throughput measurement" });

    async execute(): Promise<number> {
        const playground = await startPlayground({ routers: 1, engines: 1, services: 1 });
        try {
            const report = await measure(playground, Number(this.pairs), Number(this.seconds));
            this.context.stdout.write(
                this.json ? `${JSON.stringify(report, undefined, 4)}\n` : describe(report),
            );
            return 0;
        }
        finally {
            await playground.stop();
        }
    }
}

async function measure(playground: Playground, pairs: number, seconds: number): Promise<OverheadReport> {
    const dispatcher = new Agent({ connections: throughputClients });
    const { direct, product } = createCalls(playground, dispatcher);
    const samples = await measurePairs(direct, product, pairs);
    const throughput = await measureThroughput(product, seconds);
    await dispatcher.close();
    const added = quantilesOf(samples.map((pair) => pair.product.firstByte - pair.direct.firstByte));
    return {
        pairs,
        addedToFirstByte: added,
        addedToWholeAnswer: quantilesOf(
            samples.map((pair) => pair.product.wholeAnswer - pair.direct.wholeAnswer),
        ),
        directFirstByte: quantilesOf(samples.map((pair) => pair.direct.firstByte)),
        productFirstByte: quantilesOf(samples.map((pair) => pair.product.firstByte)),
        requestsPerSecondOfOneRouter: throughput.perSecond,
        refusedInThroughput: throughput.refused,
        targets: {
            median: targetMedianMilliseconds,
            p99: targetP99Milliseconds,
            met: added.median <= targetMedianMilliseconds && added.p99 <= targetP99Milliseconds,
        },
    };
}

interface Pair {
    readonly direct: CallTimes;
    readonly product: CallTimes;
}

/**
 * Makes pairs of a direct call and one through the product. The order alternates, so that drift affects both equally.
 */
async function measurePairs(
    direct: TimeCallOptions,
    product: TimeCallOptions,
    pairs: number,
): Promise<Pair[]> {
    const samples: Pair[] = [];
    for (let index = -warmUpPairs; index < pairs; index++) {
        const productFirst = index % 2 === 0;
        const first = await timeCall(productFirst ? product : direct);
        const second = await timeCall(productFirst ? direct : product);
        if (index >= 0) {
            samples.push(
                productFirst ? { product: first, direct: second } : { product: second, direct: first },
            );
        }
    }
    return samples;
}

async function measureThroughput(call: TimeCallOptions, seconds: number) {
    const start = performance.now();
    const end = start + seconds * 1_000;
    let served = 0;
    let refused = 0;
    const client = async () => {
        while (performance.now() < end) {
            await timeCall(call).then(() => served++, () => refused++);
        }
    };
    await Promise.all(Array.from({ length: throughputClients }, client));
    return { perSecond: Math.round(served / ((performance.now() - start) / 1_000)), refused };
}

function createCalls(
    playground: Playground,
    dispatcher: Agent,
): { direct: TimeCallOptions; product: TimeCallOptions; } {
    const { state } = playground;
    const agent = state.processes.find((process) =>
        process.environment.REDWINGPIN_ENDPOINT_KIND === "engine"
    );
    if (agent === undefined) {
        throw new Error("the playground has no agent with an engine");
    }
    const body = (model: string) =>
        JSON.stringify({
            model,
            prompt: "Does this pattern match?",
            max_tokens: tokensPerCall,
            stream: true,
        });
    return {
        direct: {
            address: agent.environment.REDWINGPIN_ENDPOINT_ADDRESS,
            headers: {},
            body: body("drafting"),
            dispatcher,
        },
        product: {
            address: state.routers[0],
            headers: { authorization: `Bearer ${state.keys[0].key}` },
            body: body(state.models[0]),
            dispatcher,
        },
    };
}

function describe(report: OverheadReport): string {
    const describeTimes = (name: string, value: Quantiles) =>
        `${name}: median ${value.median}, p95 ${value.p95}, p99 ${value.p99} ms\n`;
    return describeTimes("added to first byte", report.addedToFirstByte)
        + describeTimes("added to whole answer", report.addedToWholeAnswer)
        + describeTimes("direct first byte", report.directFirstByte)
        + describeTimes("product first byte", report.productFirstByte)
        + `one router: ${report.requestsPerSecondOfOneRouter} requests/s, ${report.refusedInThroughput} refused\n`
        + `targets (median ${report.targets.median}, p99 ${report.targets.p99} ms): ${
            report.targets.met ? "met" : "not met"
        }\n`;
}
