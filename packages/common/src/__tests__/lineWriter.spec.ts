import { expect } from "chai";
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { FakeClock } from "../clock.js";
import { LineWriter } from "../lineWriter.js";

describe("line writer", () => {
    const folder = mkdtempSync(join(tmpdir(), "redwingpin-lines-"));
    const file = join(folder, "log");
    let descriptor = 0;
    beforeEach(() => descriptor = openSync(file, "w"));
    afterEach(() => closeSync(descriptor));
    after(() => rmSync(folder, { recursive: true }));

    async function waitUntilWritten(text: string): Promise<void> {
        while (!readFileSync(file, "utf8").includes(text)) {
            await new Promise((resolve) => setTimeout(resolve, 5));
        }
    }

    it("buffers lines and writes them in order, without waiting for the reader", async () => {
        const clock = new FakeClock();
        const writer = new LineWriter({ clock, descriptor });
        writer.write("one\n");
        writer.write("two\n");
        expect(readFileSync(file, "utf8")).to.equal("");
        clock.advance(40);
        await waitUntilWritten("two");
        expect(readFileSync(file, "utf8")).to.equal("one\ntwo\n");
    });

    it("drops lines that exceed its buffer and reports their number", () => {
        const writer = new LineWriter({ clock: new FakeClock(), descriptor, maxBytes: 10 });
        for (let line = 0; line < 5; line++) {
            writer.write("1234\n");
        }
        writer.flushSync();
        const text = readFileSync(file, "utf8");
        expect(text.startsWith("1234\n1234\n{")).to.equal(true);
        expect(JSON.parse(text.split("\n")[2])).to.deep.include({ omitted: 3 });
    });
});
