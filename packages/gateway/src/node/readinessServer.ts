/**
 * HTTP server that tells the load balancer whether a router should receive connections.
 *
 * @module
 */
import { createControlServer, type Logger } from "@redwingpin/common";
import type { Server } from "node:http";
import type { Registry } from "prom-client";

/** Dependencies of the server. */
export interface ReadinessServerContext {
    readonly logger: Logger;
    readonly registry: Registry;
}

/** Answers `GET path` with 200 or 503, and any other path with 404. */
export function createReadinessServer(
    path: string,
    { logger, registry }: ReadinessServerContext,
    isReady: () => boolean,
): Server {
    return createControlServer({ port: "readiness", logger, registry }, (request, response) => {
        const isReadinessPath = request.url === path;
        response.writeHead(isReadinessPath ? (isReady() ? 200 : 503) : 404, { "content-length": 0 });
        response.end();
    });
}
