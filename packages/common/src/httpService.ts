/**
 * Handles `/health`, `/ready` and `/metrics`, and runs an HTTP server for them whose port is not the one for callers.
 *
 * @module
 */
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { Registry } from "prom-client";

/** State that the health paths report. */
export interface HealthSource {
    readonly registry: Registry;
    /** Returns whether the process should receive work. */
    readonly ready: () => boolean;
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
            void source.registry.metrics().then((text) =>
                answerText(response, 200, text, source.registry.contentType)
            );
            return true;
        default:
            return false;
    }
}

/** Starts a separate HTTP server for health and metrics. */
export async function startHealthServer(host: string, port: number, source: HealthSource): Promise<Server> {
    const server = createServer((request, response) => {
        if (!answerHealthRequest(request.url ?? "", response, source)) {
            answerText(response, 404, "not found\n");
        }
    });
    await listenOn(server, host, port);
    return server;
}

/** Starts listening and resolves with the port. If `port` is 0, the operating system selects it. */
export function listenOn(server: Server, host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => resolve((server.address() as AddressInfo).port));
    });
}

function answerText(response: ServerResponse, status: number, text: string, type = "text/plain"): void {
    response.writeHead(status, { "content-type": type });
    response.end(text);
}
