import { expect } from "chai";
import { Registry } from "prom-client";
import { FakeClock, type LogFields, silentLogger, startEventLoopMonitor } from "../index.js";

/** A monitor whose timers run late by the current value of `late`. */
function monitorFixture() {
    const clock = new FakeClock();
    const registry = new Registry();
    const lines: { message: string; fields?: LogFields; }[] = [];
    let late = 0;
    const cancel = startEventLoopMonitor({
        clock: {
            now: () => clock.now(),
            wallTime: () => clock.wallTime(),
            schedule: (delay, callback) => clock.schedule(delay + late, callback),
        },
        logger: { ...silentLogger, warn: (message, fields) => void lines.push({ message, fields }) },
        registry,
    });
    return { clock, registry, lines, cancel, setLate: (duration: number) => late = duration };
}

describe("event loop monitor", () => {
    it("records how late its timer runs, and logs only long delays", async () => {
        const { clock, lines, registry, setLate } = monitorFixture();
        clock.advance(50);
        expect(lines).to.deep.equal([]);
        setLate(400);
        clock.advance(50 + 450);
        expect(lines).to.deep.equal([{ message: "event loop delayed", fields: { delay: 400, unlogged: 0 } }]);
        const text = await registry.metrics();
        expect(text).to.include('redwingpin_event_loop_delay_seconds_bucket{le="0.25"} 2');
        expect(text).to.include('redwingpin_event_loop_delay_seconds_bucket{le="0.5"} 3');
    });

    it("logs at most one line in ten seconds and counts the others, until it is cancelled", () => {
        const { cancel, clock, lines, setLate } = monitorFixture();
        setLate(950);
        clock.advance(50 + 12 * 1_000);
        expect(lines.map((line) => line.fields)).to.deep.equal([
            { delay: 950, unlogged: 0 },
            { delay: 950, unlogged: 9 },
        ]);
        cancel();
        clock.advance(60_000);
        expect(lines).to.have.length(2);
    });
});
