import { silentLogger, systemClock } from "@redwingpin/common";
import type { DirectEndpoint, FleetState } from "@redwingpin/fleet";
import { expect } from "chai";
import type { EndpointTable, HeaderCodec } from "../index.js";
import { IdentityProbe } from "../node/identityProbe.js";

describe("probe of contested addresses", () => {
    // Guards against a health path that no request can have, and that ends the process with an unhandled rejection.
    it("logs a probe that cannot be sent", async () => {
        const warnings: string[] = [];
        const endpoint = { service: "s", host: "127.0.0.1", port: 1 } as DirectEndpoint;
        const probe = new IdentityProbe({
            clock: systemClock,
            logger: { ...silentLogger, warn: (message) => void warnings.push(message) },
            state: {
                configuration: { services: [{ name: "s", healthPath: "/with a space" }] },
            } as unknown as FleetState,
            endpointTable: {
                contestedAddresses: () => new Map([["127.0.0.1:1", [endpoint]]]),
            } as unknown as EndpointTable,
            headerCodec: {} as HeaderCodec,
        });
        probe.run();
        await new Promise((resolve) => setImmediate(resolve));
        expect(warnings).to.deep.equal(["probe of an endpoint failed"]);
    });
});
