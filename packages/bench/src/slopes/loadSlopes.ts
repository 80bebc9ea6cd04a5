/**
 * What requests cost a router and an agent in processor time, by the length of their answers: real processes under
 * load, read from their metrics.
 *
 * @module
 */
import { type Playground, startPlayground } from "@redwingpin/playground";
import { Agent, request } from "undici";
import { timedCall } from "../overhead/timedCall.js";
import { type ProcessReading, readProcesses } from "./processMetrics.js";

/** Processor time of one request, by role. */
export interface RequestCost {
    readonly answerTokens: number;
    readonly requests: number;
    readonly routerMilliseconds: number;
    readonly agentMilliseconds: number;
}

const clients = 16;
const millisecondsPerSecond = 1_000;
/** Answer lengths from which the cost of a request can be told from that of a token. */
const answerLengths: readonly number[] = [1, 64, 256];

/** Measures requests of several lengths in one playground with one router. */
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
    const before = await readProcesses(playground);
    await runRequests(playground, answerTokens, requests);
    const after = await readProcesses(playground);
    const spent = (role: ProcessReading["role"]) =>
        after.reduce(
            (sum, reading, index) =>
                reading.role === role ? sum + reading.processorSeconds - before[index].processorSeconds : sum,
            0,
        );
    return {
        answerTokens,
        requests,
        routerMilliseconds: spent("router") * millisecondsPerSecond / requests,
        agentMilliseconds: spent("agent") * millisecondsPerSecond / requests,
    };
}

async function runRequests(playground: Playground, answerTokens: number, requests: number): Promise<void> {
    const { state } = playground;
    const dispatcher = new Agent({ connections: clients });
    let left = requests;
    const client = async () => {
        while (left-- > 0) {
            await timedCall({
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
    await Promise.all(Array.from({ length: clients }, client));
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
