/**
 * Measures the processor time of a request at a router and an agent by answer length, from the metrics of real
 * processes under load.
 *
 * @module
 */
import { type Playground, startPlayground } from "@redwingpin/playground";
import { Agent, request } from "undici";
import { timeCall } from "../overhead/timeCall.js";
import { type ProcessSample, sampleProcesses } from "./processMetrics.js";

/** Processor time per request, by role. */
export interface RequestCost {
    readonly answerTokens: number;
    readonly requests: number;
    readonly routerMilliseconds: number;
    readonly agentMilliseconds: number;
}

const clientCount = 16;
const millisecondsPerSecond = 1_000;
/** Several lengths, so that the cost of a request can be separated from the cost of a token. */
const answerLengths: readonly number[] = [1, 64, 256];

/** Measures requests with each answer length in one playground with one router. */
export async function measureRequests(requestsPerLength: number): Promise<RequestCost[]> {
    const playground = await startPlayground({ routers: 1, engines: 2, services: 1 });
    try {
        await removeDelays(playground);
        await runRequests(playground, answerLengths[0], requestsPerLength);
        const costs: RequestCost[] = [];
        for (const answerTokens of answerLengths) {
            costs.push(await measureLength(playground, answerTokens, requestsPerLength));
        }
        return costs;
    }
    finally {
        await playground.stop();
    }
}

async function measureLength(
    playground: Playground,
    answerTokens: number,
    requests: number,
): Promise<RequestCost> {
    const before = await sampleProcesses(playground);
    await runRequests(playground, answerTokens, requests);
    const after = await sampleProcesses(playground);
    const processorSeconds = (role: ProcessSample["role"]) =>
        after.reduce(
            (sum, sample, index) =>
                sample.role === role ? sum + sample.processorSeconds - before[index].processorSeconds : sum,
            0,
        );
    return {
        answerTokens,
        requests,
        routerMilliseconds: processorSeconds("router") * millisecondsPerSecond / requests,
        agentMilliseconds: processorSeconds("agent") * millisecondsPerSecond / requests,
    };
}

async function runRequests(playground: Playground, answerTokens: number, requests: number): Promise<void> {
    const { state } = playground;
    const dispatcher = new Agent({ connections: clientCount });
    let remaining = requests;
    const client = async () => {
        while (remaining-- > 0) {
            await timeCall({
                address: state.routers[0],
                headers: { authorization: `Bearer ${state.keys[0].key}` },
                body: JSON.stringify({
                    model: state.models[0],
                    prompt: "Does this pattern match?",
                    max_tokens: answerTokens,
                    stream: true,
                }),
                dispatcher,
            });
        }
    };
    await Promise.all(Array.from({ length: clientCount }, client));
    await dispatcher.close();
}

async function removeDelays(playground: Playground): Promise<void> {
    for (const engine of playground.state.processes.filter((process) => process.role === "engine")) {
        const answer = await request(`${engine.control}/control/delay`, {
            method: "POST",
            body: JSON.stringify({ firstToken: 0, betweenTokens: 0 }),
        });
        await answer.body.dump();
    }
}
