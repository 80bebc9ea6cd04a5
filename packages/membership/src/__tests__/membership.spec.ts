import { VirtualMachineRole } from "@redwingpin/outside";
import { MembershipMessageKind, MemberState } from "@redwingpin/protocol";
import { expect } from "chai";
import { machineFixture, MembershipFixture, namesOf } from "./membershipFixture.js";

const { Router, Agent } = VirtualMachineRole;
const withinBound = 3_000;
const untilDead = 12_000;

function siteFixture(): MembershipFixture {
    const fixture = new MembershipFixture();
    fixture.machines = [
        ...["r1", "r2", "r3"].map((name) => machineFixture(name, Router)),
        ...["a1", "a2"].map((name) => machineFixture(name, Agent)),
    ];
    return fixture;
}

describe("membership", () => {
    it("finds routers and agents of the list and gives each agent one home", async () => {
        const fixture = siteFixture();
        const routers = ["r1", "r2", "r3"].map((name) => fixture.addRouter(name));
        fixture.addAgent("a1");
        fixture.addAgent("a2");
        await fixture.pass(withinBound);
        expect(namesOf(routers[0].routers())).to.deep.equal(["r2", "r3"]);
        expect(namesOf(routers[0].agents("engines"))).to.deep.equal(["a1", "a2"]);
        expect(routers[0].agents("other")).to.have.length(0);
        expect(namesOf(routers.flatMap((router) => router.homeAgents()))).to.deep.equal(["a1", "a2"]);
    });

    it("drops a dead VM that the list still shows, and takes it back when it answers again", async () => {
        const fixture = siteFixture();
        const [first] = ["r1", "r2", "r3"].map((name) => fixture.addRouter(name));
        fixture.addAgent("a1");
        fixture.addAgent("a2");
        await fixture.pass(withinBound);
        fixture.silent.add("r3").add("a2");
        await fixture.pass(untilDead);
        expect(namesOf(first.routers())).to.deep.equal(["r2"]);
        expect(namesOf(first.agents())).to.deep.equal(["a1"]);
        fixture.silent.clear();
        await fixture.pass(untilDead);
        expect(namesOf(first.routers())).to.deep.equal(["r2", "r3"]);
        expect(namesOf(first.agents())).to.deep.equal(["a1", "a2"]);
    });

    it("keeps a member that only one other cannot reach", async () => {
        const fixture = siteFixture();
        const [first] = ["r1", "r2", "r3"].map((name) => fixture.addRouter(name));
        fixture.cuts.add("r1 r2");
        await fixture.pass(untilDead);
        expect(namesOf(first.routers())).to.deep.equal(["r2", "r3"]);
    });

    it("gives a leaving VM no new work within the bound, by the list or by its own word", async () => {
        const fixture = siteFixture();
        const [first, , third] = ["r1", "r2", "r3"].map((name) => fixture.addRouter(name));
        fixture.addAgent("a1");
        fixture.addAgent("a2");
        await fixture.pass(withinBound);
        fixture.machines = fixture.machines.map((machine) =>
            machine.instance === "a1" ? { ...machine, leaving: true } : machine
        );
        third.leave();
        await fixture.pass(withinBound);
        expect(namesOf(first.agents())).to.deep.equal(["a2"]);
        expect(namesOf(first.routers())).to.deep.equal(["r2"]);
    });

    it("keeps a VM that the list shows as leaving out of use, though its process does not know that it leaves", async () => {
        const fixture = siteFixture();
        const routers = ["r1", "r2", "r3"].map((name) => fixture.addRouter(name));
        fixture.addAgent("a1");
        fixture.addAgent("a2");
        await fixture.pass(withinBound);
        fixture.machines = fixture.machines.map((machine) =>
            machine.instance === "a1" ? { ...machine, leaving: true } : machine
        );
        await fixture.pass(withinBound);
        for (let waited = 0; waited < untilDead; waited += 50) {
            await fixture.pass(50);
            expect(routers.map((router) => namesOf(router.agents()))).to.deep.equal([["a2"], ["a2"], ["a2"]]);
        }
    });

    it("learns of a router that the list does not show yet", async () => {
        const fixture = siteFixture();
        fixture.machines = fixture.machines.filter((machine) => machine.instance !== "r3");
        const first = fixture.addRouter("r1");
        fixture.addRouter("r2");
        await fixture.pass(withinBound);
        fixture.addRouter("r3");
        await fixture.pass(withinBound);
        expect(namesOf(first.routers())).to.deep.equal(["r2", "r3"]);
    });

    it("tells a reused address from the member that had it", async () => {
        const fixture = siteFixture();
        const first = fixture.addRouter("r1");
        fixture.addAgent("a1");
        await fixture.pass(withinBound);
        const reused = machineFixture("a1", Agent).port;
        fixture.addAgent("a9", reused);
        fixture.machines = [...fixture.machines, machineFixture("a9", Agent, { port: reused })];
        await fixture.pass(untilDead);
        expect(namesOf(first.agents())).to.include("a9").and.not.include("a1");
    });

    it("takes back a process that was declared dead while it was paused", async () => {
        const fixture = siteFixture();
        const [first] = ["r1", "r2"].map((name) => fixture.addRouter(name));
        await fixture.pass(withinBound);
        fixture.silent.add("r2");
        await fixture.pass(untilDead);
        expect(first.members().find((member) => member.entry.instance === "r2")?.entry.state)
            .to.equal(MemberState.Dead);
        fixture.silent.clear();
        await fixture.pass(untilDead);
        expect(namesOf(first.routers())).to.include("r2");
    });

    it("answers malformed calls with nothing", async () => {
        const fixture = siteFixture();
        const first = fixture.addRouter("r1");
        expect(await first.handle({ kind: MembershipMessageKind.Ping })).to.equal(undefined);
        expect(await first.handle(undefined)).to.equal(undefined);
    });
});
