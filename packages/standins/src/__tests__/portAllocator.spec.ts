import { expect } from "chai";
import { createServer } from "node:net";
import { PortAllocator } from "../node/portAllocator.js";

const host = "127.0.0.1";

/** Listens on a port, and returns a function that closes the listener. */
async function occupy(port: number): Promise<() => void> {
    const server = createServer();
    await new Promise<void>((resolve) => server.listen(port, host, resolve));
    return () => server.close();
}

describe("the port allocator", () => {
    it("returns each port only once, also to concurrent callers", async () => {
        const allocator = new PortAllocator(host);
        const ports = await Promise.all(Array.from({ length: 200 }, () => allocator.allocate()));
        expect(new Set(ports).size).to.equal(ports.length);
    });

    it("skips ports that are in use", async () => {
        const first = await new PortAllocator(host).allocate();
        const release = await occupy(first);
        expect(await new PortAllocator(host).allocate()).not.to.equal(first);
        release();
    });

    it("stays below the port range for outgoing connections", async () => {
        expect(await new PortAllocator(host).allocate()).to.be.within(10_000, 29_999);
    });
});
