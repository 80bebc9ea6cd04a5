/**
 * Free ports below those that the system hands out for outgoing connections, so that a process that stopped can
 * start again on its port.
 *
 * @module
 */
import { createServer } from "node:net";

const lowestPort = 10_000;
const portCount = 20_000;
/** Spreads the first port over processes that start at about the same time. */
const processStride = 61;

/** Hands out free ports, each once. */
export class PortAllocator {
    private next = lowestPort + (process.pid * processStride) % portCount;

    constructor(private readonly host: string) {}

    /** A port on which nothing listens. */
    async allocate(): Promise<number> {
        for (let tries = 0; tries < portCount; tries++) {
            const port = this.next;
            this.next = lowestPort + (port + 1 - lowestPort) % portCount;
            if (await isFree(this.host, port)) {
                return port;
            }
        }
        throw new Error(
            `no port from ${lowestPort} to ${lowestPort + portCount - 1} is free on ${this.host}`,
        );
    }
}

function isFree(host: string, port: number): Promise<boolean> {
    return new Promise((resolve) => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, host, () => server.close(() => resolve(true)));
    });
}
