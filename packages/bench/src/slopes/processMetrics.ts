/**
 * Reads processor time, memory and control traffic from the metrics of the product's processes.
 *
 * @module
 */
import type { Playground } from "@redwingpin/playground";
import { request } from "undici";

/** Metrics of one process at one time. */
export interface ProcessSample {
    readonly role: "router" | "agent";
    readonly processorSeconds: number;
    readonly residentBytes: number;
    /** Bytes sent and received on inner connections. */
    readonly innerBytes: number;
}

/** Reads the metrics of every router and agent of a playground. */
export async function sampleProcesses(playground: Playground): Promise<ProcessSample[]> {
    const { processes } = playground.state;
    const routers = playground.state.routers.map((address) => sampleProcess("router", address));
    const agents = processes
        .filter((process) => process.role === "agent")
        .map((process) =>
            sampleProcess("agent", `http://127.0.0.1:${process.environment.REDWINGPIN_METRICS_PORT}`)
        );
    return Promise.all([...routers, ...agents]);
}

async function sampleProcess(role: "router" | "agent", address: string): Promise<ProcessSample> {
    const text = await (await request(`${address}/metrics`)).body.text();
    return {
        role,
        processorSeconds: readMetric(text, "process_cpu_seconds_total"),
        residentBytes: readMetric(text, "process_resident_memory_bytes"),
        innerBytes: readMetric(text, "redwingpin_inner_sent_bytes_total")
            + readMetric(text, "redwingpin_inner_received_bytes_total"),
    };
}

function readMetric(text: string, name: string): number {
    const line = text.split("\n").find((candidate) => candidate.startsWith(`${name} `));
    if (line === undefined) {
        throw new Error(`metric "${name}" is missing`);
    }
    return Number(line.slice(name.length + 1).split(" ")[0]);
}
