/**
 * Allocates free ports below the operating system's range for outgoing connections, so that no such connection
 * occupies the port of a stopped process before it restarts.
 *
 * @module
 */
import { createServer } from "node:net";

const minPort = 10_000;
const portCount = 20_000;
/** Makes processes that start at about the same time begin at different ports. */
const processStride = 61;

/** Allocates free ports. An allocator returns each port only once, until it has tried all of them. */
export class PortAllocator {
    private nextPort = minPort + (process.pid * processStride) % portCount;

    constructor(private readonly host: string) {}

    /** Returns a port on which nothing listens. */
    async allocate(): Promise<number> {
        for (let attempt = 0; attempt < portCount; attempt++) {
            const port = this.nextPort;
            this.nextPort = minPort + (port + 1 - minPort) % portCount;
            if (await isFree(this.host, port)) {
                return port;
            }
        }
        throw new Error(
            `no port between ${minPort} and ${minPort + portCount - 1} is free on ${this.host}`,
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
