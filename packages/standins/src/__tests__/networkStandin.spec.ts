import { expect } from "chai";
import { request } from "undici";
import { PartitionDirection, startNetworkStandin } from "../node/networkStandin.js";
import { PortAllocator } from "../node/portAllocator.js";
import { startServiceStandin } from "../node/serviceStandin.js";

describe("standins: network", () => {
    for (const direction of Object.values(PartitionDirection)) {
        it(`buffers data on a partitioned link (${direction}) and delivers it once healed`, async () => {
            const service = await startServiceStandin();
            const targetPort = Number(new URL(service.address).port);
            const port = await new PortAllocator("127.0.0.1").allocate();
            const network = await startNetworkStandin({ links: [{ from: "a", to: "b", port, targetPort }] });
            const executions = async () =>
                await (await request(`${service.controlAddress}/control/executions`)).body.json() as object[];
            const partition = JSON.stringify({ from: "a", to: "b", direction });
            await request(`${network.controlAddress}/control/cut`, { method: "POST", body: partition });
            let isAnswered = false;
            const call = request(`http://127.0.0.1:${port}/stamps`, { method: "POST", body: "x" })
                .then(() => isAnswered = true);
            if (direction === PartitionDirection.Backward) {
                while ((await executions()).length === 0) {
                    await new Promise((resolve) => setTimeout(resolve, 5));
                }
            }
            else {
                expect(await executions()).to.deep.equal([]);
            }
            expect(isAnswered).to.equal(false);
            await request(`${network.controlAddress}/control/heal`, { method: "POST" });
            await call;
            expect(await executions()).to.have.length(1);
            await network.stop();
            await service.stop();
        });
    }
});
