import { expect } from "chai";
import { request } from "undici";
import { startServiceStandin } from "../node/serviceStandin.js";

describe("standins: service", () => {
    it("records executions in order, also if the caller disconnects", async () => {
        const standin = await startServiceStandin({ answerMilliseconds: 200 });
        const disconnect = new AbortController();
        const first = request(`${standin.address}/stamps?batch=1`, {
            method: "POST",
            body: "one",
            signal: disconnect.signal,
        }).catch(() => "gone");
        const executions = async () =>
            await (await request(`${standin.controlAddress}/control/executions`)).body.json() as object[];
        while ((await executions()).length === 0) {
            await new Promise((resolve) => setTimeout(resolve, 5));
        }
        disconnect.abort();
        expect(await first).to.equal("gone");
        await request(`${standin.controlAddress}/control/delay`, { method: "POST", body: `{"answer": 0}` });
        const second = await request(`${standin.address}/stamps/status/404`, { method: "PUT", body: "two" });
        expect(second.statusCode).to.equal(404);
        expect(await executions()).to.deep.equal([
            { number: 0, method: "POST", path: "/stamps?batch=1", body: "one" },
            { number: 1, method: "PUT", path: "/stamps/status/404", body: "two" },
        ]);
        await standin.stop();
    });
});
