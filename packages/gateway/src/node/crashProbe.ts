/**
 * Tells an endpoint that crashed from one that only closed a connection: nothing accepts connections at the address of
 * an endpoint that has crashed.
 *
 * @module
 */
import { connectTimeoutMilliseconds } from "@redwingpin/common";
import type { DirectEndpoint } from "@redwingpin/fleet";
import { connect } from "node:net";

/** Probes endpoints. Requests that are interrupted at the same endpoint share one probe. */
export class CrashProbe {
    private readonly running = new Map<string, Promise<boolean>>();

    /**
     * Resolves with true if the endpoint refuses connections. An endpoint that does not respond may be unreachable only
     * for this router, so it does not count as crashed.
     */
    hasCrashed(endpoint: DirectEndpoint): Promise<boolean> {
        const { instance } = endpoint;
        let probe = this.running.get(instance);
        if (probe === undefined) {
            probe = refusesConnections(endpoint).finally(() => this.running.delete(instance));
            this.running.set(instance, probe);
        }
        return probe;
    }
}

function refusesConnections({ host, port }: DirectEndpoint): Promise<boolean> {
    return new Promise((resolve) => {
        const socket = connect({ host, port, timeout: connectTimeoutMilliseconds });
        const end = (isRefused: boolean) => {
            socket.destroy();
            resolve(isRefused);
        };
        socket.once("connect", () => end(false));
        socket.once("timeout", () => end(false));
        socket.once("error", (error: NodeJS.ErrnoException) => end(error.code === "ECONNREFUSED"));
    });
}
