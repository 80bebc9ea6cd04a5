import { type Finding, systemClock } from "@redwingpin/common";
import { startVirtualMachineListStandin, type TargetGroup } from "@redwingpin/standins";
import { expect } from "chai";
import { request } from "undici";
import { createVirtualMachineList, parseVirtualMachines } from "../prometheusVirtualMachineList.js";
import { VirtualMachineRole } from "../virtualMachineList.js";

function group(target: string, labels: Record<string, string>): TargetGroup {
    return { targets: [target], labels };
}

const router = group("127.0.0.1:7001", { instance: "router-1", role: "router", data_centre: "hobart" });
const agent = group("[::1]:7002", {
    instance: "agent-1",
    role: "agent",
    data_centre: "burnie",
    pool: "drafting",
    leaving: "true",
});

describe("platform: VM list client", () => {
    it("reads routers and agents", async () => {
        const standin = await startVirtualMachineListStandin({ virtualMachines: [router, agent] });
        const list = createVirtualMachineList({ address: standin.address, clock: systemClock });
        expect((await list.read())._unsafeUnwrap()).to.deep.equal([
            {
                instance: "router-1",
                role: VirtualMachineRole.Router,
                host: "127.0.0.1",
                port: 7001,
                dataCentre: "hobart",
                pool: undefined,
                leaving: false,
            },
            {
                instance: "agent-1",
                role: VirtualMachineRole.Agent,
                host: "::1",
                port: 7002,
                dataCentre: "burnie",
                pool: "drafting",
                leaving: true,
            },
        ]);
        await list.close();
        await standin.stop();
    });

    it("reports invalid entries with their position and returns the valid ones", async () => {
        const invalidGroups = [
            7,
            { labels: router.labels },
            group("127.0.0.1", router.labels as Record<string, string>),
            group("127.0.0.1:99999", router.labels as Record<string, string>),
            group("127.0.0.1:1", { instance: "x", role: "printer", data_centre: "hobart" }),
            group("127.0.0.1:1", { instance: "x", role: "agent", data_centre: "hobart" }),
            group("127.0.0.1:1", { ...agent.labels, leaving: "perhaps" }),
        ];
        const standin = await startVirtualMachineListStandin();
        const findings: Finding[] = [];
        const list = createVirtualMachineList({
            address: standin.address,
            clock: systemClock,
            onFindings: (found) => findings.push(...found),
        });
        const body = JSON.stringify([...invalidGroups, router]);
        await request(`${standin.controlAddress}/control/virtualMachines`, { method: "PUT", body });
        const machines = (await list.read())._unsafeUnwrap();
        expect(machines.map((machine) => machine.instance)).to.deep.equal(["router-1"]);
        expect(findings.map((finding) => `${finding.place}: ${finding.message}`)).to.deep.equal([
            "[0]: entry is not an object",
            "[1]: targets is not a list of one string",
            `[2]: target "127.0.0.1" is not host:port`,
            `[3]: target "127.0.0.1:99999" is not host:port`,
            "[4]: label role is not one of router, agent",
            "[5]: label pool is missing",
            `[6]: label leaving is neither "true" nor "false"`,
        ]);
        await list.close();
        await standin.stop();
    });

    it("fails if the answer is not a list, or there is no answer", async () => {
        expect(parseVirtualMachines("{}")._unsafeUnwrapErr()).to.equal("the VM list is not a list");
        expect(parseVirtualMachines("<")._unsafeUnwrapErr()).to.equal(`the VM list is not JSON: "<"`);
        const standin = await startVirtualMachineListStandin();
        await standin.stop();
        const list = createVirtualMachineList({ address: standin.address, clock: systemClock });
        expect((await list.read())._unsafeUnwrapErr()).to.contain("VM list");
        await list.close();
    });
});
