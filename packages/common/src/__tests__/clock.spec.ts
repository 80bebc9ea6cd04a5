import { expect } from "chai";
import { FakeClock } from "../clock.js";

describe("FakeClock", () => {
    it("runs callbacks in order of due time and at their due time", () => {
        const clock = new FakeClock();
        const seen: string[] = [];
        clock.schedule(20, () => seen.push(`second at ${clock.now()}`));
        clock.schedule(10, () => {
            seen.push(`first at ${clock.now()}`);
            clock.schedule(5, () => seen.push(`nested at ${clock.now()}`));
        });
        clock.advance(30);
        expect(seen).to.deep.equal(["first at 10", "nested at 15", "second at 20"]);
        expect(clock.now()).to.equal(30);
    });

    it("does not run a cancelled callback", () => {
        const clock = new FakeClock();
        let ran = false;
        const cancel = clock.schedule(10, () => ran = true);
        cancel();
        clock.advance(20);
        expect(ran).to.equal(false);
    });
});
