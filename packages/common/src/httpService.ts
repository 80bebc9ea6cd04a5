/**
 * Handles `/health`, `/ready` and `/metrics`, and runs an HTTP server for them whose port is not the one for callers. Opens
 * the ports of servers.
 *
 * @module
 */
import type { Server as HttpServer, ServerResponse } from "node:http";
import type { AddressInfo, Server } from "node:net";
import type { Registry } from "prom-client";
import { type Clock, type Milliseconds, sleep } from "./clock.js";
import { createControlServer } from "./connections/controlServer.js";
import { type Logger, silentLogger } from "./logger.js";
import { readMetricsText } from "./metricsText.js";

/** Interval at which an address that is in use is tried again. */
const listenRetryInterval: Milliseconds = 200;

/** Time for which a server waits for its address by default. */
const defaultListenTimeout: Milliseconds = 30_000;

/** Errors that pass: another process still uses the address, or the VM does not have it yet. */
const passingListenErrors: Readonly<Record<string, string>> = {
    EADDRINUSE: "address in use by another process",
    EADDRNOTAVAIL: "address not available on this VM",
};

/** How long a server waits for an address that it can't listen on yet. */
export interface ListenWait {
    readonly clock: Clock;
    readonly logger: Logger;
    /** @default 30000 */
    readonly timeout?: Milliseconds;
}

/** State that the health paths report. */
export interface HealthSource {
    readonly registry: Registry;
    /** Returns whether the process should receive work. */
    readonly ready: () => boolean;
    /** @default no log lines */
    readonly logger?: Logger;
}

/** Answers a request to `/health`, `/ready` or `/metrics`. Returns false for any other path. */
export function answerHealthRequest(path: string, response: ServerResponse, source: HealthSource): boolean {
    switch (path) {
        case "/health":
            answerText(response, 200, "alive\n");
            return true;
        case "/ready":
            answerText(response, source.ready() ? 200 : 503, source.ready() ? "ready\n" : "not ready\n");
            return true;
        case "/metrics":
            readMetricsText(source.registry).then(
                (text) => answerText(response, 200, text, source.registry.contentType),
                (error: unknown) => {
                    source.logger?.error("metrics cannot be encoded", { error: String(error) });
                    answerText(response, 500, "the metrics cannot be encoded\n");
                },
            );
            return true;
        default:
            return false;
    }
}

/** Starts a separate HTTP server for health and metrics. */
export async function startHealthServer(
    host: string,
    port: number,
    source: HealthSource,
    wait?: ListenWait,
): Promise<HttpServer> {
    const { logger = wait?.logger ?? silentLogger, registry } = source;
    const server = createControlServer({ port: "metrics", logger, registry }, (request, response) => {
        if (!answerHealthRequest(request.url ?? "", response, source)) {
            answerText(response, 404, "not found\n");
        }
    });
    await listenOn(server, host, port, wait);
    return server;
}

/**
 * Starts listening and resolves with the port. If `port` is 0, the operating system selects it. Without `wait`, it fails
 * immediately if the address can't be used.
 */
export async function listenOn(
    server: Server,
    host: string,
    port: number,
    wait?: ListenWait,
): Promise<number> {
    const timeout = wait?.timeout ?? defaultListenTimeout;
    for (let waited = 0;; waited += listenRetryInterval) {
        const error = await tryListening(server, host, port);
        if (error === undefined) {
            // A connection that can't be accepted does not concern the others.
            server.on(
                "error",
                (failure) =>
                    wait?.logger.error("connection not accepted", { host, port, error: String(failure) }),
            );
            return (server.address() as AddressInfo).port;
        }
        const reason = passingListenErrors[error.code ?? ""];
        if (wait === undefined || reason === undefined) {
            throw error;
        }
        if (waited >= timeout) {
            throw new Error(
                `${host}:${port}: ${reason} for ${timeout} ms; stop that process or change the settings`,
                { cause: error },
            );
        }
        if (waited === 0) {
            wait.logger.warn("waiting to listen", { host, port, reason });
        }
        await sleep(wait.clock, listenRetryInterval);
    }
}

/** Resolves with the error, or `undefined` once the server listens. */
function tryListening(
    server: Server,
    host: string,
    port: number,
): Promise<NodeJS.ErrnoException | undefined> {
    return new Promise((resolve) => {
        const onListening = () => {
            server.off("error", onError);
            resolve(undefined);
        };
        const onError = (error: NodeJS.ErrnoException) => {
            server.off("listening", onListening);
            resolve(error);
        };
        server.once("error", onError);
        server.once("listening", onListening);
        server.listen(port, host);
    });
}

function answerText(response: ServerResponse, status: number, text: string, type = "text/plain"): void {
    if (response.destroyed) {
        return;
    }
    response.writeHead(status, { "content-type": type });
    response.end(text);
}
