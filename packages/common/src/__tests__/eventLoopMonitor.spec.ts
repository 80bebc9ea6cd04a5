import { expect } from "chai";
import { Registry } from "prom-client";
import { FakeClock, type LogFields, silentLogger, startEventLoopMonitor } from "../index.js";

/** A monitor whose timers run late by the current value of `late`. */
function monitorFixture(isActive = true) {
    const clock = new FakeClock();
    const registry = new Registry();
    const lines: { message: string; fields?: LogFields; }[] = [];
    const summaries: { message: string; fields?: LogFields; }[] = [];
    const work = { exchanges: 0 };
    let late = 0;
    const { stop, turnStartedBy } = startEventLoopMonitor({
        clock: {
            now: () => clock.now(),
            wallTime: () => clock.wallTime(),
            schedule: (delay, callback) => clock.schedule(delay + late, callback),
        },
        logger: {
            ...silentLogger,
            info: (message, fields) => void summaries.push({ message, fields }),
            warn: (message, fields) => void lines.push({ message, fields }),
        },
        registry,
        workCounts: () => ({ ...work }),
        activeTime: () => isActive ? clock.now() : 0,
    });
    return {
        clock,
        registry,
        lines,
        summaries,
        work,
        stop,
        turnStartedBy,
        setLate: (duration: number) => late = duration,
    };
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
        const { stop, clock, lines, setLate } = monitorFixture();
        setLate(950);
        clock.advance(50 + 12 * 1_000);
        expect(lines.map((line) => line.fields)).to.deep.equal([
            { delay: 950, unlogged: 0 },
            { delay: 950, unlogged: 9 },
        ]);
        stop();
        clock.advance(60_000);
        expect(lines).to.have.length(2);
    });

    it("logs the work of a second with delays, and nothing for a second without", () => {
        const { clock, setLate, summaries, work } = monitorFixture();
        work.exchanges = 10;
        clock.advance(1_000);
        expect(summaries).to.deep.equal([]);
        setLate(150);
        clock.advance(50);
        work.exchanges = 77;
        clock.advance(200 * 5);
        expect(summaries).to.deep.equal([{
            message: "event loop busy",
            fields: { period: 1_050, longest: 150, total: 750, exchanges: 67 },
        }]);
    });

    it("tells by when the current turn has begun, from a timer that is overdue", () => {
        const { clock, setLate, turnStartedBy } = monitorFixture();
        clock.advance(20);
        expect(turnStartedBy()).to.equal(20);
        setLate(400);
        clock.advance(30 + 300);
        expect(turnStartedBy()).to.equal(100);
        clock.advance(150);
        expect(turnStartedBy()).to.equal(500);
    });

    // Guards against requests that are refused as too late since the process was stopped before they arrived.
    it("does not take the time in which the process was stopped for a turn", () => {
        const { clock, setLate, turnStartedBy } = monitorFixture(false);
        setLate(5_000);
        clock.advance(50 + 4_000);
        expect(turnStartedBy()).to.equal(4_050);
    });
});
