import { expect } from "chai";
import { CrashProbe } from "../node/crashProbe.js";
import { startRawEndpoint } from "./rawEndpointFixture.js";

describe("crash probe", () => {
    it("tells an endpoint that is gone from one that still accepts connections", async () => {
        const running = await startRawEndpoint(() => {});
        const probe = new CrashProbe();
        expect(await probe.hasCrashed(running.endpoint)).to.equal(false);
        running.stop();
        expect(await probe.hasCrashed(running.endpoint)).to.equal(true);
    });

    it("is shared by all requests that are interrupted at the same time", async () => {
        const running = await startRawEndpoint(() => {});
        const probe = new CrashProbe();
        const first = probe.hasCrashed(running.endpoint);
        expect(probe.hasCrashed(running.endpoint)).to.equal(first);
        await first;
        expect(probe.hasCrashed(running.endpoint)).not.to.equal(first);
        running.stop();
    });
});
