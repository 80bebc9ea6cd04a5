import { expect } from "chai";
import { Registry } from "prom-client";
import { FakeClock } from "../clock.js";
import { type LogFields, silentLogger } from "../logger.js";
import { highMemoryMessage, registerMemoryMetrics, watchMemory } from "../memoryWatch.js";

/** A watch of a process whose resident memory a test sets. */
function watchFixture(limit: number) {
    const clock = new FakeClock();
    const lines: LogFields[] = [];
    let resident = 0;
    const warn = (message: string, fields?: LogFields) => void lines.push({ message, ...fields });
    const cancel = watchMemory({
        clock,
        limit,
        logger: { ...silentLogger, warn },
        residentBytes: () => resident,
        details: () => ({ bodies: 7 }),
    });
    return {
        clock,
        cancel,
        setResident: (bytes: number) => resident = bytes,
        takeLines: () => lines.splice(0),
    };
}

// Guards against processes that are ended by their memory and leave no line that says so.
describe("memory of a process", () => {
    it("is logged when it exceeds its share of the limit, and not at each check", () => {
        const { clock, cancel, setResident, takeLines } = watchFixture(1_000);
        setResident(850);
        clock.advance(20_000);
        expect(takeLines()).to.deep.equal([]);
        setResident(851);
        clock.advance(9_000);
        const [line, ...others] = takeLines();
        expect(others).to.deep.equal([]);
        expect(line).to.include({ message: highMemoryMessage, resident: 851, limit: 1_000, bodies: 7 });
        expect(line).to.include.keys("heapTotal", "heapUsed", "external", "arrayBuffers");
        clock.advance(11_000);
        expect(takeLines()).to.have.length(1);
        cancel();
        clock.advance(60_000);
        expect(takeLines()).to.deep.equal([]);
    });

    it("is reported by metrics, apart for heap, external memory and array buffers", async () => {
        const registry = new Registry();
        registerMemoryMetrics(registry, 200_000_000);
        const held = Buffer.alloc(50_000_000);
        const text = await registry.metrics();
        const value = (name: string) =>
            Number(new RegExp(`^redwingpin_memory_${name}_bytes (\\d+)`, "m").exec(text)?.[1]);
        expect(value("limit")).to.equal(200_000_000);
        expect(value("array_buffers")).to.be.at.least(held.length);
        expect(value("external")).to.be.at.least(value("array_buffers"));
        expect(value("heap")).to.be.at.least(value("heap_used"));
        expect(value("resident")).to.be.greaterThan(value("heap_used"));
    });
});
