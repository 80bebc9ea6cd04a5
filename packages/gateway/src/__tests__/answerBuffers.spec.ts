import { expect } from "chai";
import fc from "fast-check";
import { AnswerBuffers } from "../index.js";

const maxBytes = 1_000;

function buffersFixture() {
    const buffers = new AnswerBuffers(maxBytes);
    const evicted: string[] = [];
    return { buffers, evicted, open: (name: string) => buffers.open(() => evicted.push(name)) };
}

describe("buffers of answers", () => {
    // Guards against endpoints that send bytes without end to many calls, which together exceed the memory of a router.
    it("make the largest answer give way once all of them together exceed the limit", () => {
        const { buffers, evicted, open } = buffersFixture();
        const sound = open("sound");
        const endless = open("endless");
        sound.resize(300);
        for (let bytes = 0; bytes <= 700; bytes += 100) {
            endless.resize(bytes);
        }
        expect(evicted).to.deep.equal([]);
        endless.resize(701);
        expect(evicted).to.deep.equal(["endless"]);
        expect(buffers.totalBytes).to.equal(300);
        endless.resize(5_000);
        expect(buffers.totalBytes).to.equal(300);
    });

    it("make a large answer give way to the next one even after its last byte has arrived", () => {
        const { buffers, evicted, open } = buffersFixture();
        const waiting = open("waiting");
        waiting.resize(600);
        waiting.onEvict(() => evicted.push("caller that does not read"));
        open("next").resize(500);
        expect(evicted).to.deep.equal(["caller that does not read"]);
        expect(buffers.totalBytes).to.equal(500);
    });

    it("never exceed the limit, and end empty, whatever the order of events", () => {
        const steps = fc.array(
            fc.record({
                index: fc.nat(5),
                bytes: fc.nat(2 * maxBytes),
                kind: fc.constantFrom("resize", "release", "open"),
            }),
        );
        fc.assert(
            fc.property(steps, (list) => {
                const buffers = new AnswerBuffers(maxBytes);
                const open = Array.from({ length: 6 }, () => buffers.open(() => {}));
                for (const { bytes, index, kind } of list) {
                    switch (kind) {
                        case "resize":
                            open[index].resize(bytes);
                            break;
                        case "release":
                            open[index].release();
                            break;
                        default:
                            open[index].release();
                            open[index] = buffers.open(() => {});
                    }
                    expect(buffers.totalBytes).to.be.within(0, maxBytes);
                }
                open.forEach((buffer) => buffer.release());
                expect(buffers.totalBytes).to.equal(0);
            }),
            { seed: 1, numRuns: 500 },
        );
    });
});
