import { FakeClock, type LogFields, silentLogger } from "@redwingpin/common";
import { expect } from "chai";
import { detectStalls } from "../node/stallDetector.js";

function detectorFixture() {
    const clock = new FakeClock();
    const lines: (LogFields | undefined)[] = [];
    const logger = {
        ...silentLogger,
        warn: (_message: string, fields?: LogFields) => void lines.push(fields),
    };
    const progress = { events: 0 };
    const attempt = { request: "a", endpoint: "i-1", events: () => progress.events };
    return { clock, lines, progress, cancel: detectStalls(clock, logger, attempt) };
}

describe("stall detector", () => {
    it("logs one line each time an answer stalls", () => {
        const { clock, lines, progress } = detectorFixture();
        clock.advance(9_000);
        expect(lines).to.deep.equal([{ request: "a", endpoint: "i-1", events: 0, after: 2_000 }]);
        progress.events = 4;
        clock.advance(9_000);
        expect(lines).to.have.length(2);
        expect(lines[1]).to.have.property("events", 4);
    });

    it("logs nothing while events arrive or after the attempt has ended", () => {
        const { cancel, clock, lines, progress } = detectorFixture();
        for (let second = 0; second < 20; second++) {
            progress.events += 1;
            clock.advance(1_000);
        }
        cancel();
        clock.advance(20_000);
        expect(lines).to.deep.equal([]);
    });
});
