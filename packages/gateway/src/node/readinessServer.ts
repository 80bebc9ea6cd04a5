/**
 * HTTP server that tells the load balancer whether a router should receive connections.
 *
 * @module
 */
import { createServer, type Server } from "node:http";

/** Answers `GET path` with 200 or 503, and any other path with 404. */
export function createReadinessServer(path: string, isReady: () => boolean): Server {
    return createServer((request, response) => {
        const isReadinessPath = request.url === path;
        response.writeHead(isReadinessPath ? (isReady() ? 200 : 503) : 404, { "content-length": 0 });
        response.end();
    });
}
