import { FakeClock } from "@redwingpin/common";
import { expect } from "chai";
import { WatcherSelection } from "../index.js";

const names = Array.from({ length: 27 }, (_, index) => `10.0.0.${index}:7600`);

/** A fleet in which every router hears how old the last answer of the store to each of the others is. */
function fleetFixture() {
    const clock = new FakeClock(10_000);
    const duties = new Map(names.map((name) => [name, new WatcherSelection(name, clock)]));
    const following = (live: readonly string[] = names) =>
        live.filter((name) => duties.get(name)!.isSelected(live.filter((other) => other !== name)));
    const report = (router: string, age: number | undefined) =>
        duties.forEach((duty) => duty.observe(router, age));
    return { clock, following, report };
}

describe("duty to follow the registrations", () => {
    it("falls to every router at first and to three once all have reported", () => {
        const { following, report } = fleetFixture();
        expect(following()).to.have.length(27);
        names.forEach((name) => report(name, 500));
        expect(following()).to.have.length(3);
    });

    it("passes on where a follower is gone or the store no longer answers it", () => {
        const { clock, following, report } = fleetFixture();
        names.forEach((name) => report(name, 0));
        const [first, second, third] = following();
        const rest = names.filter((name) => name !== first);
        expect(following(rest)).to.include.members([second, third]).and.to.have.length(3);
        clock.advance(5_000);
        names.filter((name) => name !== second).forEach((name) => report(name, 100));
        expect(following()).to.include.members([first, third]).and.to.have.length(4);
    });
});
