import { seededRandom, silentLogger, systemClock } from "@redwingpin/common";
import { type VirtualMachine, VirtualMachineRole } from "@redwingpin/outside";
import { InnerNode, parseFleetKeys, ProcessRole, Topic } from "@redwingpin/protocol";
import { expect } from "chai";
import { okAsync } from "neverthrow";
import { createInnerTransport } from "../node/innerTransport.js";
import { MembershipResponder } from "../node/membershipResponder.js";
import { createMembership, type Membership } from "../node/membershipTask.js";
import { namesOf } from "./membershipFixture.js";

const host = "127.0.0.1";
const fleetKeys = parseFleetKeys("fleet key of the socket tests")._unsafeUnwrap();

describe("membership: sockets", () => {
    const stops: (() => void)[] = [];
    let machines: VirtualMachine[] = [];

    function createNode(instance: string, role: ProcessRole): InnerNode {
        const node = new InnerNode({
            role,
            instance,
            incarnation: "1",
            fleetKeys,
            clock: systemClock,
            logger: silentLogger,
            revision: () => 0,
            onRevision: () => {},
            onMessage: () => {},
            onClosed: () => {},
        });
        stops.push(() => node.stop());
        return node;
    }

    function addToList(instance: string, role: VirtualMachineRole, port: number): void {
        machines = [...machines, { instance, role, host, port, dataCentre: "hobart", leaving: false }];
    }

    async function startRouter(instance: string): Promise<Membership> {
        const node = createNode(instance, ProcessRole.Router);
        const membership = createMembership({
            clock: systemClock,
            random: seededRandom(1),
            logger: silentLogger,
            instance,
            dataCentre: "hobart",
            host,
            list: { read: () => okAsync(machines) },
            transport: createInnerTransport(node),
        });
        node.handle(Topic.Membership, async (body) => membership.handle(body));
        const port = await node.listen(host, 0);
        addToList(instance, VirtualMachineRole.Router, port);
        membership.start(port);
        stops.push(() => membership.stop());
        return membership;
    }

    async function startAgent(instance: string): Promise<MembershipResponder> {
        const node = createNode(instance, ProcessRole.Agent);
        const responder = new MembershipResponder({
            instance,
            role: ProcessRole.Agent,
            host,
            port: 0,
            dataCentre: "hobart",
            epoch: 1,
        });
        node.handle(Topic.Membership, async (body) => responder.handle(body));
        const port = await node.listen(host, 0);
        responder.setPort(port);
        addToList(instance, VirtualMachineRole.Agent, port);
        return responder;
    }

    async function waitUntil(condition: () => boolean): Promise<void> {
        while (!condition()) {
            await new Promise((resolve) => setTimeout(resolve, 10));
        }
    }

    afterEach(() => {
        stops.splice(0).reverse().forEach((stop) => stop());
        machines = [];
    });

    it("finds routers and agents, and removes those that leave", async () => {
        const agent = await startAgent("a1");
        const first = await startRouter("r1");
        const second = await startRouter("r2");
        await waitUntil(() => first.routers().length === 1 && second.routers().length === 1);
        await waitUntil(() => first.agents().length === 1 && second.agents().length === 1);
        agent.leave();
        await waitUntil(() => first.agents().length === 0 && second.agents().length === 0);
        second.leave();
        await waitUntil(() => first.routers().length === 0);
        expect(namesOf(second.routers())).to.deep.equal(["r1"]);
    });

    it("declares a stopped process dead although the VM list still contains it", async () => {
        const first = await startRouter("r1");
        const second = await startRouter("r2");
        await waitUntil(() => first.routers().length === 1 && second.routers().length === 1);
        stops.splice(2).reverse().forEach((stop) => stop());
        await waitUntil(() => first.routers().length === 0);
        expect(first.find("r2")?.instance).to.equal("r2");
    });
});
