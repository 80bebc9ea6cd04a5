import { expect } from "chai";
import { createServer } from "node:net";
import { PortAllocator } from "../node/portAllocator.js";

const host = "127.0.0.1";

/** Listens on a port; the function that is returned stops it. */
async function occupy(port: number): Promise<() => void> {
    const server = createServer();
    await new Promise<void>((resolve) => server.listen(port, host, resolve));
    return () => server.close();
}

describe("the port allocator", () => {
    it("hands out each port once, also to those that ask at the same time", async () => {
        const allocator = new PortAllocator(host);
        const ports = await Promise.all(Array.from({ length: 200 }, () => allocator.allocate()));
        expect(new Set(ports).size).to.equal(ports.length);
    });

    it("leaves out ports that are in use", async () => {
        const first = await new PortAllocator(host).allocate();
        const free = await occupy(first);
        expect(await new PortAllocator(host).allocate()).not.to.equal(first);
        free();
    });

    it("stays below the ports of outgoing connections", async () => {
        expect(await new PortAllocator(host).allocate()).to.be.within(10_000, 29_999);
    });
});
