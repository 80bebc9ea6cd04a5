/**
 * Runs crowds of untrusted clients.
 *
 * @module
 */
import { once } from "node:events";
import { Worker } from "node:worker_threads";
import type { UntrustedGroup } from "./untrustedClients.js";

/** Groups of untrusted clients that use one port at the same time. */
export interface Crowd {
    readonly host: string;
    readonly port: number;
    readonly groups: readonly UntrustedGroup[];
    /** Time in milliseconds for which the clients send and return; after it they only keep their connections. */
    readonly duration: number;
}

/** A crowd whose clients have stopped sending. */
export interface QuietCrowd {
    /** Closes all connections. */
    close(): Promise<void>;
}

/** Runs a crowd in a thread of its own; resolves once its clients have stopped sending. */
export async function runCrowd(crowd: Crowd): Promise<QuietCrowd> {
    const thread = new Worker(new URL("./clientCrowdThread.js", import.meta.url), { workerData: crowd });
    const exited = once(thread, "exit");
    await once(thread, "message");
    return {
        close: async () => {
            thread.postMessage("close");
            await exited;
        },
    };
}
