import { expect } from "chai";
import { FakeClock } from "../clock.js";

describe("FakeClock", () => {
    it("runs callbacks at their due time, in order", () => {
        const clock = new FakeClock();
        const calls: string[] = [];
        clock.schedule(20, () => calls.push(`second at ${clock.now()}`));
        clock.schedule(10, () => {
            calls.push(`first at ${clock.now()}`);
            clock.schedule(5, () => calls.push(`nested at ${clock.now()}`));
        });
        clock.advance(30);
        expect(calls).to.deep.equal(["first at 10", "nested at 15", "second at 20"]);
        expect(clock.now()).to.equal(30);
    });

    it("does not run a cancelled callback", () => {
        const clock = new FakeClock();
        let hasRun = false;
        const cancel = clock.schedule(10, () => hasRun = true);
        cancel();
        clock.advance(20);
        expect(hasRun).to.equal(false);
    });
});
