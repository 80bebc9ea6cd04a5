import { listenOn, silentLogger, systemClock } from "@redwingpin/common";
import { EndpointKind } from "@redwingpin/manifest";
import { expect } from "chai";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { EndpointMonitor } from "../node/endpointMonitor.js";
import { EngineCacheTracker } from "../node/engineCacheTracker.js";

/** Far more than a report has, and what the connection may hold besides. */
const maxWritten = 1_048_576 + 16_777_216;
const block = Buffer.alloc(65_536, " ");

/** The engine stops here, so that a client that reads everything comes to an end. */
const maxEndless = 5 * maxWritten;

/** An engine whose reports have no end; `/cache/events` is not served. */
async function endlessEngineFixture() {
    let written = 0;
    const server: Server = createServer((request, response) => {
        if (request.url === "/cache/events") {
            response.writeHead(404).end();
            return;
        }
        const pump = () => {
            let isWritable = true;
            while (isWritable && !response.destroyed && written < maxEndless) {
                written += block.length;
                isWritable = response.write(block);
            }
            if (written >= maxEndless) {
                response.end();
            }
        };
        response.on("drain", pump);
        pump();
    });
    await listenOn(server, "127.0.0.1", 0);
    return {
        address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
        written: () => written,
        stop: () => {
            server.closeAllConnections();
            server.close();
        },
    };
}

// Guards against agents that run out of memory, since their engine answers a check without end.
describe("reports of an engine without end", () => {
    it("are not read for long when its health is checked", async () => {
        const engine = await endlessEngineFixture();
        const monitor = new EndpointMonitor({
            address: engine.address,
            kind: EndpointKind.Engine,
            clock: systemClock,
            interval: 60_000,
            onChange: () => {},
        });
        await monitor.start();
        monitor.stop();
        engine.stop();
        expect(monitor.current.incarnation).to.equal(undefined);
        expect(engine.written()).to.be.lessThan(maxWritten);
    });

    it("are not read for long when its capacity is read", async () => {
        const engine = await endlessEngineFixture();
        const tracker = new EngineCacheTracker({
            address: engine.address,
            clock: systemClock,
            logger: silentLogger,
        });
        await tracker.onIncarnation("first");
        tracker.stop();
        engine.stop();
        expect(engine.written()).to.be.lessThan(maxWritten);
    });
});
