import { VirtualMachineRole } from "@redwingpin/outside";
import { MembershipMessageKind, MemberState } from "@redwingpin/protocol";
import { expect } from "chai";
import { machineFixture, MembershipFixture, namesOf } from "./membershipFixture.js";

const { Router, Agent } = VirtualMachineRole;
const detectionTime = 3_000;
const deathTime = 12_000;

function fleetFixture(): MembershipFixture {
    const fixture = new MembershipFixture();
    fixture.machines = [
        ...["r1", "r2", "r3"].map((name) => machineFixture(name, Router)),
        ...["a1", "a2"].map((name) => machineFixture(name, Agent)),
    ];
    return fixture;
}

describe("membership", () => {
    it("finds the routers and agents on the VM list and assigns each agent one owner", async () => {
        const fixture = fleetFixture();
        const routers = ["r1", "r2", "r3"].map((name) => fixture.addRouter(name));
        fixture.addAgent("a1");
        fixture.addAgent("a2");
        await fixture.advance(detectionTime);
        expect(namesOf(routers[0].routers())).to.deep.equal(["r2", "r3"]);
        expect(namesOf(routers[0].agents("engines"))).to.deep.equal(["a1", "a2"]);
        expect(routers[0].agents("other")).to.have.length(0);
        expect(namesOf(routers.flatMap((router) => router.ownedAgents()))).to.deep.equal(["a1", "a2"]);
    });

    it("removes a dead VM that is still on the list, and adds it again when it answers", async () => {
        const fixture = fleetFixture();
        const [first] = ["r1", "r2", "r3"].map((name) => fixture.addRouter(name));
        fixture.addAgent("a1");
        fixture.addAgent("a2");
        await fixture.advance(detectionTime);
        fixture.unresponsive.add("r3").add("a2");
        await fixture.advance(deathTime);
        expect(namesOf(first.routers())).to.deep.equal(["r2"]);
        expect(namesOf(first.agents())).to.deep.equal(["a1"]);
        fixture.unresponsive.clear();
        await fixture.advance(deathTime);
        expect(namesOf(first.routers())).to.deep.equal(["r2", "r3"]);
        expect(namesOf(first.agents())).to.deep.equal(["a1", "a2"]);
    });

    it("keeps a member that only one other router can't reach", async () => {
        const fixture = fleetFixture();
        const [first] = ["r1", "r2", "r3"].map((name) => fixture.addRouter(name));
        fixture.partitions.add("r1 r2");
        await fixture.advance(deathTime);
        expect(namesOf(first.routers())).to.deep.equal(["r2", "r3"]);
    });

    it("stops using a leaving VM in time, whether the list or the process itself reports it", async () => {
        const fixture = fleetFixture();
        const [first, , third] = ["r1", "r2", "r3"].map((name) => fixture.addRouter(name));
        fixture.addAgent("a1");
        fixture.addAgent("a2");
        await fixture.advance(detectionTime);
        fixture.machines = fixture.machines.map((machine) =>
            machine.instance === "a1" ? { ...machine, leaving: true } : machine
        );
        third.leave();
        await fixture.advance(detectionTime);
        expect(namesOf(first.agents())).to.deep.equal(["a2"]);
        expect(namesOf(first.routers())).to.deep.equal(["r2"]);
    });

    it("does not use a VM that the list marks as leaving, although its process reports otherwise", async () => {
        const fixture = fleetFixture();
        const routers = ["r1", "r2", "r3"].map((name) => fixture.addRouter(name));
        fixture.addAgent("a1");
        fixture.addAgent("a2");
        await fixture.advance(detectionTime);
        fixture.machines = fixture.machines.map((machine) =>
            machine.instance === "a1" ? { ...machine, leaving: true } : machine
        );
        await fixture.advance(detectionTime);
        for (let elapsed = 0; elapsed < deathTime; elapsed += 50) {
            await fixture.advance(50);
            expect(routers.map((router) => namesOf(router.agents()))).to.deep.equal([["a2"], ["a2"], ["a2"]]);
        }
    });

    it("finds a router that is not on the list yet", async () => {
        const fixture = fleetFixture();
        fixture.machines = fixture.machines.filter((machine) => machine.instance !== "r3");
        const first = fixture.addRouter("r1");
        fixture.addRouter("r2");
        await fixture.advance(detectionTime);
        fixture.addRouter("r3");
        await fixture.advance(detectionTime);
        expect(namesOf(first.routers())).to.deep.equal(["r2", "r3"]);
    });

    it("detects that another instance reuses a member's address", async () => {
        const fixture = fleetFixture();
        const first = fixture.addRouter("r1");
        fixture.addAgent("a1");
        await fixture.advance(detectionTime);
        const reusedPort = machineFixture("a1", Agent).port;
        fixture.addAgent("a9", reusedPort);
        fixture.machines = [...fixture.machines, machineFixture("a9", Agent, { port: reusedPort })];
        await fixture.advance(deathTime);
        expect(namesOf(first.agents())).to.include("a9").and.not.include("a1");
    });

    it("adds a process again that was declared dead while it was paused", async () => {
        const fixture = fleetFixture();
        const [first] = ["r1", "r2"].map((name) => fixture.addRouter(name));
        await fixture.advance(detectionTime);
        fixture.unresponsive.add("r2");
        await fixture.advance(deathTime);
        expect(first.members().find((member) => member.entry.instance === "r2")?.entry.state)
            .to.equal(MemberState.Dead);
        fixture.unresponsive.clear();
        await fixture.advance(deathTime);
        expect(namesOf(first.routers())).to.include("r2");
    });

    it("does not answer malformed calls", async () => {
        const fixture = fleetFixture();
        const first = fixture.addRouter("r1");
        expect(await first.handle({ kind: MembershipMessageKind.Ping })).to.equal(undefined);
        expect(await first.handle(undefined)).to.equal(undefined);
    });
});
